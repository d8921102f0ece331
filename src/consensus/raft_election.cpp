// Elections: pre-votes, votes, and the rule that a voter in contact with a leader grants no vote.
#include "consensus/raft_node.h"

#include <utility>

namespace mangoquay::consensus {

void raft_node::reset_election_timer() {
    const auto min_timeout = core::microseconds(m_settings.m_timing.m_min_election_timeout).count();
    const auto max_timeout = core::microseconds(m_settings.m_timing.m_max_election_timeout).count();
    const auto spread = static_cast<std::uint64_t>(max_timeout - min_timeout + 1);
    const auto timeout = core::microseconds(min_timeout + static_cast<std::int64_t>(m_random() % spread));
    m_election = core::deadline_after(m_now, timeout);
}

void raft_node::start_pre_vote() {
    m_role = raft_role::pre_candidate;
    m_votes = {self()};
    reset_election_timer();
    ++m_round;
    request_votes(message_kind::pre_vote);
    count_votes();
}

void raft_node::start_vote() {
    m_role = raft_role::candidate;
    m_votes.clear();
    set_hard_state({raft_term(m_hard_state.m_term.value() + 1), self()});
    reset_election_timer();
    ++m_round;
    request_votes(message_kind::vote);
}

void raft_node::request_votes(message_kind kind) {
    raft_message request = make_message(kind);
    request.m_index = m_log.last_index();
    request.m_log_term = m_log.last_term();
    for (const member& voter : members().m_voters) {
        if (voter != self() && voter.m_disk != disk_id{}) {
            send_after(m_hard_state_sequence, voter, request);
        }
    }
}

void raft_node::count_votes() {
    const bool synced = m_hard_state_sequence <= m_synced_sequence || m_settings.m_faults.m_count_unsynced;
    if (m_role == raft_role::candidate && synced) {
        m_votes.insert(self());
    }
    if (!has_quorum(m_votes)) {
        return;
    }
    if (m_role == raft_role::pre_candidate) {
        start_vote();
    } else {
        become_leader();
    }
}

bool raft_node::has_recent_leader_contact() const {
    const auto contact =
        is_leader() ? std::max(quorum_contact(m_now), m_leader_since) : m_last_leader_contact;
    return contact + m_settings.m_timing.m_min_election_timeout > m_now;
}

bool raft_node::may_vote_for(const member& from, const raft_message& request) const {
    if (has_recent_leader_contact() && !m_settings.m_faults.m_ignore_leader_contact) {
        return false;
    }
    const bool voted_for_other = m_hard_state.m_vote != member{} && m_hard_state.m_vote != from;
    if (request.m_kind == message_kind::vote && voted_for_other && !m_settings.m_faults.m_vote_twice) {
        return false;
    }
    const auto candidate = std::pair(request.m_log_term, request.m_index);
    const auto own = std::pair(m_log.last_term(), m_log.last_index());
    return candidate >= own || m_settings.m_faults.m_skip_log_check;
}

void raft_node::on_pre_vote(const member& from, const raft_message& message) {
    raft_message reply = make_message(message_kind::pre_vote_reply);
    reply.m_round = message.m_round;
    reply.m_granted = message.m_term >= m_hard_state.m_term && may_vote_for(from, message);
    send_after(m_hard_state_sequence, from, std::move(reply));
}

void raft_node::on_vote(const member& from, const raft_message& message) {
    if (message.m_term > m_hard_state.m_term) {
        // The term is not adopted: a candidate that has lost contact must not depose a working leader.
        if (has_recent_leader_contact() && !m_settings.m_faults.m_ignore_leader_contact) {
            return;
        }
        become_follower(message.m_term);
    }
    const bool granted = message.m_term == m_hard_state.m_term && !is_leader() && may_vote_for(from, message);
    if (granted) {
        if (m_hard_state.m_vote != from) {
            set_hard_state({m_hard_state.m_term, from});
        }
        reset_election_timer();
    }
    raft_message reply = make_message(message_kind::vote_reply);
    reply.m_round = message.m_round;
    reply.m_granted = granted;
    send_after(m_hard_state_sequence, from, std::move(reply));
}

void raft_node::on_vote_reply(const member& from, const raft_message& message) {
    const bool pre_vote = message.m_kind == message_kind::pre_vote_reply;
    const bool awaited = m_role == (pre_vote ? raft_role::pre_candidate : raft_role::candidate);
    // A voter with a lower term may grant a pre-vote. A vote counts only in its own term.
    const bool current = pre_vote || message.m_term == m_hard_state.m_term;
    if (awaited && current && message.m_granted && message.m_round == m_round) {
        m_votes.insert(from);
        count_votes();
    }
}

} // namespace mangoquay::consensus
