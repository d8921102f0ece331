// A value, or the reason of the failure to produce one.
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace mangoquay::core {

template <class Value>
class result {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): allows `return value;`.
    result(Value value) : m_value(std::move(value)) {}

    static result failure(const std::string& reason) {
        result failed;
        failed.m_reason = reason;
        return failed;
    }

    // Whether there is a value. The operators below require one.
    explicit operator bool() const { return m_value.has_value(); }
    [[nodiscard]] const Value& operator*() const { return *m_value; }
    [[nodiscard]] Value& operator*() { return *m_value; }
    const Value* operator->() const { return &*m_value; }
    Value* operator->() { return &*m_value; }
    // Empty if there is a value.
    [[nodiscard]] const std::string& reason() const { return m_reason; }

private:
    result() = default;

    std::optional<Value> m_value;
    std::string m_reason;
};

} // namespace mangoquay::core
