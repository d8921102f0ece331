// Answers and failures of links: what they mean for the endpoint, the link and the caller.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

constexpr core::milliseconds least_back_off{100};
constexpr core::milliseconds largest_back_off{1600};
// A database without a free slot is asked again after a few of its service times.
constexpr core::milliseconds shedding_pause{30};
// Other hosts give links back within this time when their load falls.
constexpr core::milliseconds full_pause{150};
constexpr core::milliseconds least_lagging_pause{50};
constexpr core::milliseconds largest_lagging_pause{800};
// Covers the time until the endpoint's own report of its new role arrives.
constexpr core::milliseconds refuted_for{500};
constexpr core::milliseconds repeat_pause{10};
// A link whose caller has gone gets this long to finish, then it is closed.
constexpr core::milliseconds detached_limit{3000};
constexpr core::milliseconds clean_up_limit{400};
constexpr core::milliseconds sighting_age{600};
constexpr double answer_weight = 0.15;
// Reads that run a second time for want of an answer are at most this share of all statements: under overload
// each would add to the queue that delays it.
constexpr double hedges_per_statement = 0.03;
constexpr double most_hedges = 5.0;
constexpr core::milliseconds hedge_again{50};

bool is_commit(const session& caller) {
    return caller.m_operation->m_statement.m_kind == statement_kind::commit;
}

} // namespace

void relay_core::link_opened(link_id id, std::optional<core::history_position> position,
                             core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    link& on = found->second;
    on.m_phase = link_phase::idle;
    --m_endpoints.at(on.m_endpoint).m_opening;
    on.m_heard = now;
    on.m_answer_by.m_at = core::time_point::max();
    endpoint_view& view = m_endpoints.at(on.m_endpoint);
    view.m_suspect = {};
    view.m_suspect_step = {};
    if (position) {
        view.m_position = position;
        view.m_position_at = now;
    }
    // The first reads after a start need a position of the primary.
    if (view.m_report.m_is_primary && !m_freshness[view.m_report.m_service].newest()) {
        start_probe(view.m_report.m_service, now);
    }
    dispatch_waiting(now);
}

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
            on.m_answer_by.m_at = now + clean_up_limit;
            send(id, on, {{.m_kind = request_kind::rollback}}, {link_step::rollback}, now);
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
        on.m_answer_by.m_at = now + clean_up_limit;
        send(id, on, {{.m_kind = request_kind::rollback}}, {link_step::rollback}, now);
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

void relay_core::note_failure(const core::endpoint_id& endpoint, core::time_point now) {
    endpoint_view& view = m_endpoints.at(endpoint);
    view.m_suspect_step =
        std::clamp<core::duration>(view.m_suspect_step * 2, least_back_off, largest_back_off);
    view.m_suspect.m_at = now + view.m_suspect_step;
}

void relay_core::link_failed(link_id id, std::optional<refusal> reason, core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    if (reason == refusal::too_many_connections) {
        endpoint_view& view = m_endpoints.at(found->second.m_endpoint);
        view.m_full.m_at = now + full_pause;
        drop_link(id);
        return;
    }
    lose_link(id, reason ? to_string(*reason) : "connection lost", now);
}

// The link is useless: its connection broke, an answer is overdue or came out of turn.
void relay_core::lose_link(link_id id, const std::string& reason, core::time_point now) {
    const link lost = m_links.at(id);
    drop_link(id);
    const bool was_idle = lost.m_phase == link_phase::idle;
    if (!was_idle) {
        note_failure(lost.m_endpoint, now);
    }
    if (lost.m_session) {
        const session_id owner = *lost.m_session;
        m_sessions.at(owner).m_link.reset();
        link_lost_by(owner, reason, now);
        start_next(owner, now);
    }
    dispatch_waiting(now);
}

