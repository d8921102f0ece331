// Deterministic application of commands. Every process derives the same state from the same log.
#pragma once

#include "control/commands.h"

#include <cstddef>

namespace mangoquay::control {

// Number of outcomes kept for operator requests. A resend is recognized only while its outcome is kept.
inline constexpr std::size_t max_stored_outcomes = 4096;

// The state of an empty log: the three built-in presets ordinary_day, peak and maintenance.
control_state initial_state();

// Applies one command as revision `at`, which must be above state.m_revision. A refused command changes only
// the revision and, for operator changes, the stored outcomes. If `at` is too low, the command is refused
// with reason internal_fault and the state does not change.
command_outcome apply(control_state& state, const command& change, core::revision at);

} // namespace mangoquay::control
