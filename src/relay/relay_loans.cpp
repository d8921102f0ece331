// Connections borrowed from other hosts. Each is requested for one statement, one transaction or one probe
// and is returned when that has ended.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

// Expected run time on a route without an answer so far: about the service time of short requests on the
// target platform.
constexpr double default_expected_ms = 15.0;
constexpr core::milliseconds probe_loan_timeout{200};
// A loan is requested again from a busy lender after a few service times of its database.
constexpr core::milliseconds busy_pause{20};
// Pause if no lender is available. Hosts that stop or restart are replaced in the list of lenders within a
// second.
constexpr core::milliseconds no_lender_pause{50};

} // namespace

connection_id relay_core::add_loan(const core::endpoint_id& endpoint, core::time_point now) {
    const connection_id id(++m_last_connection);
    connection requested;
    requested.m_endpoint = endpoint;
    requested.m_borrowed = true;
    requested.m_requested_at = now;
    requested.m_answer_deadline.m_at = core::time_point::max(); // The borrower enforces the time limit.
    m_connections.emplace(id, std::move(requested));
    ++m_endpoints.at(endpoint).m_loans;
    ++m_counters.m_connections_borrowed;
    return id;
}

// The requests that have to precede the statement are sent with the loan request. The statement itself is
// not: a caller that is refused in the meantime receives a guarantee that its statement did not run.
void relay_core::borrow_connection(session_id id, session& caller, const documents::route_rule& route,
                                   const core::endpoint_id& endpoint, core::time_point now) {
    operation& op = *caller.m_operation;
    const auto expected = m_expected_ms.find(caller.m_database);
    const lending::loan_terms terms{.m_urgent = route.m_priority < m_lowest_priority,
                                    .m_expected_run_ms = expected == m_expected_ms.end() ? default_expected_ms
                                                                                         : expected->second,
                                    .m_max_wait = op.m_refusal_deadline.remaining(now),
                                    .m_customer = caller.m_customer};
    const connection_id conn_id = add_loan(endpoint, now);
    connection& requested = m_connections.at(conn_id);
    requested.m_requested_by = id;
    requested.m_customer = caller.m_customer;
    op.m_loan = conn_id;
    op.m_last_reason = "waits for a connection to " + endpoint.value();
    const preparation needed = prepare_requests(caller, requested, now);
    for (const request_step step : needed.m_steps) {
        requested.m_expected_answers.push_back({step, now});
    }
    m_ports.borrow_connection(conn_id, endpoint, terms, needed.m_requests);
}

void relay_core::borrow_for_probe(const endpoint_view& primary, core::time_point now) {
    const connection_id id = add_loan(primary.m_report.m_id, now);
    m_probes[primary.m_report.m_service] = id;
    ++m_counters.m_probes;
    m_connections.at(id).m_expected_answers = {{request_step::probe, now}, {request_step::rollback, now}};
    m_ports.borrow_connection(
        id, primary.m_report.m_id,
        {.m_urgent = true, .m_needs_slot = false, .m_max_wait = probe_loan_timeout, .m_any_customer = true},
        {{.m_kind = request_kind::begin}, {.m_kind = request_kind::rollback}});
}

void relay_core::cancel_loan(session& caller) {
    if (caller.m_operation && caller.m_operation->m_loan) {
        remove_connection(*caller.m_operation->m_loan);
        caller.m_operation->m_loan.reset();
    }
}

void relay_core::on_connection_lent(connection_id id, const lending::loan_offer& offer,
                                    core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection& conn = found->second;
    endpoint_view& view = m_endpoints.at(conn.m_endpoint);
    conn.m_phase = connection_phase::idle;
    conn.m_last_contact = now - offer.m_since_last_contact;
    if (offer.m_position && (!view.m_position || *view.m_position < *offer.m_position)) {
        view.m_position = offer.m_position;
        view.m_position_at = now;
    }
    if (conn.m_requested_by) { // A probe waits for no slot, so its waiting time would distort the average.
        const double waited_ms = std::chrono::duration<double, std::milli>(now - conn.m_requested_at).count();
        view.m_loan_wait_ms += answer_weight * (waited_ms - view.m_loan_wait_ms);
    }
    use_loan(id, now);
}

void relay_core::use_loan(connection_id id, core::time_point now) {
    connection& conn = m_connections.at(id);
    // Applies to the requests that were sent with the loan request.
    conn.m_answer_deadline.m_at = now + preparation_timeout;
    mark_busy(conn);
    if (!conn.m_requested_by) {
        return;
    }
    const session_id owner = *std::exchange(conn.m_requested_by, std::nullopt);
    session& caller = m_sessions.at(owner); // A session that ends cancels its loan.
    caller.m_operation->m_loan.reset();
    caller.m_connection = id;
    conn.m_session = owner;
    if (conn.m_expected_answers.empty()) {
        prepare_connection(caller, id, now);
    } else {
        caller.m_operation->m_phase = operation_phase::preparing;
    }
}

void relay_core::on_loan_refused(connection_id id, lending::loan_refusal reason, core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const connection refused = found->second;
    remove_connection(id);
    endpoint_view& view = m_endpoints.at(refused.m_endpoint);
    if (reason == lending::loan_refusal::unreachable) {
        record_failure(refused.m_endpoint, now);
    } else if (refused.m_requested_by) {
        const bool busy = reason == lending::loan_refusal::busy;
        view.m_shedding_until.m_at = now + (busy ? busy_pause : no_lender_pause);
        const double waited_ms =
            std::chrono::duration<double, std::milli>(now - refused.m_requested_at).count();
        view.m_loan_wait_ms += answer_weight * std::max(0.0, waited_ms - view.m_loan_wait_ms);
    }
    if (!refused.m_requested_by) {
        return;
    }
    const session_id owner = *refused.m_requested_by;
    session& caller = m_sessions.at(owner);
    caller.m_operation->m_loan.reset();
    caller.m_operation->m_last_refusal = refusal::busy;
    caller.m_operation->m_last_reason = std::string("no connection was lent: ") + to_string(reason);
    dispatch(owner, now);
    start_queued_statements(owner, now);
}

void relay_core::on_loan_lost(connection_id id, const std::string& reason, core::time_point now) {
    if (m_connections.contains(id)) {
        handle_lost_connection(id, reason, now, failure_source::lender);
    }
}

} // namespace mangoquay::relay
