// Handles events, storage confirmations and role changes.
#include "consensus/raft_node.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mangoquay::consensus {

raft_node::raft_node(raft_settings settings, recovered_state recovered, core::time_point now)
    : m_settings(std::move(settings)), m_now(now), m_random(m_settings.m_seed),
      m_hard_state(recovered.m_hard_state),
      m_log(std::move(recovered.m_snapshot), std::move(recovered.m_entries)) {
    const snapshot& base = m_log.last_snapshot();
    m_commit = base.m_index;
    m_applied = base.m_index;
    m_durable = m_log.last_index();
    // A previous process on this disk may have answered a leader just before it ended. Its promise to grant
    // no vote for the minimum election timeout still holds.
    m_last_leader_contact = m_settings.m_faults.m_skip_restart_wait ? now - std::chrono::hours(1) : now;
    reset_election_timer();
    m_hello_number = m_random();
    if (base.m_index != 0) {
        emit(restore_state{base.m_index, base.m_state});
    }
}

std::vector<raft_action> raft_node::step(const raft_event& event, core::time_point now) {
    m_now = std::max(m_now, now);
    std::visit([this](const auto& occurred) { on_event(occurred); }, event);
    return std::exchange(m_actions, {});
}

core::time_point raft_node::next_tick() const {
    return is_leader() ? m_next_heartbeat.m_at : std::min(m_election.m_at, m_next_hello.m_at);
}

bool raft_node::holds_lease(core::time_point now) const {
    return is_leader() && m_applied >= m_term_start_index && !lease_end(now).passed(now);
}

core::deadline raft_node::lease_end(core::time_point now) const {
    return core::deadline_after(quorum_contact(now), m_settings.m_timing.m_lease);
}

void raft_node::on_event(const message_received& event) {
    const raft_message& message = event.m_message;
    const bool for_this_disk =
        message.m_to_disk == disk_id{} || message.m_to_disk == m_settings.m_self.m_disk;
    if (for_this_disk && event.m_from != m_settings.m_self.m_host) {
        dispatch({event.m_from, message.m_from_disk}, message);
    }
}

void raft_node::dispatch(const member& from, const raft_message& message) {
    switch (message.m_kind) {
    case message_kind::pre_vote:
        return on_pre_vote(from, message);
    case message_kind::vote:
        return on_vote(from, message);
    case message_kind::append:
    case message_kind::snapshot:
        return dispatch_leader_message(from, message);
    case message_kind::hello:
        return on_hello(from, message);
    case message_kind::hello_reply:
        return on_hello_reply(from, message);
    default:
        return dispatch_reply(from, message);
    }
}

void raft_node::dispatch_leader_message(const member& from, const raft_message& message) {
    if (message.m_term < m_hard_state.m_term) {
        // Notifies a leader of an earlier term that it has been replaced.
        send_after(m_hard_state_sequence, from, make_message(message_kind::append_reply));
        return;
    }
    if (message.m_term > m_hard_state.m_term) {
        become_follower(message.m_term);
    }
    if (is_leader()) {
        return;
    }
    accept_leader(from);
    if (message.m_kind == message_kind::append) {
        on_append(from, message);
    } else {
        on_snapshot(from, message);
    }
}

void raft_node::dispatch_reply(const member& from, const raft_message& message) {
    if (message.m_term > m_hard_state.m_term) {
        become_follower(message.m_term);
        return;
    }
    const bool votes =
        message.m_kind == message_kind::vote_reply || message.m_kind == message_kind::pre_vote_reply;
    if (votes) {
        on_vote_reply(from, message);
        return;
    }
    if (!is_leader() || message.m_term != m_hard_state.m_term || !m_progress.contains(from)) {
        return;
    }
    if (message.m_kind == message_kind::append_reply) {
        on_append_reply(from, message);
    } else {
        on_snapshot_reply(from, message);
    }
}

void raft_node::on_event(const tick&) {
    if (is_leader()) {
        tick_leader();
    } else {
        tick_follower();
    }
}

void raft_node::tick_leader() {
    const auto last_quorum = std::max(quorum_contact(m_now), m_leader_since);
    if (last_quorum + m_settings.m_timing.m_max_election_timeout <= m_now || storage_stalled()) {
        become_follower(m_hard_state.m_term);
        return;
    }
    if (m_next_heartbeat.passed(m_now)) {
        maintain_members();
        broadcast();
    }
}

void raft_node::tick_follower() {
    if (m_election.passed(m_now)) {
        m_leader.reset();
        if (members().is_voter(self()) && !storage_stalled() && !m_abdicated) {
            start_pre_vote();
        } else {
            reset_election_timer();
        }
    }
    if (m_next_hello.passed(m_now)) {
        m_next_hello = core::deadline_after(m_now, m_settings.m_timing.m_heartbeat);
        if (!m_leader) {
            bootstrap_if_all_empty();
            send_hellos();
        }
    }
}

void raft_node::on_event(const propose_batch& event) {
    const std::uint64_t count = event.m_payloads.size();
    if (!is_leader() || m_log.last_index() - m_commit >= m_settings.m_limits.m_max_uncommitted) {
        emit(proposals_refused{count});
        return;
    }
    const log_index first = m_log.last_index() + 1;
    std::vector<log_entry> entries;
    for (const std::string& payload : event.m_payloads) {
        entries.push_back({m_hard_state.m_term, first + entries.size(), entry_kind::command, payload});
        m_log.append(entries.back());
    }
    persist_entries(std::move(entries));
    emit(proposals_accepted{first, count, m_hard_state.m_term});
    for (const auto& [follower, state] : m_progress) {
        send_append(follower, false);
    }
}

