// Checks of a statement before it is routed: resolves its service and group, checks its business day, and
// takes its minimum position from the verified session token.
#pragma once

#include "control/control_state.h"
#include "core/statement.h"
#include "routing/choose_endpoint.h"
#include "routing/entry_statement.h"
#include "routing/service_groups.h"
#include "sessions/session_token.h"

#include <optional>

namespace mangoquay::routing {

// Retry-after time in the answer to an export whose business day is not settled yet.
inline constexpr core::milliseconds unsettled_retry_after{1000};

// Fills in the group and the default deadline, and limits the maximum age to the preset's. Returns an answer
// if the statement is refused. If `view_current` is false, an unknown name is refused as control_not_current,
// because it may have been added recently.
std::optional<core::statement_answer> admit_statement(const control::control_state& state,
                                                      service_groups& groups, bool view_current,
                                                      core::time_point now, entry_statement& statement);

// Sets the purpose and the minimum position of `request`. `positions` are those of a verified token, or
// empty.
void fill_position(const control::control_state& state, const sessions::session_positions& positions,
                   const entry_statement& statement, route_request& request);

// Returns the position that an export of the business day must reach in the statement's group; nothing if the
// day is not settled or has no position for the group.
std::optional<core::history_position> settled_position(const control::control_state& state,
                                                       const core::statement_request& request);

} // namespace mangoquay::routing
