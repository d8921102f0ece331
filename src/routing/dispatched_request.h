// One request in progress at the dispatcher.
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
    sessions::session_positions m_positions; // of a verified token
    core::time_point m_received;
    core::time_point m_attempt_started;
    std::uint32_t m_attempts = 0; // begun; also tells the answers of two attempts apart
    bool m_sent = false;          // handed to an owner link at least once
    bool m_at_owner = false;      // this attempt is at the owner of m_decision
    route_decision m_decision;
    std::set<core::endpoint_id> m_excluded;
    core::statement_answer m_last_refusal;
    core::time_point m_due; // its entry in the list of deadlines

    [[nodiscard]] core::statement_kind kind() const { return m_statement.m_request.m_kind; }
    [[nodiscard]] bool is_read() const { return kind() == core::statement_kind::read; }
    // A step, commit or rollback: bound to its transaction's endpoint, never retried.
    [[nodiscard]] bool in_transaction() const {
        return kind() != core::statement_kind::read && kind() != core::statement_kind::write &&
               kind() != core::statement_kind::begin;
    }
};

} // namespace mangoquay::routing
