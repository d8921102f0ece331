// Links that other hosts lend: each is asked for on behalf of one statement, or of a probe, and given back
// when its work has ended.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

// Of a route without an answer so far: about the work of the sheets' short requests.
constexpr double unknown_expected_ms = 15.0;
constexpr core::milliseconds probe_wait{200};
// A lender that is busy is asked again after a few of its database's service times.
constexpr core::milliseconds busy_pause{20};
// No lender answers: hosts that stop or start again are replaced in the list within a second.
constexpr core::milliseconds no_lender_pause{50};

} // namespace

link_id relay_core::add_loan(const core::endpoint_id& endpoint, core::time_point now) {
    const link_id id(++m_last_link);
    link asked;
    asked.m_endpoint = endpoint;
    asked.m_lent = true;
    asked.m_asked_at = now;
    asked.m_answer_by.m_at = core::time_point::max(); // the borrower watches over it
    m_links.emplace(id, std::move(asked));
    ++m_endpoints.at(endpoint).m_loans;
    ++m_counters.m_links_borrowed;
    return id;
}

// What has to come before the statement goes with the request for the link. The statement itself does not: a
// caller that is refused meanwhile is told that it did not run.
void relay_core::borrow(session_id id, session& caller, const documents::route_rule& route,
                        const core::endpoint_id& endpoint, core::time_point now) {
    operation& work = *caller.m_operation;
    const auto expected = m_expected_ms.find(caller.m_database);
    const lending::loan_terms terms{.m_urgent = route.m_priority < m_least_priority,
                                    .m_expected_run_ms = expected == m_expected_ms.end() ? unknown_expected_ms
                                                                                         : expected->second,
                                    .m_max_wait = work.m_refuse.remaining(now)};
    const link_id number = add_loan(endpoint, now);
    link& asked = m_links.at(number);
    asked.m_wanted_by = id;
    work.m_loan = number;
    work.m_last_reason = "waits for a connection to " + endpoint.value();
    const preparation needed = preparation_of(caller, asked, now);
    for (const link_step step : needed.m_steps) {
        asked.m_expected.push_back({step, now});
    }
    m_ports.borrow_link(number, endpoint, terms, needed.m_requests);
}

void relay_core::borrow_for_probe(const endpoint_view& primary, core::time_point now) {
    const link_id id = add_loan(primary.m_report.m_id, now);
    m_probes[primary.m_report.m_service] = id;
    ++m_counters.m_probes;
    m_links.at(id).m_expected = {{link_step::probe, now}, {link_step::rollback, now}};
    m_ports.borrow_link(id, primary.m_report.m_id,
                        {.m_urgent = true, .m_needs_slot = false, .m_max_wait = probe_wait},
                        {{.m_kind = request_kind::begin}, {.m_kind = request_kind::rollback}});
}

void relay_core::cancel_loan(session& caller) {
    if (caller.m_operation && caller.m_operation->m_loan) {
        drop_link(*caller.m_operation->m_loan);
        caller.m_operation->m_loan.reset();
    }
}

void relay_core::link_lent(link_id id, const lending::loan_offer& offer, core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    link& on = found->second;
    endpoint_view& view = m_endpoints.at(on.m_endpoint);
    on.m_phase = link_phase::idle;
    on.m_heard = now - offer.m_since_last_contact;
    if (offer.m_position && (!view.m_position || *view.m_position < *offer.m_position)) {
        view.m_position = offer.m_position;
        view.m_position_at = now;
    }
    if (on.m_wanted_by) { // a probe waits for no slot
        const double waited = std::chrono::duration<double, std::milli>(now - on.m_asked_at).count();
        view.m_grant_ms += answer_weight * (waited - view.m_grant_ms);
    }
    use_loan(id, now);
}

void relay_core::use_loan(link_id id, core::time_point now) {
    link& on = m_links.at(id);
    on.m_answer_by.m_at = now + preparation_limit; // of what went with the request
    occupy(on);
    if (!on.m_wanted_by) {
        return;
    }
    const session_id owner = *std::exchange(on.m_wanted_by, std::nullopt);
    session& caller = m_sessions.at(owner); // a session that ends cancels its loan
    caller.m_operation->m_loan.reset();
    caller.m_link = id;
    on.m_session = owner;
    if (on.m_expected.empty()) {
        prepare_link(caller, id, now);
    } else {
        caller.m_operation->m_phase = operation_phase::preparing;
    }
}

void relay_core::loan_refused(link_id id, lending::loan_refusal reason, core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    const link refused = found->second;
    drop_link(id);
    endpoint_view& view = m_endpoints.at(refused.m_endpoint);
    if (reason == lending::loan_refusal::unreachable) {
        note_failure(refused.m_endpoint, now);
    } else if (refused.m_wanted_by) {
        const bool busy = reason == lending::loan_refusal::busy;
        view.m_shedding.m_at = now + (busy ? busy_pause : no_lender_pause);
        const double waited = std::chrono::duration<double, std::milli>(now - refused.m_asked_at).count();
        view.m_grant_ms += answer_weight * std::max(0.0, waited - view.m_grant_ms);
    }
    if (!refused.m_wanted_by) {
        return;
    }
    const session_id owner = *refused.m_wanted_by;
    session& caller = m_sessions.at(owner);
    caller.m_operation->m_loan.reset();
    caller.m_operation->m_last_refusal = refusal::busy;
    caller.m_operation->m_last_reason = std::string("no connection was lent: ") + to_string(reason);
    dispatch(owner, now);
    start_next(owner, now);
}

void relay_core::loan_lost(link_id id, const std::string& reason, core::time_point now) {
    if (m_links.contains(id)) {
        lose_link(id, reason, now, blame::lender);
    }
}

} // namespace mangoquay::relay
