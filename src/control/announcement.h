// Whether an announcement of an endpoint is a renewal that need not reach the log.
#pragma once

#include "control/commands.h"

namespace mangoquay::control {

// Applies the announcement to the part of the state that it concerns and compares.
bool is_unchanged_announcement(const control_state& state, const announce_endpoint& announcement);

} // namespace mangoquay::control
