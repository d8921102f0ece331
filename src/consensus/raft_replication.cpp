// Replicates entries and snapshots, advances the commit index and records the contact times on which the
// leader lease is based.
#include "consensus/raft_node.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangoquay::consensus {

void raft_node::broadcast() {
    constexpr std::size_t max_remembered_rounds = 64;
    ++m_round;
    m_rounds.push_back({m_round, m_now});
    if (m_rounds.size() > max_remembered_rounds) {
        m_rounds.pop_front();
    }
    m_next_heartbeat = core::deadline_after(m_now, m_settings.m_timing.m_heartbeat);
    for (const auto& [follower, state] : m_progress) {
        send_append(follower, true);
    }
}

void raft_node::send_append(const member& to, bool even_if_empty) {
    progress& follower = m_progress.at(to);
    const bool compacted =
        follower.m_next < m_log.first_index() || !m_log.term_at(follower.m_next - 1).has_value();
    const bool needs_snapshot = follower.m_snapshot_index != 0 || compacted;
    if (needs_snapshot) {
        if (even_if_empty) {
            send_heartbeat_only(to);
            send_snapshot_chunk(to);
        }
        return;
    }
    bool forced = even_if_empty;
    while (true) {
        const bool may_send = !follower.m_probing &&
                              follower.m_next - follower.m_match <= m_settings.m_limits.m_max_unacknowledged;
        raft_message message = make_message(message_kind::append);
        message.m_index = follower.m_next - 1;
        message.m_log_term = *m_log.term_at(message.m_index);
        message.m_commit = m_commit;
        if (may_send) {
            message.m_entries = m_log.slice(follower.m_next, m_settings.m_limits.m_max_append_bytes);
        }
        if (message.m_entries.empty() && !forced) {
            return;
        }
        forced = false;
        follower.m_next += message.m_entries.size();
        send(to, std::move(message));
    }
}

// Sends a heartbeat to a follower that needs a snapshot. It renews the lease although the logs cannot be
// compared.
void raft_node::send_heartbeat_only(const member& to) {
    send(to, make_message(message_kind::append));
}

void raft_node::send_snapshot_chunk(const member& to) {
    progress& follower = m_progress.at(to);
    const snapshot& base = m_log.last_snapshot();
    if (follower.m_snapshot_index != base.m_index) {
        follower.m_snapshot_index = base.m_index;
        follower.m_snapshot_offset = 0;
    }
    const std::size_t offset = std::min<std::size_t>(follower.m_snapshot_offset, base.m_state.size());
    raft_message message = make_message(message_kind::snapshot);
    message.m_index = base.m_index;
    message.m_log_term = base.m_term;
    message.m_members = base.m_members;
    message.m_offset = offset;
    message.m_total = base.m_state.size();
    message.m_state = base.m_state.substr(offset, m_settings.m_limits.m_snapshot_chunk_bytes);
    send(to, std::move(message));
}

void raft_node::accept_leader(const member& from) {
    if (m_role != raft_role::follower) {
        become_follower(m_hard_state.m_term);
    }
    m_leader = from;
    m_last_leader = from;
    m_last_leader_contact = m_now;
    reset_election_timer();
}

void raft_node::on_append(const member& from, const raft_message& message) {
    // Committed entries are identical on every leader, so no term comparison is needed up to m_commit.
    if (message.m_index > m_commit && !m_log.matches(message.m_index, message.m_log_term)) {
        reject_append(from, message);
        return;
    }
    const log_index matched = append_new_entries(message);
    set_commit(std::min(message.m_commit, matched));
    acknowledge(from, matched, message.m_round, message.m_entries.empty());
}

void raft_node::reject_append(const member& from, const raft_message& message) {
    log_index retry = std::min(message.m_index - 1, m_log.last_index());
    const auto conflicting = m_log.term_at(message.m_index);
    // Skips all entries of the conflicting term in one step.
    while (conflicting && retry > m_commit && m_log.term_at(retry) == conflicting) {
        --retry;
    }
    raft_message reply = make_message(message_kind::append_reply);
    reply.m_round = message.m_round;
    reply.m_index = retry;
    reply.m_offset = message.m_index;
    send_after(m_hard_state_sequence, from, std::move(reply));
}

log_index raft_node::append_new_entries(const raft_message& message) {
    std::vector<log_entry> added;
    for (const log_entry& entry : message.m_entries) {
        const bool known = entry.m_index <= m_commit || m_log.matches(entry.m_index, entry.m_term);
        if (added.empty() && known) {
            continue;
        }
        if (entry.m_index <= m_log.last_index()) {
            m_log.truncate_from(entry.m_index);
            m_durable = std::min(m_durable, entry.m_index - 1);
            for (pending_append& pending : m_pending_appends) {
                pending.m_last = std::min(pending.m_last, entry.m_index - 1);
            }
        }
        m_log.append(entry);
        added.push_back(entry);
    }
    if (!added.empty()) {
        persist_entries(std::move(added));
    }
    return message.m_index + message.m_entries.size();
}

// Heartbeats are acknowledged immediately up to the synced index, so that a slow disk does not make the
// leader lose its lease.
void raft_node::acknowledge(const member& to, log_index matched, std::uint64_t round, bool immediately) {
    raft_message reply = make_message(message_kind::append_reply);
    reply.m_round = round;
    reply.m_granted = true;
    if (matched <= durable_index() || immediately) {
        reply.m_index = std::min(matched, durable_index());
        send_after(m_hard_state_sequence, to, std::move(reply));
    } else {
        reply.m_index = matched;
        send_after(m_last_sequence, to, std::move(reply));
    }
}

