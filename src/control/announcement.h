// Recognizes endpoint announcements that only renew what the state holds. They need no log entry.
#pragma once

#include "control/commands.h"

namespace mangoquay::control {

// True if the announcement would be accepted and would leave the endpoints and the group unchanged. It is
// applied to a copy of that part of the state.
bool is_unchanged_announcement(const control_state& state, const announce_endpoint& announcement);

} // namespace mangoquay::control
