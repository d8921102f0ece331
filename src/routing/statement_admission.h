// What is decided about a statement before an endpoint is looked for: its service, its group, its business
// day and the positions that its session token proves.
#pragma once

#include "control/control_state.h"
#include "core/statement.h"
#include "routing/choose_endpoint.h"
#include "routing/entry_statement.h"
#include "routing/service_groups.h"
#include "sessions/session_token.h"

#include <optional>

namespace mangoquay::routing {

// An export that comes before its day is settled is told to come back after this long.
inline constexpr core::milliseconds unsettled_retry_after{1000};

// Fills in the group and the default deadline; the answer, if any, refuses the statement.
// `view_current`: with a view that is not current an unknown name may be new, not wrong.
std::optional<core::statement_answer> admit_statement(const control::control_state& state, service_groups& groups,
                                            bool view_current, core::time_point now,
                                            entry_statement& statement);

// The routing request's purpose and least position. `positions` are those of a verified token, empty without.
void fill_position(const control::control_state& state, const sessions::session_positions& positions,
                   const entry_statement& statement, route_request& request);

// The position that an export of a settled day must reach in the statement's group.
std::optional<core::history_position> settled_position(const control::control_state& state,
                                                       const core::statement_request& request);

} // namespace mangoquay::routing
