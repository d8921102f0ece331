// What the answers of databases mean for the endpoint, the link and the caller.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

// A database without a free slot is asked again after a few of its service times.
constexpr core::milliseconds shedding_pause{30};
constexpr core::milliseconds least_lagging_pause{50};
constexpr core::milliseconds largest_lagging_pause{800};
// Covers the time until the endpoint's own report of its new role arrives.
constexpr core::milliseconds refuted_for{500};
constexpr core::milliseconds repeat_pause{10};
// Reads that run a second time for want of an answer are at most this share of all statements: under overload
// each would add to the queue that delays it.
constexpr double hedges_per_statement = 0.03;
constexpr double most_hedges = 5.0;

} // namespace

void relay_core::link_answered(link_id id, const database_answer& answer, core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    link& on = found->second;
    if (on.m_expected.empty()) {
        lose_link(id, "unexpected answer", now);
        return;
    }
    const expected_answer expected = on.m_expected.front();
    on.m_expected.pop_front();
    on.m_heard = now;
    observe(on, expected, answer, now);
    switch (expected.m_step) {
    case link_step::statement:
        set_running(on, false);
        statement_answered(id, expected, answer, now);
        break;
    case link_step::probe:
        if (answer.m_refusal) {
            note_refusal(on.m_endpoint, *answer.m_refusal, now);
        }
        break;
    case link_step::rollback:
        if (on.m_expected.empty()) {
            release(id, now);
        }
        break;
    default:
        preparation_answered(id, expected.m_step, answer, now);
        break;
    }
}

void relay_core::observe(const link& on, const expected_answer& expected, const database_answer& answer,
                         core::time_point now) {
    endpoint_view& view = m_endpoints.at(on.m_endpoint);
    view.m_suspect = {};
    view.m_suspect_step = {};
    view.m_heard = now;
    if (answer.m_position) {
        view.m_position = answer.m_position;
        view.m_position_at = now;
    }
    if (answer.m_refusal) {
        return;
    }
    if (expected.m_step == link_step::statement) {
        const double taken = std::chrono::duration<double, std::milli>(now - expected.m_sent).count();
        view.m_answer_ms += answer_weight * (taken - view.m_answer_ms);
        view.m_lagging_step = {};
    }
    // Only a primary accepts a plain begin.
    const bool from_primary = expected.m_step == link_step::begin || expected.m_step == link_step::probe;
    if (from_primary && answer.m_position) {
        m_freshness[view.m_report.m_service].observe(expected.m_sent, *answer.m_position);
    }
}

void relay_core::preparation_answered(link_id id, link_step step, const database_answer& answer,
                                      core::time_point now) {
    link& on = m_links.at(id);
    if (!on.m_session) {
        lose_link(id, "its caller has gone", now);
        return;
    }
    const session_id owner = *on.m_session;
    session& caller = m_sessions.at(owner);
    if (answer.m_refusal) {
        const refusal reason = *answer.m_refusal;
        const std::string text = answer.m_text;
        note_refusal(on.m_endpoint, reason, now);
        caller.m_operation->m_avoided.insert(on.m_endpoint);
        if (reason == refusal::lagging && m_endpoints.at(on.m_endpoint).m_report.m_is_primary) {
            caller.m_operation->m_fenced = true;
        }
        const bool clean = on.m_expected.empty() && answer.m_state == transaction_state::idle &&
                           (step == link_step::begin || step == link_step::begin_read_only);
        on.m_session.reset();
        caller.m_link.reset();
        if (!clean) {
            drop_link(id);
            link_lost_by(owner, text, now);
            return;
        }
        release(id, now);
        repeat(owner, caller, reason, text, now);
        return;
    }
    if (step == link_step::begin || step == link_step::begin_read_only) {
        caller.m_transaction.m_begun = caller.m_state == transaction_state::open;
    }
    if (on.m_expected.empty()) {
        send_statement(caller, id, now);
    }
}

void relay_core::statement_answered(link_id id, const expected_answer& expected,
                                    const database_answer& answer, core::time_point now) {
    link& on = m_links.at(id);
    if (!on.m_session) { // the caller has gone or was served elsewhere
        if (answer.m_state == transaction_state::idle) {
            release(id, now);
        } else {
            roll_back(id, now);
        }
        return;
    }
    const session_id owner = *on.m_session;
    if (answer.m_refusal) {
        statement_refused(owner, id, answer, now);
    } else {
        statement_succeeded(owner, id, expected, answer, now);
    }
    start_next(owner, now);
}

