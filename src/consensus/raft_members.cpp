// Bootstraps a cell, readmits hosts that lost their disk and changes the membership.
#include "consensus/raft_node.h"

#include <algorithm>
#include <utility>

namespace mangoquay::consensus {
namespace {

void remove_host(membership& members, const core::entry_host_id& host) {
    const auto is_host = [&host](const member& peer) { return peer.m_host == host; };
    std::erase_if(members.m_voters, is_host);
    std::erase_if(members.m_learners, is_host);
}

} // namespace

membership raft_node::initial_membership() const {
    membership initial;
    for (const core::entry_host_id& host : m_settings.m_initial_hosts) {
        initial.m_voters.insert({host, {}});
    }
    return initial;
}

void raft_node::send_hellos() {
    std::set<core::entry_host_id> hosts = m_settings.m_initial_hosts;
    hosts.insert(m_known_hosts.begin(), m_known_hosts.end());
    for (const member& peer : members().m_voters) {
        hosts.insert(peer.m_host);
    }
    hosts.erase(self().m_host);
    raft_message hello = make_message(message_kind::hello);
    hello.m_granted = is_uninitialized();
    hello.m_members = initial_membership();
    hello.m_term = m_hello_term;
    hello.m_round = m_hello_round;
    hello.m_offset = ++m_hello_number;
    for (const core::entry_host_id& host : hosts) {
        send({host, {}}, hello);
    }
}

void raft_node::on_hello(const member& from, const raft_message& message) {
    constexpr std::uint64_t fresh_rounds = 10;
    raft_message reply = make_message(message_kind::hello_reply);
    if (is_leader()) {
        // The echoed round proves that the hello is recent. A delayed hello from an earlier disk is ignored.
        const bool fresh = message.m_term == m_hard_state.m_term && message.m_round != 0 &&
                           message.m_round + fresh_rounds >= m_round;
        if (fresh && members().contains_host(from.m_host) && !members().contains(from)) {
            m_changed_disks[from.m_host] = from.m_disk;
        }
    } else {
        reply.m_round = 0;
        reply.m_granted = is_uninitialized() && message.m_members == initial_membership();
    }
    reply.m_members = members();
    reply.m_offset = message.m_offset;
    send(from, std::move(reply));
}

void raft_node::on_hello_reply(const member& from, const raft_message& message) {
    constexpr std::uint64_t recent_hellos = 3;
    if (is_leader()) {
        return;
    }
    // A delayed reply to a previous process does not prove that the folder is still empty.
    const bool recent =
        message.m_offset <= m_hello_number && message.m_offset + recent_hellos > m_hello_number;
    m_hello_replies[from.m_host] = {from.m_disk, message.m_granted && recent, m_now};
    for (const member& peer : message.m_members.m_voters) {
        m_known_hosts.insert(peer.m_host);
    }
    if (message.m_round != 0) {
        m_hello_term = message.m_term;
        m_hello_round = message.m_round;
    }
}

// Only the initial host with the lowest id bootstraps the cell, and only when all initial hosts report that
// they have no stored state. A majority is not sufficient: a host that lost its disk and a host that the
// first commits never reached would bootstrap a second cell.
void raft_node::bootstrap_if_all_empty() {
    const auto& initial = m_settings.m_initial_hosts;
    if (!m_settings.m_may_bootstrap || !is_uninitialized() || initial.empty() ||
        *initial.begin() != self().m_host) {
        return;
    }
    membership initial_members;
    initial_members.m_voters.insert(self());
    for (const core::entry_host_id& host : initial) {
        if (host == self().m_host) {
            continue;
        }
        const auto reply = m_hello_replies.find(host);
        const bool empty = reply != m_hello_replies.end() && reply->second.m_empty &&
                           reply->second.m_at + m_settings.m_timing.m_min_election_timeout > m_now;
        if (!empty) {
            return;
        }
        initial_members.m_voters.insert({host, reply->second.m_disk});
    }
    set_hard_state({raft_term(1), {}});
    append_local_entry(entry_kind::members, encode_membership(initial_members));
}

bool raft_node::may_change_members() const {
    // Until an entry of this term is committed, a membership entry of an earlier leader might still be
    // committed instead.
    const bool settled = m_commit >= m_term_start_index && m_log.members_index() <= m_commit;
    return is_leader() && (settled || m_settings.m_faults.m_overlapping_changes);
}

void raft_node::maintain_members() {
    if (!may_change_members() || readmit_changed_disk()) {
        return;
    }
    if (m_settings.m_voter_target == 0) {
        promote_learner();
        return;
    }
    const std::size_t voters = members().m_voters.size();
    if (voters > m_settings.m_voter_target) {
        demote_surplus_voter();
    } else if (voters < m_settings.m_voter_target) {
        promote_learner();
    } else if (!replace_leaving_voter() && !replace_silent_voter()) {
        remove_lost_learner();
    }
}

bool raft_node::readmit_changed_disk() {
    while (!m_changed_disks.empty()) {
        const member readmitted{m_changed_disks.begin()->first, m_changed_disks.begin()->second};
        m_changed_disks.erase(m_changed_disks.begin());
        if (!members().contains_host(readmitted.m_host) || members().contains(readmitted)) {
            continue;
        }
        membership next = members();
        remove_host(next, readmitted.m_host);
        next.m_learners.insert(readmitted);
        change_members(next);
        return true;
    }
    return false;
}

const member* raft_node::ready_standby() const {
    for (const member& learner : members().m_learners) {
        const auto found = m_progress.find(learner);
        if (found == m_progress.end() || found->second.m_match < m_commit || is_leaving(learner.m_host)) {
            continue;
        }
        if (found->second.m_contact + m_settings.m_timing.m_min_election_timeout > m_now) {
            return &learner;
        }
    }
    return nullptr;
}

bool raft_node::promote_learner() {
    const member* standby = ready_standby();
    if (standby == nullptr) {
        return false;
    }
    membership next = members();
    next.m_learners.erase(*standby);
    next.m_voters.insert(*standby);
    change_members(next);
    return true;
}

void raft_node::demote(const member& voter) {
    membership next = members();
    next.m_voters.erase(voter);
    next.m_learners.insert(voter);
    change_members(next);
}

bool raft_node::is_silent(const member& voter) const {
    const auto contact = last_contact(voter.m_host);
    return voter != self() && contact && *contact + m_settings.m_timing.m_standby_takeover <= m_now;
}

bool raft_node::is_leaving(const core::entry_host_id& host) const {
    const auto found = m_leaving_hosts.find(host);
    return found != m_leaving_hosts.end() && !found->second.passed(m_now);
}

bool raft_node::demote_surplus_voter() {
    const member* chosen = nullptr;
    for (const member& voter : members().m_voters) {
        if (voter == self()) {
            continue;
        }
        chosen = &voter;
        // The request may have expired by now, but the surplus voter was promoted because of it.
        if (m_leaving_hosts.contains(voter.m_host) || is_silent(voter)) {
            break;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    demote(*chosen);
    return true;
}

bool raft_node::replace_leaving_voter() {
    std::erase_if(m_leaving_hosts, [this](const auto& entry) { return entry.second.passed(m_now); });
    const bool leaves = std::ranges::any_of(members().m_voters, [this](const member& voter) {
        return voter != self() && is_leaving(voter.m_host);
    });
    return leaves && promote_learner();
}

bool raft_node::replace_silent_voter() {
    if (ready_standby() == nullptr) {
        return false;
    }
    const auto silent =
        std::ranges::find_if(members().m_voters, [this](const member& voter) { return is_silent(voter); });
    if (silent == members().m_voters.end()) {
        return false;
    }
    demote(*silent);
    return true;
}

bool raft_node::remove_lost_learner() {
    const auto lost = std::ranges::find_if(members().m_learners, [this](const member& learner) {
        const auto found = m_progress.find(learner);
        return found != m_progress.end() && std::max(found->second.m_contact, found->second.m_tracked_since) +
                                                    m_settings.m_timing.m_learner_retention <=
                                                m_now;
    });
    if (lost == members().m_learners.end()) {
        return false;
    }
    membership next = members();
    next.m_learners.erase(*lost);
    change_members(next);
    return true;
}

void raft_node::change_members(const membership& next) {
    append_local_entry(entry_kind::members, encode_membership(next));
    update_progress_table();
    for (const auto& [follower, state] : m_progress) {
        send_append(follower, false);
    }
}

void raft_node::update_progress_table() {
    std::erase_if(m_progress, [this](const auto& peer) { return !members().contains(peer.first); });
    const auto add = [this](const member& peer) {
        if (peer != self() && peer.m_disk != disk_id{}) {
            m_progress.try_emplace(peer,
                                   progress{.m_next = m_log.last_index() + 1, .m_tracked_since = m_now});
        }
    };
    std::ranges::for_each(members().m_voters, add);
    std::ranges::for_each(members().m_learners, add);
}

std::optional<core::time_point> raft_node::last_contact(const core::entry_host_id& host) const {
    for (const auto& [follower, state] : m_progress) {
        if (follower.m_host == host) {
            // A former leader was silent before the election already.
            const bool led = follower == m_last_leader && m_last_leader_contact < m_leader_since;
            return std::max(state.m_contact, led ? m_last_leader_contact : state.m_tracked_since);
        }
    }
    return members().contains_host(host) && is_leader() ? std::optional(m_leader_since) : std::nullopt;
}

std::string raft_node::replace_refusal(const replace_host& change) const {
    if (!is_leader()) {
        return "this host is not the leader";
    }
    if (change.m_lost == self().m_host) {
        return "the leader cannot replace itself";
    }
    if (!change.m_lost.value().empty() && !members().contains_host(change.m_lost)) {
        return "host " + change.m_lost.value() + " is not a control host";
    }
    if (members().contains_host(change.m_replacement)) {
        return "host " + change.m_replacement.value() + " is already a control host";
    }
    return may_change_members() ? "" : "another membership change is in progress";
}

void raft_node::on_event(const replace_host& event) {
    const bool done = is_leader() && !event.m_lost.value().empty() &&
                      !members().contains_host(event.m_lost) && members().contains_host(event.m_replacement);
    const std::string refusal = done ? "" : replace_refusal(event);
    if (refusal.empty() && !done) {
        membership next = members();
        remove_host(next, event.m_lost);
        // The disk becomes known with the first hello of the host.
        next.m_learners.insert({event.m_replacement, {}});
        change_members(next);
    }
    emit(replace_outcome{refusal});
}

void raft_node::on_event(const host_leaving& event) {
    if (is_leader() && event.m_host != self().m_host) {
        m_leaving_hosts[event.m_host] = core::deadline_after(m_now, m_settings.m_timing.m_leave_validity);
        maintain_members();
    }
}

void raft_node::on_event(const abdicate&) {
    m_abdicated = true;
    if (m_role != raft_role::follower) {
        become_follower(m_hard_state.m_term);
    }
}

} // namespace mangoquay::consensus
