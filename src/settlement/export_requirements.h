// Requirements of an export read of a business day. Pure function of the control state.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/verdict.h"

#include <map>
#include <optional>

namespace mangoquay::settlement {

// Retry-after time while a day is being closed. Settling takes at most about one lease (1.1 s) after the
// writes of the day have drained.
inline constexpr core::milliseconds retry_after_while_closing{1000};
// Retry-after time before a day is closed. It is long because an export then waits for an operator to close
// the day.
inline constexpr core::milliseconds retry_after_before_closing{30000};

struct export_requirements {
    core::reason m_refusal =
        core::reason::none; // If not none, the export is answered not_run with this reason.
    std::optional<core::milliseconds> m_retry_after;
    // For each group, the position that the endpoint must be at or past.
    std::map<core::group_id, core::history_position> m_min_positions;
};

export_requirements requirements_for_export(const control::control_state& state, const control::day_key& key);

} // namespace mangoquay::settlement
