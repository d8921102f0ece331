// Opening, losing and giving back of links.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace mangoquay::relay {
namespace {

constexpr core::milliseconds least_back_off{100};
constexpr core::milliseconds largest_back_off{1600};
// Other hosts give links back within this time when their load falls.
constexpr core::milliseconds full_pause{150};
// A link whose caller has gone gets this long to finish, then it is closed.
constexpr core::milliseconds detached_limit{3000};

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
    view.m_heard = now;
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
void relay_core::lose_link(link_id id, const std::string& reason, core::time_point now, blame blamed) {
    const link lost = m_links.at(id);
    drop_link(id);
    const bool was_idle = lost.m_phase == link_phase::idle;
    if (!was_idle && blamed == blame::endpoint) {
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
    roll_back(id, now);
}

void relay_core::roll_back(link_id id, core::time_point now) {
    link& on = m_links.at(id);
    if (on.m_lent) {
        give_back(id, true);
        return;
    }
    on.m_answer_by.m_at = now + clean_up_limit;
    send(id, on, {{.m_kind = request_kind::rollback}}, {link_step::rollback}, now);
}

void relay_core::give_back(link_id id, bool in_transaction) {
    const auto found = m_links.find(id);
    const link& on = found->second;
    const lending::returned_state remains{.m_has_session_values =
                                              !on.m_values.empty() || !on.m_prepared.empty(),
                                          .m_in_transaction = in_transaction};
    std::erase_if(m_probes, [id](const auto& one) { return one.second == id; });
    --m_endpoints.at(on.m_endpoint).m_loans;
    m_links.erase(found);
    m_ports.give_back(id, remains);
}

void relay_core::release(link_id id, core::time_point now) {
    link& on = m_links.at(id);
    std::erase_if(m_probes, [id](const auto& one) { return one.second == id; });
    endpoint_view& view = m_endpoints.at(on.m_endpoint);
    if (on.m_phase == link_phase::busy && !on.m_lent) {
        --view.m_busy;
    }
    on.m_phase = link_phase::idle;
    on.m_session.reset();
    on.m_answer_by.m_at = core::time_point::max();
    if (on.m_lent) {
        give_back(id, false);
        return;
    }
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
    if (found->second.m_lent) {
        --view.m_loans;
    } else {
        --view.m_links;
        view.m_opening -= found->second.m_phase == link_phase::opening ? 1 : 0;
        view.m_busy -= found->second.m_phase == link_phase::busy ? 1 : 0;
        set_running(found->second, false);
    }
    m_links.erase(found);
    m_ports.close_link(id);
}

relay_core::relay_core(relay_ports& ports, relay_limits limits)
    : m_ports(ports), m_limits(std::move(limits)) {}

} // namespace mangoquay::relay
