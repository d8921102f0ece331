// The Raft core of one control host: elections, replication, membership and leader leases. It is
// deterministic: the driver passes in events with the time of its monotonic clock and executes the returned
// actions in order.
//
// Messages that make a promise (votes, acknowledgements of entries) are returned only after the storage
// actions that they depend on have been reported as synced.
//
// Invariants:
// - The term and the vote never regress.
// - m_commit never decreases, and on a leader m_commit <= min(last index, m_durable).
// - m_applied <= min(m_commit, m_durable): only locally synced entries are passed to the state machine.
// - A leader is a voter of its newest membership and has at most one uncommitted membership entry.
#pragma once

#include "consensus/raft_log.h"
#include "consensus/raft_message.h"
#include "core/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace mangoquay::consensus {

struct raft_timing {
    core::milliseconds m_heartbeat{100};
    core::milliseconds m_min_election_timeout{400};
    core::milliseconds m_max_election_timeout{800};
    // Clock rates may deviate by 10 % in either direction. While a slow leader measures 300 ms, at most
    // 300 * 1.1 / 0.9 = 367 ms pass on the fastest follower, which grants no vote for 400 ms.
    core::milliseconds m_lease{300};
    // A leader steps down when storage actions are pending and its disk has confirmed none for this long.
    // Heartbeats need no disk, so its followers would otherwise keep following a leader whose disk hangs.
    core::milliseconds m_storage_stall{2000};
    // A voter without contact for this long changes places with a standby. Longer than an election, shorter
    // than the start of a process on most machines: a voter that returns later is a standby itself.
    core::milliseconds m_standby_takeover{600};
    // A learner without contact for this long is no longer a member. It may join again.
    core::milliseconds m_learner_retention{10000};
    // How long a request of a host to leave holds unless it is repeated.
    core::milliseconds m_leave_validity{1000};
};

struct raft_limits {
    std::size_t m_max_append_bytes = 1U << 20U;     // Maximum payload of one append message.
    std::size_t m_snapshot_chunk_bytes = 1U << 20U; // Maximum state bytes in one snapshot message.
    std::uint64_t m_max_unacknowledged = 4096; // Entries sent to one follower beyond its acknowledgement.
    std::uint64_t m_max_uncommitted = 16384;   // Proposals are refused at this many uncommitted entries.
    std::uint64_t m_kept_entries = 4096;       // Entries kept before the end of a snapshot.
};

// Each flag disables one safety rule, so that tests can check that they detect its absence. All are false in
// production.
struct raft_faults {
    bool m_count_unsynced = false;
    bool m_skip_log_check = false;
    bool m_count_learners = false;
    bool m_ignore_leader_contact = false;
    bool m_skip_restart_wait = false;
    bool m_vote_twice = false;
    bool m_overlapping_changes = false;
};

struct raft_settings {
    member m_self;
    std::set<core::entry_host_id> m_initial_hosts;
    // When false, this host never bootstraps a cell. It only asks the initial hosts for the existing cell,
    // and a host without stored state waits until it is admitted.
    bool m_may_bootstrap = true;
    // Number of voters of a complete cell. Further hosts stay learners that have the whole log, as standbys:
    // one of them takes the place of a voter that leaves or is lost. 0: every learner becomes a voter.
    std::size_t m_voter_target = 0;
    raft_timing m_timing;
    raft_limits m_limits;
    std::uint64_t m_seed = 1;
    raft_faults m_faults;
};

// Events.
struct message_received {
    core::entry_host_id m_from;
    raft_message m_message;
};
struct tick {};
struct propose_batch {
    std::vector<std::string> m_payloads;
};
// All storage actions up to this sequence number are durable.
struct storage_synced {
    std::uint64_t m_sequence = 0;
};
// State of the state machine at the last applied index.
struct snapshot_taken {
    std::string m_state;
};
struct replace_host {
    core::entry_host_id m_lost; // Empty when the replacement is added without removing a host.
    core::entry_host_id m_replacement;
};
// The host is about to stop. On a leader, a standby changes places with it if there is one.
struct host_leaving {
    core::entry_host_id m_host;
};
// This host is about to stop: it leads no longer and starts no election.
struct abdicate {};
using raft_event = std::variant<message_received, tick, propose_batch, storage_synced, snapshot_taken,
                                replace_host, host_leaving, abdicate>;

