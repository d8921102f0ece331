// A caller's request as the HTTP gateway hands it to the entry proxy, and what the caller gets back.
#pragma once

#include "core/statement.h"

#include <optional>
#include <string>

namespace mangoquay::routing {

struct entry_statement {
    // m_service, m_caller, m_kind and m_deadline are always set. m_group is empty when a routing key is given
    // or when the service has one group. m_least_position is set by the dispatcher, never by the gateway.
    core::statement_request m_request;
    std::optional<std::string> m_routing_key; // hashed to one of the service's groups
    std::string m_session_token;              // as received, untrusted; empty: none
    bool m_export = false;                    // a read of a settled business day
    bool m_default_deadline = false; // the caller gave none: the service's default replaces m_deadline
};

struct entry_answer {
    core::statement_answer m_answer;
    std::string m_session_token;        // empty: the caller keeps the one it has
    core::transaction_id m_transaction; // of a begin that ran
};

} // namespace mangoquay::routing
