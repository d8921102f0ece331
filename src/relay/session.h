// A caller's session and its statement in progress.
//
// Invariants of a session:
// - m_connection is set exactly while a transaction has begun at a database or a statement is being
//   prepared or run on a connection;
// - m_values and m_prepared hold what was acknowledged to the caller; a statement runs only on a connection
//   that was brought to the same state;
// - at most one statement is in progress; further ones wait in m_queued_statements in the order of arrival.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/strong_value.h"
#include "documents/customers.h"
#include "relay/prepared_statements.h"
#include "relay/statement.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangoquay::relay {

using session_id = core::strong_value<struct session_id_tag, std::uint64_t>;
using connection_id = core::strong_value<struct connection_id_tag, std::uint64_t>;

enum class operation_phase : std::uint8_t {
    waiting,   // Waits for an endpoint, a connection or a sufficiently recent position of the primary.
    preparing, // The connection is brought to the session's state, or the transaction begins.
    running,   // The caller's statement was sent.
};

// The caller's statement in progress.
struct operation {
    session_statement m_statement;
    core::time_point m_arrived{};
    core::deadline m_deadline;         // The caller gets an answer by then.
    core::deadline m_refusal_deadline; // A statement that was sent to no database by then is refused.
    // While m_unservable is set, the statement is refused at this earlier time.
    core::deadline m_unservable_deadline;
    bool m_unservable = false;           // No endpoint is known that could run the statement.
    core::deadline m_not_before;         // Earliest time of the next attempt.
    std::optional<connection_id> m_loan; // Connection that is requested from a lender and not lent yet.
    core::deadline m_hedge_after;        // A read without an answer by then is also sent to another endpoint.
    operation_phase m_phase = operation_phase::waiting;
    std::uint32_t m_attempts = 0; // Number of times that the statement was sent to a database.
    // The statement runs on the primary only. A read outside a transaction is then wrapped in a plain
    // transaction of the relay, which no other endpoint accepts.
    bool m_primary_only = false;
    bool m_writes = false;
    bool m_counted = false;                // The operation was counted among the arrivals of its customer.
    bool m_admitted = false;               // A token of the customer's limit was taken for it.
    std::set<core::endpoint_id> m_avoided; // Endpoints that refused or failed the statement.
    refusal m_last_refusal = refusal::busy;
    std::string m_last_reason = "no endpoint";
};

struct session_transaction {
    bool m_read_only = false;   // The caller began it as read-only.
    bool m_begun = false;       // It has begun at the database of the session's connection.
    bool m_wrote = false;       // A write of it was sent to a database.
    bool m_has_results = false; // A statement of it succeeded.
    bool m_counted = false;     // As in operation, for the whole transaction.
    bool m_admitted = false;    // As in operation, for the whole transaction.
    bool m_lost = false;        // It ended without a request of the caller.
    // The database may have run and committed a write outside of it, so no answer may promise otherwise.
    bool m_may_be_kept = false;
    core::time_point m_arrived{};   // Arrival time of its first statement.
    core::deadline m_idle_deadline; // The transaction is aborted if no statement is in progress by then.
};

// Latest commit of a service that was acknowledged to the caller.
struct own_commit {
    core::history_position m_position;
    core::time_point m_at{};
};

struct session {
    std::string m_database;                        // Database name that the caller connected to.
    std::optional<documents::key_digest> m_key;    // Empty if the caller presented none.
    std::optional<core::customer_name> m_customer; // Whose key it is; empty without customers.
    bool m_route_is_public = false;                // Of its route, as long as the configuration had one.
    // Set once a configuration withdrew the key (unauthorized) or gave it to another customer (aborted): the
    // refusal of further statements. None is sent any more, and the session ends after its next answer.
    std::optional<refusal> m_ended_by;
    std::map<std::string, std::string> m_values;
    std::map<std::string, statement_handle> m_prepared; // By the caller's name.
    transaction_state m_state = transaction_state::idle;
    session_transaction m_transaction; // Meaningful unless m_state is idle.
    std::optional<connection_id> m_connection;
    // By service, because positions of different services cannot be compared and a route may move.
    std::map<core::service_name, own_commit> m_own_commits;
    std::optional<operation> m_operation;
    std::deque<session_statement> m_queued_statements;
    bool m_token_unused = false;   // A token was taken for an operation of which no statement was sent yet.
    std::size_t m_state_bytes = 0; // Size of the names and texts in m_values and m_prepared.
    bool m_closing = false;        // The session is closed once nothing is in progress.
};

// Whether the statement in progress is a commit. Requires a statement in progress.
inline bool is_commit(const session& caller) {
    return caller.m_operation->m_statement.m_kind == statement_kind::commit;
}

} // namespace mangoquay::relay