void relay_core::link_lost_by(session_id owner, const std::string& reason, core::time_point now) {
    session& caller = m_sessions.at(owner);
    const bool in_transaction = caller.m_state == transaction_state::open;
    if (!caller.m_operation) { // between two statements of a transaction
        caller.m_state = transaction_state::failed;
        caller.m_transaction.m_lost = true;
        return;
    }
    operation& work = *caller.m_operation;
    const bool sent = work.m_phase == operation_phase::running;
    record("link lost", caller, "", reason, now);
    if (in_transaction && is_commit(caller) && sent) {
        const bool wrote = caller.m_transaction.m_wrote;
        leave_transaction(caller);
        refuse(owner, caller, wrote ? refusal::in_doubt : refusal::aborted, reason, now);
        return;
    }
    if (in_transaction && (caller.m_transaction.m_ran || is_commit(caller))) {
        if (is_commit(caller)) {
            leave_transaction(caller);
        }
        refuse(owner, caller, refusal::aborted, reason, now);
        return;
    }
    caller.m_transaction.m_begun = false;
    if (!in_transaction && work.m_writes && sent) {
        refuse(owner, caller, refusal::in_doubt, reason, now);
        return;
    }
    // A statement of a transaction whose commit was not sent leaves nothing behind.
    if (in_transaction) {
        work.m_phase = operation_phase::preparing;
        caller.m_transaction.m_wrote = false;
    }
    repeat(owner, caller, refusal::timed_out, reason, now);
}

// Takes the session off its link. A link with work in progress finishes it and is then used again.
void relay_core::detach(session& caller, core::time_point now) {
    if (!caller.m_link) {
        return;
    }
    const link_id id = *caller.m_link;
    caller.m_link.reset();
    link& on = m_links.at(id);
    on.m_session.reset();
    const bool begun = caller.m_transaction.m_begun || (caller.m_operation && caller.m_operation->m_fenced);
    caller.m_transaction.m_begun = false;
    if (!on.m_expected.empty()) {
        on.m_answer_by.m_at = now + detached_limit;
        const bool only_statement =
            on.m_expected.size() == 1 && on.m_expected.front().m_step == link_step::statement;
        if (!only_statement) {
            drop_link(id);
        }
        return;
    }
    if (!begun) {
        release(id, now);
        return;
    }
    on.m_answer_by.m_at = now + clean_up_limit;
    send(id, on, {{.m_kind = request_kind::rollback}}, {link_step::rollback}, now);
}

void relay_core::release(link_id id, core::time_point now) {
    link& on = m_links.at(id);
    std::erase_if(m_probes, [id](const auto& one) { return one.second == id; });
    endpoint_view& view = m_endpoints.at(on.m_endpoint);
    if (on.m_phase == link_phase::busy) {
        --view.m_busy;
    }
    on.m_phase = link_phase::idle;
    on.m_session.reset();
    on.m_answer_by.m_at = core::time_point::max();
    if (view.m_report.m_state == registry::report_state::gone) {
        drop_link(id);
    }
    dispatch_waiting(now);
}

void relay_core::drop_link(link_id id) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    std::erase_if(m_probes, [id](const auto& one) { return one.second == id; });
    endpoint_view& view = m_endpoints.at(found->second.m_endpoint);
    --view.m_links;
    view.m_opening -= found->second.m_phase == link_phase::opening ? 1 : 0;
    set_running(found->second, false);
    if (found->second.m_phase == link_phase::busy) {
        --view.m_busy;
    }
    m_links.erase(found);
    m_ports.close_link(id);
}

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
    close_borrowed_links(now);
    std::vector<session_id> sessions;
    sessions.reserve(m_active.size());
    for (const auto& [id, unused] : m_active) {
        sessions.push_back(id);
    }
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
        const core::endpoint_id& endpoint = id;
        const bool heard = std::ranges::any_of(m_links, [&endpoint, now](const auto& one) {
            return one.second.m_endpoint == endpoint && one.second.m_phase != link_phase::opening &&
                   one.second.m_heard + sighting_age > now;
        });
        seen.push_back({id, heard, view.m_suspect_step.count() > 0});
    }
    return seen;
}

relay_core::relay_core(relay_ports& ports, relay_limits limits)
    : m_ports(ports), m_limits(std::move(limits)) {}

} // namespace mangoquay::relay
