// What an export read of a business day needs. Pure.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/verdict.h"

#include <map>
#include <optional>

namespace mangoquay::settlement {

// A closing takes about a lease at most (1.1 s) once the writes of the day have drained.
inline constexpr core::milliseconds retry_after_while_closing{1000};
// Nobody has closed the day yet; a nightly export waits for an operator.
inline constexpr core::milliseconds retry_after_before_closing{30000};

struct export_requirements {
    core::reason m_refusal = core::reason::none; // not none: answer not_run with it
    std::optional<core::milliseconds> m_retry_after;
    // The endpoint read must be at or past the position of its group.
    std::map<core::group_id, core::history_position> m_least_positions;
};

export_requirements requirements_for_export(const control::control_state& state, const control::day_key& key);

} // namespace mangoquay::settlement
