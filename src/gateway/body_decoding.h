// Decodes JSON bodies into typed requests. Every error contains its JSON pointer. Unknown members are errors,
// because a misspelt option would otherwise be ignored silently.
#pragma once

#include "control/commands.h"
#include "core/clock.h"
#include "core/json_reader.h"
#include "core/result.h"
#include "routing/entry_statement.h"

#include <set>
#include <string>
#include <string_view>

namespace mangoquay::gateway {

// The kind of request, which determines the members that its body may have.
enum class statement_body : std::uint8_t { statement, begin, step, end, export_read };

// Decodes the body of a statement or transaction call. Deadlines are counted from `now`.
core::result<routing::entry_statement> decode_statement(statement_body shape, std::string_view body,
                                                        core::time_point now);

// The following functions leave the object's name empty. It is part of the path, and their caller sets it.
core::result<control::put_service> decode_put_service(std::string_view body);
core::result<control::put_preset> decode_put_preset(std::string_view body);
core::result<control::select_preset> decode_select_preset(std::string_view body);
core::result<core::request_id> decode_request_id(std::string_view body); // {"request_id": "..."}
core::result<control::announce_endpoint> decode_announcement(std::string_view body);
core::result<control::drain_endpoint> decode_drain(std::string_view body);
core::result<core::endpoint_id> decode_hand_over(std::string_view body);

struct control_host_replacement {
    core::entry_host_id m_host;
    control::socket_address m_peer_address;
};
core::result<control_host_replacement> decode_replacement(std::string_view body);
core::result<std::set<core::entry_host_id>> decode_blocked_peers(std::string_view body);

// Returns whether `text` is a calendar date of the form `2026-12-04`.
bool is_business_day(std::string_view text);

} // namespace mangoquay::gateway
