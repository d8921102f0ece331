// A caller's session and the statement that it is waiting for.
//
// Invariants of a session:
// - m_link is set exactly while a transaction has begun at a database or a statement is at one;
// - m_values and m_prepared hold what was acknowledged to the caller; a statement runs only on a link that
// was
//   brought to the same values;
// - at most one statement is in progress; further ones wait in m_waiting in the order they arrived.
#pragma once

#include "core/clock.h"
#include "core/strong_value.h"
#include "relay/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangoquay::relay {

using session_id = core::strong_value<struct session_id_tag, std::uint64_t>;
using connection_id = core::strong_value<struct connection_id_tag, std::uint64_t>;

struct prepared_statement {
    access_kind m_access = access_kind::read;
    std::string m_template;

    friend bool operator==(const prepared_statement&, const prepared_statement&) = default;
};

enum class operation_phase : std::uint8_t {
    waiting,   // for an endpoint, a link or a proof of freshness
    preparing, // its link is brought to the session's values, or its transaction begins
    running,   // the caller's statement was sent
};

// The caller's statement in progress.
struct operation {
    session_statement m_statement;
    core::time_point m_arrived{};
    core::deadline m_deadline;         // the caller gets an answer by then
    core::deadline m_refusal_deadline; // a statement that no database has by then is refused
    // The same while no endpoint is known that could serve it.
    core::deadline m_unservable_deadline;
    bool m_unservable = false;
    core::deadline m_not_before;         // of the next attempt
    std::optional<connection_id> m_loan; // a link that is asked for and not lent yet
    core::deadline m_hedge_after;        // a read without an answer by then runs elsewhere as well
    operation_phase m_phase = operation_phase::waiting;
    std::uint32_t m_attempts = 0; // that were sent to a database
    // A read that runs inside a plain transaction of the relay's own, which only a primary accepts.
    bool m_primary_only = false;
    bool m_writes = false;
    std::set<core::endpoint_id> m_avoided; // refused or failed it
    refusal m_last_refusal = refusal::busy;
    std::string m_last_reason = "no endpoint";
};

struct session_transaction {
    bool m_read_only = false; // as asked for by the caller
    bool m_begun = false;     // at the database of the session's link
    bool m_wrote = false;
    bool m_has_results = false;     // a statement of it succeeded
    bool m_lost = false;            // with its connection; nothing of it is kept
    core::time_point m_arrived{};   // of its first statement
    core::deadline m_idle_deadline; // while no statement of it is in progress
};

struct session {
    std::string m_database; // the name that the caller asked for
    std::map<std::string, std::string> m_values;
    std::map<std::string, prepared_statement> m_prepared;
    transaction_state m_state = transaction_state::idle;
    session_transaction m_transaction; // meaningful unless m_state is idle
    std::optional<connection_id> m_connection;
    std::optional<core::history_position> m_own_commit; // the latest that was acknowledged to the caller
    core::time_point m_committed_at{};
    std::optional<operation> m_operation;
    std::deque<session_statement> m_queued_statements;
    bool m_closing = false; // is closed once nothing is in progress
};

// Whether the statement in progress is a commit.
inline bool is_commit(const session& caller) {
    return caller.m_operation->m_statement.m_kind == statement_kind::commit;
}

} // namespace mangoquay::relay
