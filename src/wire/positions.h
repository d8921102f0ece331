// Conversion of positions and byte strings from and to their form in messages.
#pragma once

#include "core/history_position.h"
#include "wire/mangoquay_generated.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::wire {

inline std::unique_ptr<wire_positionT> to_wire(const core::history_position& position) {
    auto message = std::make_unique<wire_positionT>();
    message->term = position.m_term.value();
    message->lsn = position.m_position.value();
    return message;
}

inline std::unique_ptr<wire_positionT> to_wire(const std::optional<core::history_position>& position) {
    return position ? to_wire(*position) : nullptr;
}

// An absent position in a message means that the position is unknown.
inline std::optional<core::history_position> position_from_wire(const wire_positionT* message) {
    if (message == nullptr) {
        return std::nullopt;
    }
    return core::history_position{core::term(message->term), core::log_position(message->lsn)};
}

inline std::vector<std::uint8_t> to_bytes(const std::string& text) {
    return {text.begin(), text.end()};
}

inline std::string to_text(const std::vector<std::uint8_t>& bytes) {
    return {bytes.begin(), bytes.end()};
}

} // namespace mangoquay::wire
