// The invariants are those of session.h, connection.h and placement.h.
#include "support/relay_invariants.h"

namespace mangoquay::test {

using relay::connection_phase;
using relay::operation_phase;
using relay::transaction_state;

std::string relay_invariants::violated(const relay::relay_core& core) {
    for (const auto& [id, caller] : core.m_sessions) {
        if (std::string what = violated_by_session(core, id, caller); !what.empty()) {
            return what;
        }
    }
    for (const auto& [id, conn] : core.m_connections) {
        if (std::string what = violated_by_connection(core, id, conn); !what.empty()) {
            return what;
        }
    }
    return violated_by_counts(core);
}

std::string relay_invariants::violated_by_session(const relay::relay_core& core, relay::session_id id,
                                                  const relay::session& caller) {
    const bool uses_connection =
        caller.m_operation && caller.m_operation->m_phase != operation_phase::waiting;
    const bool begun = caller.m_state != transaction_state::idle && caller.m_transaction.m_begun;
    if (caller.m_connection) {
        const auto conn = core.m_connections.find(*caller.m_connection);
        if (conn == core.m_connections.end() || conn->second.m_session != id) {
            return "a session has a connection that does not have the session";
        }
        if (!uses_connection && !begun) {
            return "a session keeps a connection that it does not use";
        }
    } else if (uses_connection) {
        return "a statement is in progress without a connection";
    }
    if (!caller.m_operation && !caller.m_queued_statements.empty()) {
        return "a statement waits behind none";
    }
    const bool active = caller.m_operation || caller.m_state != transaction_state::idle;
    if (active != core.m_active_sessions.contains(id)) {
        return "the set of active sessions is wrong";
    }
    if (caller.m_operation && caller.m_operation->m_loan) {
        const auto loan = core.m_connections.find(*caller.m_operation->m_loan);
        if (loan == core.m_connections.end() || loan->second.m_requested_by != id || caller.m_connection) {
            return "a session waits for a loan that is not requested for it";
        }
    }
    return {};
}

std::string relay_invariants::violated_by_connection(const relay::relay_core& core, relay::connection_id id,
                                                     const relay::connection& conn) {
    if (!core.m_endpoints.contains(conn.m_endpoint)) {
        return "a connection without an endpoint";
    }
    if (conn.m_session) {
        const auto owner = core.m_sessions.find(*conn.m_session);
        if (owner == core.m_sessions.end() || owner->second.m_connection != id) {
            return "a connection has a session that does not have the connection";
        }
    }
    if (conn.m_requested_by) {
        const auto owner = core.m_sessions.find(*conn.m_requested_by);
        if (owner == core.m_sessions.end() || !owner->second.m_operation ||
            owner->second.m_operation->m_loan != id) {
            return "a loan is requested for a session that does not wait for it";
        }
    }
    if (conn.m_phase == connection_phase::idle && (conn.m_session || !conn.m_expected_answers.empty())) {
        return "an idle connection is in use";
    }
    if (conn.m_phase == connection_phase::busy && !conn.m_session && conn.m_expected_answers.empty()) {
        return "a connection is busy without a use";
    }
    return {};
}

std::string relay_invariants::violated_by_counts(const relay::relay_core& core) {
    std::map<core::endpoint_id, relay::endpoint_view> counted;
    for (const auto& [id, conn] : core.m_connections) {
        relay::endpoint_view& view = counted[conn.m_endpoint];
        if (conn.m_borrowed) {
            ++view.m_loans;
            continue;
        }
        ++view.m_connections;
        view.m_busy += conn.m_phase == connection_phase::busy ? 1 : 0;
        view.m_opening += conn.m_phase == connection_phase::opening ? 1 : 0;
        view.m_running += conn.m_running ? 1 : 0;
    }
    for (const auto& [id, view] : core.m_endpoints) {
        const relay::endpoint_view& actual = counted[id];
        if (view.m_connections != actual.m_connections || view.m_busy != actual.m_busy ||
            view.m_opening != actual.m_opening || view.m_running != actual.m_running ||
            view.m_loans != actual.m_loans) {
            return "the counts of an endpoint differ from its connections";
        }
    }
    for (const auto& [service, id] : core.m_probes) {
        if (!core.m_connections.contains(id)) {
            return "a probe without a connection";
        }
    }
    return {};
}

} // namespace mangoquay::test
