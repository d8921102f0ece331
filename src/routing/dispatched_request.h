// State of one request in progress at the dispatcher.
#pragma once

#include "core/clock.h"
#include "routing/choose_endpoint.h"
#include "routing/entry_statement.h"
#include "routing/statement_dispatcher.h"
#include "sessions/session_token.h"

#include <cstdint>
#include <set>

namespace mangoquay::routing {

struct dispatched_request {
    entry_statement m_statement;
    entry_callback m_done;
    sessions::session_positions m_positions; // From a verified token.
    core::time_point m_received;
    core::time_point m_attempt_started;
    std::uint32_t m_attempts = 0; // Attempts started. Identifies the attempt that an answer belongs to.
    bool m_sent = false;          // The request was handed to an owner's connection at least once.
    bool m_at_owner = false;      // The current attempt is at the owner in m_decision.
    route_decision m_decision;
    std::set<core::endpoint_id> m_excluded;
    core::statement_answer m_last_refusal;
    core::time_point m_due; // Time of its entry in the dispatcher's timer list.

    [[nodiscard]] core::statement_kind kind() const { return m_statement.m_request.m_kind; }
    [[nodiscard]] bool is_read() const { return kind() == core::statement_kind::read; }
    // True for a step, commit or rollback. These are bound to the endpoint of their transaction and never
    // retried.
    [[nodiscard]] bool in_transaction() const {
        return kind() != core::statement_kind::read && kind() != core::statement_kind::write &&
               kind() != core::statement_kind::begin;
    }
};

} // namespace mangoquay::routing