// Actions.
struct send_message {
    core::entry_host_id m_to;
    raft_message m_message;
};
// Storage actions take effect in the order of their sequence numbers.
struct save_hard_state {
    std::uint64_t m_sequence = 0;
    hard_state m_state;
};
// Replaces all stored entries from the first entry's index on.
struct append_entries {
    std::uint64_t m_sequence = 0;
    std::vector<log_entry> m_entries;
};
// Saves a snapshot of the local state machine. Replaces the stored log by m_kept, which may contain entries
// before and after the end of the snapshot.
struct save_snapshot {
    std::uint64_t m_sequence = 0;
    snapshot m_snapshot;
    std::vector<log_entry> m_kept;
};
// Replaces the stored snapshot and log by a snapshot received from the leader.
struct install_snapshot {
    std::uint64_t m_sequence = 0;
    snapshot m_snapshot;
};
// Replaces the state of the state machine: by the recovered snapshot at start, and by a received snapshot
// after it has been synced.
struct restore_state {
    log_index m_index = 0;
    std::string m_state;
};
struct apply_entries {
    std::vector<log_entry> m_entries;
};
struct proposals_accepted {
    log_index m_first = 0;
    std::uint64_t m_count = 0;
    raft_term m_term;
};
struct proposals_refused {
    std::uint64_t m_count = 0;
};
struct became_leader {};
struct stepped_down {};
// Outcome of replace_host. An empty reason means that the change has been appended to the log or was made
// before.
struct replace_outcome {
    std::string m_reason;
};
using raft_action = std::variant<send_message, save_hard_state, append_entries, save_snapshot,
                                 install_snapshot, restore_state, apply_entries, proposals_accepted,
                                 proposals_refused, became_leader, stepped_down, replace_outcome>;

enum class raft_role : std::uint8_t { follower, pre_candidate, candidate, leader };

class raft_node {
public:
    raft_node(raft_settings settings, recovered_state recovered, core::time_point now);

    std::vector<raft_action> step(const raft_event& event, core::time_point now);
    // Returns the time by which the next tick must be delivered.
    [[nodiscard]] core::time_point next_tick() const;

    [[nodiscard]] raft_role role() const { return m_role; }
    [[nodiscard]] raft_term current_term() const { return m_hard_state.m_term; }
    [[nodiscard]] bool is_leader() const { return m_role == raft_role::leader; }
    // Returns true on a leader that has applied an entry of its own term, while a quorum is bound by its
    // promise to elect no other leader.
    [[nodiscard]] bool holds_lease(core::time_point now) const;
    // When the lease ends unless it is renewed. Requires holds_lease(now).
    [[nodiscard]] core::deadline lease_end(core::time_point now) const;
    [[nodiscard]] const std::optional<member>& leader() const { return m_leader; }
    // On a leader, returns the send time of the newest message that the member has answered. If there is
    // none, returns when it joined, at the earliest the time of the election; for the former leader the time
    // of its last message.
    [[nodiscard]] std::optional<core::time_point> last_contact(const core::entry_host_id& host) const;
    [[nodiscard]] const member& self() const { return m_settings.m_self; }
    [[nodiscard]] const membership& members() const { return m_log.members(); }
    [[nodiscard]] const raft_log& log() const { return m_log; }
    [[nodiscard]] log_index commit_index() const { return m_commit; }
    [[nodiscard]] log_index applied_index() const { return m_applied; }

private:
    struct progress {
        log_index m_match = 0; // Last entry known to be synced on the follower.
        log_index m_next = 1;  // Next entry to send.
        bool m_probing = true; // m_next is a guess; no entries are sent until the follower confirms it.
        core::time_point m_contact = core::time_point::min(); // Send time of the newest answered round.
        core::time_point m_tracked_since{};                   // Time of the election, or of joining after it.
        std::uint64_t m_snapshot_offset = 0;                  // Next byte of the snapshot to send.
        log_index m_snapshot_index = 0;                       // 0 while the follower receives entries.
    };
    struct deferred_action {
        std::uint64_t m_sequence = 0;
        raft_action m_action;
    };
    struct pending_append {
        std::uint64_t m_sequence = 0;
        log_index m_last = 0;
    };
    struct incoming_snapshot {
        member m_from;
        log_index m_index = 0;
        raft_term m_term;
        std::string m_bytes;
    };
    struct sent_round {
        std::uint64_t m_round = 0;
        core::time_point m_sent{};
    };
    struct received_hello_reply {
        disk_id m_disk;
        bool m_empty = false;
        core::time_point m_at{};
    };

