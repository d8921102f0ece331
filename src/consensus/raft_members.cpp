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
    if (may_change_members() && !readmit_changed_disk()) {
        promote_learner();
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

bool raft_node::promote_learner() {
    for (const member& learner : members().m_learners) {
        const auto found = m_progress.find(learner);
        if (found == m_progress.end() || found->second.m_match < m_commit) {
            continue;
        }
        const bool reachable = found->second.m_contact + m_settings.m_timing.m_min_election_timeout > m_now;
        if (reachable) {
            membership next = members();
            next.m_learners.erase(learner);
            next.m_voters.insert(learner);
            change_members(next);
            return true;
        }
    }
    return false;
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
            m_progress.try_emplace(peer, progress{.m_next = m_log.last_index() + 1});
        }
    };
    std::ranges::for_each(members().m_voters, add);
    std::ranges::for_each(members().m_learners, add);
}

std::optional<core::time_point> raft_node::last_contact(const core::entry_host_id& voter) const {
    for (const auto& [follower, state] : m_progress) {
        if (follower.m_host == voter) {
            return std::max(state.m_contact, m_leader_since);
        }
    }
    return members().contains_host(voter) && is_leader() ? std::optional(m_leader_since) : std::nullopt;
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

} // namespace mangoquay::consensus
