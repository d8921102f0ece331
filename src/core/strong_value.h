// Wrapper that gives each kind of id or unit a type of its own. The types do not convert into each other, so
// that passing a term where a position is expected does not compile.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace mangoquay::core {

template <class Tag, class Value>
class strong_value {
public:
    using value_type = Value;

    strong_value() = default;
    explicit strong_value(Value value) : m_value(std::move(value)) {}

    [[nodiscard]] const Value& value() const { return m_value; }

    friend auto operator<=>(const strong_value&, const strong_value&) = default;
    friend bool operator==(const strong_value&, const strong_value&) = default;

private:
    Value m_value{};
};

} // namespace mangoquay::core

template <class Tag, class Value>
struct std::hash<mangoquay::core::strong_value<Tag, Value>> {
    std::size_t operator()(const mangoquay::core::strong_value<Tag, Value>& id) const noexcept {
        return std::hash<Value>{}(id.value());
    }
};
