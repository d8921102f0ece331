// Limits that pass: links that do not answer, callers that waited long enough, reads worth a second run.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangoquay::relay {
namespace {

constexpr core::milliseconds sighting_age{600};
constexpr core::milliseconds hedge_again{50};

} // namespace

void relay_core::check_link(link_id id, core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end() || !found->second.m_answer_by.passed(now)) {
        return;
    }
    lose_link(id,
              found->second.m_phase == link_phase::opening ? "opening took too long" : "no answer in time",
              now);
}

void relay_core::check_session(session_id id, core::time_point now) {
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end()) {
        return;
    }
    session& caller = found->second;
    if (!caller.m_operation) {
        if (caller.m_state == transaction_state::open && caller.m_transaction.m_idle_limit.passed(now)) {
            detach(caller, now);
            caller.m_state = transaction_state::failed;
            caller.m_transaction.m_lost = true;
            record("transaction ended", caller, "", "idle for too long", now);
        }
        return;
    }
    operation& work = *caller.m_operation;
    if (work.m_phase == operation_phase::waiting) {
        const bool hopeless = work.m_unservable && work.m_refuse_unservable.passed(now);
        if (work.m_refuse.passed(now) || hopeless) {
            const bool in_transaction = caller.m_state == transaction_state::open;
            const bool commits = is_commit(caller);
            detach(caller, now);
            if (commits) {
                leave_transaction(caller);
            }
            refuse(id, caller, in_transaction ? refusal::aborted : work.m_last_refusal, work.m_last_reason,
                   now);
            start_next(id, now);
            return;
        }
        dispatch(id, now);
        start_next(id, now);
        return;
    }
    const bool may_hedge = work.m_phase == operation_phase::running && !work.m_writes &&
                           caller.m_state == transaction_state::idle && work.m_attempts == 1;
    if (may_hedge && work.m_hedge.passed(now)) {
        hedge(id, caller, now);
    }
}

bool relay_core::take_hedge() {
    if (m_hedges < 1.0) {
        return false;
    }
    m_hedges -= 1.0;
    return true;
}

// The first endpoint may have lost the statement or its connection may be dead without a reset.
void relay_core::hedge(session_id id, session& caller, core::time_point now) {
    operation& work = *caller.m_operation;
    const core::endpoint_id slow = m_links.at(*caller.m_link).m_endpoint;
    work.m_avoided.insert(slow);
    const documents::route_rule* route = route_of(caller);
    const auto request = route == nullptr ? std::nullopt : request_of(caller, *route, now);
    const auto other = request ? choose_endpoint(m_endpoints, *request, now) : placement_outcome{};
    // At the same endpoint it would only wait behind itself.
    if (!other.m_chosen || other.m_chosen->m_endpoint == slow || !take_hedge()) {
        work.m_hedge.m_at = now + hedge_again;
        return;
    }
    endpoint_view& view = m_endpoints.at(slow);
    const double waited =
        std::chrono::duration<double, std::milli>(now - work.m_hedge.m_at).count() + view.m_answer_ms;
    view.m_answer_ms += answer_weight * std::max(0.0, waited - view.m_answer_ms);
    record("repeated", caller, slow.value(), "no answer for half of the latency target", now);
    detach(caller, now);
    work.m_phase = operation_phase::waiting;
    work.m_last_refusal = refusal::timed_out;
    work.m_refuse = work.m_limit;
    dispatch(id, now);
}

void relay_core::tick(core::time_point now) {
    std::vector<link_id> links;
    for (const auto& [id, one] : m_links) {
        if (one.m_answer_by.passed(now)) {
            links.push_back(id);
        }
    }
    for (const link_id id : links) {
        check_link(id, now);
    }
    close_extra_links(now);
    const std::vector<session_id> sessions(m_active.begin(), m_active.end());
    for (const session_id id : sessions) {
        check_session(id, now);
    }
}

std::vector<primary_sighting> relay_core::sightings(core::time_point now) const {
    std::vector<primary_sighting> seen;
    for (const auto& [id, view] : m_endpoints) {
        if (!view.m_report.m_is_primary) {
            continue;
        }
        const bool heard = view.m_heard + sighting_age > now;
        seen.push_back({id, heard, view.m_suspect_step.count() > 0});
    }
    return seen;
}

} // namespace mangoquay::relay
