// A caller's request as the HTTP gateway passes it to the entry proxy, and the answer to the caller.
#pragma once

#include "core/statement.h"

#include <optional>
#include <string>

namespace mangoquay::routing {

struct entry_statement {
    // m_service, m_caller, m_kind and m_deadline are always set. m_group is empty if a routing key is given;
    // it may be empty if the service has only one group. m_min_position is set by the dispatcher, never by
    // the gateway.
    core::statement_request m_request;
    std::optional<std::string> m_routing_key; // Hashed to one of the service's groups.
    std::string m_session_token;              // As received and not verified. Empty if there is none.
    bool m_export = false;                    // Read of a settled business day.
    bool m_default_deadline = false;          // The service's default deadline replaces m_deadline.
};

struct entry_answer {
    core::statement_answer m_answer;
    std::string m_session_token;        // Empty if the caller keeps its current token.
    core::transaction_id m_transaction; // Set if a begin ran.
};

} // namespace mangoquay::routing