    // raft_node.cpp: events, storage, roles.
    void on_event(const message_received& event);
    void on_event(const tick& event);
    void on_event(const propose_batch& event);
    void on_event(const storage_synced& event);
    void on_event(const snapshot_taken& event);
    void on_event(const replace_host& event);
    void on_event(const host_leaving& event);
    void on_event(const abdicate& event);
    void dispatch(const member& from, const raft_message& message);
    void dispatch_leader_message(const member& from, const raft_message& message);
    void dispatch_reply(const member& from, const raft_message& message);
    void tick_leader();
    void tick_follower();
    void become_follower(raft_term term);
    void become_leader();
    void set_hard_state(hard_state state);
    void persist_entries(std::vector<log_entry> entries);
    log_index append_local_entry(entry_kind kind, std::string payload);
    void apply_committed();
    void set_commit(log_index index);
    void emit(raft_action action) { m_actions.push_back(std::move(action)); }
    void emit_after_sync(std::uint64_t sequence, raft_action action);
    void send(const member& to, raft_message message);
    void send_after(std::uint64_t sequence, const member& to, raft_message message);
    [[nodiscard]] raft_message make_message(message_kind kind) const;
    void acknowledge(const member& to, log_index matched, std::uint64_t round, bool immediately);
    [[nodiscard]] bool has_quorum(const std::set<member>& granted) const;
    // Returns the members whose acknowledgements count toward a quorum.
    [[nodiscard]] std::set<member> counted_members() const;
    [[nodiscard]] log_index durable_index() const;
    std::uint64_t next_sequence();
    [[nodiscard]] bool storage_stalled() const;
    // Returns whether nothing was ever stored here, not even a term.
    [[nodiscard]] bool is_uninitialized() const {
        return m_log.empty() && m_hard_state.m_term == raft_term{};
    }

    // raft_election.cpp
    void reset_election_timer();
    void start_pre_vote();
    void start_vote();
    void request_votes(message_kind kind);
    void count_votes();
    [[nodiscard]] bool has_recent_leader_contact() const;
    [[nodiscard]] bool may_vote_for(const member& from, const raft_message& request) const;
    void on_pre_vote(const member& from, const raft_message& message);
    void on_vote(const member& from, const raft_message& message);
    void on_vote_reply(const member& from, const raft_message& message);

    // raft_replication.cpp
    void broadcast();
    void send_append(const member& to, bool even_if_empty);
    void send_heartbeat_only(const member& to);
    void send_snapshot_chunk(const member& to);
    void on_append(const member& from, const raft_message& message);
    void on_append_reply(const member& from, const raft_message& message);
    void on_snapshot(const member& from, const raft_message& message);
    void on_snapshot_reply(const member& from, const raft_message& message);
    void install_received_snapshot(const raft_message& message);
    log_index append_new_entries(const raft_message& message);
    void reject_append(const member& from, const raft_message& message);
    void record_contact(progress& follower, std::uint64_t round);
    void advance_commit();
    void accept_leader(const member& from);
    [[nodiscard]] core::time_point quorum_contact(core::time_point now) const;