void raft_node::on_event(const storage_synced& event) {
    m_synced_sequence = std::max(m_synced_sequence, event.m_sequence);
    m_storage_progress = m_now;
    while (!m_pending_appends.empty() && m_pending_appends.front().m_sequence <= m_synced_sequence) {
        m_durable = std::max(m_durable, m_pending_appends.front().m_last);
        m_pending_appends.pop_front();
    }
    while (!m_deferred_actions.empty() && m_deferred_actions.front().m_sequence <= m_synced_sequence) {
        emit(std::move(m_deferred_actions.front().m_action));
        m_deferred_actions.pop_front();
    }
    if (m_restore_sequence != 0 && m_restore_sequence <= m_synced_sequence) {
        m_restore_sequence = 0;
        m_applied = m_log.last_snapshot().m_index;
    }
    if (m_role == raft_role::candidate) {
        count_votes();
    }
    if (is_leader()) {
        advance_commit();
    }
    apply_committed();
}

void raft_node::on_event(const snapshot_taken& event) {
    if (m_restore_sequence != 0 || m_applied <= m_log.last_snapshot().m_index) {
        return;
    }
    const snapshot taken{m_applied, *m_log.term_at(m_applied), m_log.members_at(m_applied), event.m_state};
    m_log.compact(taken, m_settings.m_limits.m_kept_entries);
    std::vector<log_entry> kept = m_log.slice(m_log.first_index(), std::numeric_limits<std::size_t>::max());
    emit(save_snapshot{next_sequence(), taken, std::move(kept)});
}

void raft_node::become_follower(raft_term term) {
    const bool led = is_leader();
    if (term > m_hard_state.m_term) {
        set_hard_state({term, {}});
        m_leader.reset();
    }
    m_role = raft_role::follower;
    m_votes.clear();
    reset_election_timer();
    if (led) {
        m_leader.reset();
        m_progress.clear();
        m_rounds.clear();
        m_changed_disks.clear();
        m_leaving_hosts.clear();
        emit(stepped_down{});
    }
}

void raft_node::become_leader() {
    m_role = raft_role::leader;
    m_leader = self();
    m_leader_since = m_now;
    m_votes.clear();
    update_progress_table();
    // Entries of earlier terms are committed only together with an entry of the current term.
    m_term_start_index = append_local_entry(entry_kind::no_op, {});
    emit(became_leader{});
    broadcast();
}

void raft_node::set_hard_state(hard_state state) {
    m_hard_state = std::move(state);
    m_hard_state_sequence = next_sequence();
    emit(save_hard_state{m_last_sequence, m_hard_state});
}

std::uint64_t raft_node::next_sequence() {
    if (m_synced_sequence == m_last_sequence) {
        m_storage_progress = m_now;
    }
    return ++m_last_sequence;
}

bool raft_node::storage_stalled() const {
    return m_synced_sequence < m_last_sequence &&
           m_storage_progress + m_settings.m_timing.m_storage_stall <= m_now;
}

void raft_node::persist_entries(std::vector<log_entry> entries) {
    const log_index last = entries.back().m_index;
    emit(append_entries{next_sequence(), std::move(entries)});
    m_pending_appends.push_back({m_last_sequence, last});
}

log_index raft_node::append_local_entry(entry_kind kind, std::string payload) {
    const log_index index = m_log.last_index() + 1;
    log_entry entry{m_hard_state.m_term, index, kind, std::move(payload)};
    m_log.append(entry);
    persist_entries({std::move(entry)});
    return index;
}

void raft_node::set_commit(log_index index) {
    m_commit = std::max(m_commit, index);
    apply_committed();
}

void raft_node::apply_committed() {
    const log_index last = std::min(m_commit, durable_index());
    if (m_restore_sequence != 0 || last <= m_applied) {
        return;
    }
    apply_entries applied;
    for (log_index index = m_applied + 1; index <= last; ++index) {
        applied.m_entries.push_back(m_log.at(index));
    }
    m_applied = last;
    emit(std::move(applied));
}

void raft_node::emit_after_sync(std::uint64_t sequence, raft_action action) {
    if (sequence <= m_synced_sequence || m_settings.m_faults.m_count_unsynced) {
        emit(std::move(action));
    } else {
        // Deferred actions are released in order. An action that depends on an earlier sequence number
        // therefore also waits for the last one.
        m_deferred_actions.push_back({m_last_sequence, std::move(action)});
    }
}

void raft_node::send(const member& to, raft_message message) {
    send_after(0, to, std::move(message));
}

void raft_node::send_after(std::uint64_t sequence, const member& to, raft_message message) {
    message.m_to_disk = to.m_disk;
    emit_after_sync(sequence, send_message{to.m_host, std::move(message)});
}

raft_message raft_node::make_message(message_kind kind) const {
    raft_message message;
    message.m_kind = kind;
    message.m_from_disk = self().m_disk;
    message.m_term = m_hard_state.m_term;
    message.m_round = m_round;
    return message;
}

std::set<member> raft_node::counted_members() const {
    std::set<member> counted = members().m_voters;
    if (m_settings.m_faults.m_count_learners) {
        counted.insert(members().m_learners.begin(), members().m_learners.end());
    }
    return counted;
}

bool raft_node::has_quorum(const std::set<member>& granted) const {
    const auto counted = counted_members();
    const auto is_counted = [&counted](const member& voter) { return counted.contains(voter); };
    return static_cast<std::size_t>(std::ranges::count_if(granted, is_counted)) >= members().quorum();
}

log_index raft_node::durable_index() const {
    return m_settings.m_faults.m_count_unsynced ? m_log.last_index() : m_durable;
}

} // namespace mangoquay::consensus
