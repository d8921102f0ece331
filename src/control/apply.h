// Deterministic application of commands. Every process gets the same state from the same log.
#pragma once

#include "control/commands.h"

#include <cstddef>

namespace mangoquay::control {

// Resends older than this many operator changes are not recognised any more.
inline constexpr std::size_t max_stored_outcomes = 4096;

// The state of an empty log: the three built-in presets ordinary_day, peak and maintenance.
control_state initial_state();

// Applies one command as revision `at` (above state.m_revision). A refused command changes nothing but the
// revision and, for operator changes, the remembered outcome.
command_outcome apply(control_state& state, const command& change, core::revision at);

} // namespace mangoquay::control
