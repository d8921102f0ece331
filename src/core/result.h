// A value, or the reason why there is none.
#pragma once

#include <optional>
#include <string>
#include <utility>

namespace mangoquay::core {

template <class Value>
class result {
public:
    // NOLINTNEXTLINE(google-explicit-constructor): `return value;` is the usual way to succeed.
    result(Value value) : m_value(std::move(value)) {}

    static result failure(const std::string& reason) {
        result failed;
        failed.m_reason = reason;
        return failed;
    }

    explicit operator bool() const { return m_value.has_value(); }
    [[nodiscard]] const Value& operator*() const { return *m_value; }
    [[nodiscard]] Value& operator*() { return *m_value; }
    const Value* operator->() const { return &*m_value; }
    Value* operator->() { return &*m_value; }
    // Empty when there is a value.
    [[nodiscard]] const std::string& reason() const { return m_reason; }

private:
    result() = default;

    std::optional<Value> m_value;
    std::string m_reason;
};

} // namespace mangoquay::core