void raft_node::on_append_reply(const member& from, const raft_message& message) {
    progress& follower = m_progress.at(from);
    record_contact(follower, message.m_round);
    if (!message.m_granted) {
        const log_index rejected = message.m_offset;
        // A delayed rejection may concern an index that has been matched since or is no longer being probed.
        const bool stale =
            rejected <= follower.m_match || (follower.m_probing && rejected != follower.m_next - 1);
        if (!stale) {
            follower.m_next = std::max(follower.m_match + 1, std::min(rejected, message.m_index + 1));
            follower.m_probing = true;
            send_append(from, true);
        }
        return;
    }
    if (follower.m_snapshot_index != 0 && message.m_index < follower.m_snapshot_index) {
        return;
    }
    follower.m_snapshot_index = 0;
    follower.m_match = std::max(follower.m_match, std::min(message.m_index, m_log.last_index()));
    follower.m_next = std::max(follower.m_next, follower.m_match + 1);
    follower.m_probing = false;
    advance_commit();
    if (m_progress.contains(from)) { // A membership change may have removed it.
        send_append(from, false);
    }
}

void raft_node::record_contact(progress& follower, std::uint64_t round) {
    const auto sent = std::ranges::find(m_rounds, round, &sent_round::m_round);
    if (sent != m_rounds.end()) {
        follower.m_contact = std::max(follower.m_contact, sent->m_sent);
    }
}

core::time_point raft_node::quorum_contact(core::time_point now) const {
    std::vector<core::time_point> contacts;
    for (const member& counted : counted_members()) {
        const auto found = m_progress.find(counted);
        if (counted == self()) {
            contacts.push_back(now);
        } else {
            contacts.push_back(found == m_progress.end() ? core::time_point::min() : found->second.m_contact);
        }
    }
    std::ranges::sort(contacts, std::greater{});
    const std::size_t quorum = members().quorum();
    return contacts.size() < quorum ? core::time_point::min() : contacts[quorum - 1];
}

void raft_node::advance_commit() {
    std::vector<log_index> matches;
    for (const member& counted : counted_members()) {
        const auto found = m_progress.find(counted);
        if (counted == self()) {
            matches.push_back(durable_index());
        } else {
            matches.push_back(found == m_progress.end() ? 0 : found->second.m_match);
        }
    }
    std::ranges::sort(matches, std::greater{});
    // Limited by the local durable index, so that the leader's state machine never lags behind a follower's.
    const log_index agreed = std::min(matches.at(members().quorum() - 1), durable_index());
    if (agreed <= m_commit || m_log.term_at(agreed) != m_hard_state.m_term) {
        return;
    }
    set_commit(agreed);
    for (const auto& [follower, state] : m_progress) {
        send_append(follower, true);
    }
    maintain_members(); // The next membership change need not wait for the next heartbeat.
}

void raft_node::on_snapshot(const member& from, const raft_message& message) {
    // A log that contains the last entry of the snapshot is kept, because its entries may have been
    // acknowledged.
    if (message.m_index <= m_commit || m_log.matches(message.m_index, message.m_log_term)) {
        set_commit(message.m_index);
        acknowledge(from, message.m_index, message.m_round, false);
        return;
    }
    const bool continued = m_incoming && m_incoming->m_from == from &&
                           m_incoming->m_index == message.m_index && m_incoming->m_term == message.m_term;
    if (!continued) {
        m_incoming = incoming_snapshot{from, message.m_index, message.m_term, {}};
    }
    if (message.m_offset == m_incoming->m_bytes.size()) {
        m_incoming->m_bytes += message.m_state;
    }
    if (m_incoming->m_bytes.size() >= message.m_total) {
        install_received_snapshot(message);
        acknowledge(from, message.m_index, message.m_round, false);
        return;
    }
    raft_message reply = make_message(message_kind::snapshot_reply);
    reply.m_round = message.m_round;
    reply.m_index = message.m_index;
    reply.m_offset = m_incoming->m_bytes.size();
    send_after(m_hard_state_sequence, from, std::move(reply));
}

void raft_node::install_received_snapshot(const raft_message& message) {
    const snapshot received{message.m_index, message.m_log_term, message.m_members,
                            std::move(m_incoming->m_bytes)};
    m_incoming.reset();
    m_log.reset(received);
    m_commit = received.m_index;
    m_durable = std::min(m_durable, m_applied);
    m_pending_appends.clear();
    emit(install_snapshot{next_sequence(), received});
    m_pending_appends.push_back({m_last_sequence, received.m_index});
    m_restore_sequence = m_last_sequence;
    emit_after_sync(m_last_sequence, restore_state{received.m_index, received.m_state});
}

void raft_node::on_snapshot_reply(const member& from, const raft_message& message) {
    progress& follower = m_progress.at(from);
    record_contact(follower, message.m_round);
    if (follower.m_snapshot_index == message.m_index && follower.m_snapshot_offset != message.m_offset) {
        follower.m_snapshot_offset = message.m_offset;
        send_snapshot_chunk(from);
    }
}

} // namespace mangoquay::consensus