void relay_core::statement_succeeded(session_id owner, link_id id, const expected_answer& expected,
                                     const database_answer& answer, core::time_point now) {
    link& on = m_links.at(id);
    session& caller = m_sessions.at(owner);
    ++m_counters.m_succeeded;
    m_hedges = std::min(most_hedges, m_hedges + hedges_per_statement);
    const endpoint_view& view = m_endpoints.at(on.m_endpoint);
    note_answer_time(caller, now - expected.m_sent);
    const documents::route_rule* route = route_of(caller);
    if (route != nullptr && m_limits.m_rules.m_adapt_window) {
        adapt_window(m_endpoints.at(on.m_endpoint), now - expected.m_sent, route->m_target_latency);
    }
    const bool commits = is_commit(caller);
    const bool wrote = caller.m_operation->m_writes || (commits && caller.m_transaction.m_wrote);
    ++(view.m_report.m_is_primary ? m_counters.m_primary_reads : m_counters.m_replica_reads);
    if (wrote && answer.m_position && answer.m_state == transaction_state::idle) {
        caller.m_own_commit = answer.m_position;
        caller.m_committed_at = now;
        m_freshness[view.m_report.m_service].observe(expected.m_sent, *answer.m_position);
    }
    session_answer reply{.m_rows = answer.m_rows, .m_text = answer.m_text, .m_position = answer.m_position};
    if (commits) {
        leave_transaction(caller);
    }
    if (caller.m_state == transaction_state::open) {
        caller.m_transaction.m_ran = true;
    } else {
        on.m_session.reset();
        caller.m_link.reset();
        caller.m_transaction = {};
    }
    const bool in_transaction = caller.m_state == transaction_state::open;
    finish(owner, caller, std::move(reply), now);
    if (in_transaction) {
        on.m_answer_by.m_at = core::time_point::max();
    } else if (answer.m_state == transaction_state::idle) {
        release(id, now);
    } else { // a fenced read
        roll_back(id, now);
    }
}

void relay_core::note_answer_time(const session& caller, core::duration taken) {
    const double taken_ms = std::chrono::duration<double, std::milli>(taken).count();
    const auto [known, added] = m_expected_ms.try_emplace(caller.m_database, taken_ms);
    if (!added) {
        known->second += answer_weight * (taken_ms - known->second);
    }
}

void relay_core::statement_refused(session_id owner, link_id id, const database_answer& answer,
                                   core::time_point now) {
    link& on = m_links.at(id);
    session& caller = m_sessions.at(owner);
    operation& work = *caller.m_operation;
    const refusal reason = *answer.m_refusal;
    note_refusal(on.m_endpoint, reason, now);
    const bool primary = m_endpoints.at(on.m_endpoint).m_report.m_is_primary;
    const bool retries_in_place = caller.m_state == transaction_state::open && reason == refusal::busy &&
                                  answer.m_state == transaction_state::open && !work.m_refuse.passed(now);
    if (retries_in_place) {
        --work.m_attempts;
        work.m_phase = operation_phase::waiting;
        work.m_not_before.m_at = now + repeat_pause;
        return;
    }
    if (caller.m_state == transaction_state::open && (caller.m_transaction.m_ran || is_commit(caller))) {
        const bool commits = is_commit(caller);
        const bool not_run = promises_not_run(reason);
        detach(caller, now);
        if (commits) {
            leave_transaction(caller);
        }
        refuse(owner, caller, not_run || !commits ? refusal::aborted : reason, answer.m_text, now);
        return;
    }
    work.m_avoided.insert(on.m_endpoint);
    work.m_fenced = work.m_fenced || (reason == refusal::lagging && primary);
    detach(caller, now);
    caller.m_transaction.m_begun = false;
    repeat(owner, caller, reason, answer.m_text, now);
}

// Runs the statement again elsewhere where that is safe, or answers the caller. The statement has no link any
// more.
bool relay_core::repeat(session_id owner, session& caller, refusal reason, const std::string& text,
                        core::time_point now) {
    operation& work = *caller.m_operation;
    const documents::route_rule* route = route_of(caller);
    const bool harmless = promises_not_run(reason) || work.m_phase != operation_phase::running;
    const bool may_run_twice =
        !work.m_writes && route != nullptr && work.m_attempts < std::max(2U, route->m_attempts);
    const bool in_time = harmless ? !work.m_refuse.passed(now) : !work.m_limit.passed(now);
    if (in_time && reason != refusal::unknown_statement && (harmless || may_run_twice)) {
        work.m_phase = operation_phase::waiting;
        work.m_last_refusal = harmless ? reason : refusal::timed_out;
        work.m_last_reason = text;
        work.m_not_before.m_at =
            now + (harmless && reason == refusal::busy ? repeat_pause : core::milliseconds(0));
        record("repeated", caller, "", to_string(reason), now);
        dispatch(owner, now);
        return true;
    }
    refusal told = reason;
    if (caller.m_state == transaction_state::open) {
        told = refusal::aborted; // its commit was not sent
    } else if (harmless && !promises_not_run(told)) {
        told = refusal::busy;
    }
    refuse(owner, caller, told, text, now);
    return false;
}

void relay_core::note_refusal(const core::endpoint_id& endpoint, refusal reason, core::time_point now) {
    endpoint_view& view = m_endpoints.at(endpoint);
    if (reason == refusal::busy || reason == refusal::too_many_connections) {
        view.m_shedding.m_at = now + shedding_pause;
    } else if (reason == refusal::lagging) {
        if (view.m_lagging.passed(now)) { // further refusals of reads in flight say nothing new
            view.m_lagging_step = std::clamp<core::duration>(view.m_lagging_step * 2, least_lagging_pause,
                                                             largest_lagging_pause);
            view.m_lagging.m_at = now + view.m_lagging_step;
        }
    } else if (reason == refusal::read_only) {
        view.m_refuted.m_at = now + refuted_for;
    }
}

} // namespace mangoquay::relay