    // raft_members.cpp
    void send_hellos();
    void on_hello(const member& from, const raft_message& message);
    void on_hello_reply(const member& from, const raft_message& message);
    void bootstrap_if_all_empty();
    // Makes at most one change. The next one follows once it is committed.
    void maintain_members();
    bool readmit_changed_disk();
    bool promote_learner();
    // Makes a voter a learner, without one in its place: one that leaves or has no contact, if there is one.
    bool demote_surplus_voter();
    // Promotes a standby beside a voter that leaves, so that both count until that one is demoted.
    bool replace_leaving_voter();
    // Makes a voter without contact a learner. A standby is promoted in its place by the next change.
    bool replace_silent_voter();
    bool remove_lost_learner();
    void demote(const member& voter);
    // A learner that has all committed entries and is in contact. Null if there is none.
    [[nodiscard]] const member* ready_standby() const;
    [[nodiscard]] bool is_silent(const member& voter) const;
    [[nodiscard]] bool is_leaving(const core::entry_host_id& host) const;
    void change_members(const membership& next);
    void update_progress_table();
    [[nodiscard]] bool may_change_members() const;
    [[nodiscard]] membership initial_membership() const;
    [[nodiscard]] std::string replace_refusal(const replace_host& change) const;

    raft_settings m_settings;
    core::time_point m_now;
    std::mt19937_64 m_random;
    std::vector<raft_action> m_actions; // Actions produced by the current event.

    hard_state m_hard_state;
    raft_log m_log;
    raft_role m_role = raft_role::follower;
    std::optional<member> m_leader;
    log_index m_commit = 0;
    log_index m_applied = 0;
    // Not 0 while a received snapshot is being stored. Nothing is applied then.
    std::uint64_t m_restore_sequence = 0;

    std::uint64_t m_last_sequence = 0;       // Last storage sequence number assigned.
    core::time_point m_storage_progress{};   // Time of the last confirmation, or when the disk was last idle.
    std::uint64_t m_synced_sequence = 0;     // Last sequence number known to be durable.
    std::uint64_t m_hard_state_sequence = 0; // Sequence number of the last save_hard_state.
    log_index m_durable = 0;                 // Entries up to this index are durable.
    std::deque<pending_append> m_pending_appends;
    std::deque<deferred_action> m_deferred_actions;

    core::deadline m_election;
    core::time_point m_last_leader_contact{}; // Time of the last message from a leader, initially the start
                                              // time of the process.
    std::set<member> m_votes;
    member m_last_leader;     // The sender of the last message from a leader.
    bool m_abdicated = false; // This host is about to stop.

    // The following members are used on a leader only, except that m_round also numbers vote requests.
    std::map<member, progress> m_progress; // All members except this one.
    std::uint64_t m_round = 0;             // Last heartbeat round, or last vote request of a candidate.
    std::deque<sent_round> m_rounds;
    core::deadline m_next_heartbeat;
    core::time_point m_leader_since{};
    log_index m_term_start_index = 0;
    std::map<core::entry_host_id, disk_id> m_changed_disks; // Member hosts that returned with another disk.
    // Hosts that asked to leave, and until when that holds.
    std::map<core::entry_host_id, core::deadline> m_leaving_hosts;

    std::optional<incoming_snapshot> m_incoming;
    // Last hello reply of each host; used while the data folder is empty.
    std::map<core::entry_host_id, received_hello_reply> m_hello_replies;
    core::deadline m_next_hello;
    // Number of the last hello. It starts at a random value, so that it differs after a restart.
    std::uint64_t m_hello_number = 0;
    raft_term m_hello_term; // Term of the leader that replied last.
    std::uint64_t m_hello_round = 0;
    std::set<core::entry_host_id> m_known_hosts; // Voters named in hello replies.
};

} // namespace mangoquay::consensus
