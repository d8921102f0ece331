// Connects the Raft core (raft_node), the data folder and the event loop.
//
// Owns: the core, the storage thread and the callbacks of pending proposals. Runs on the event loop's thread.
// A second thread writes and syncs, so that a slow disk does not delay heartbeats. Proposals that arrive
// while a sync is running share the next one.
#pragma once

#include "consensus/raft_message.h"
#include "consensus/raft_node.h"
#include "consensus/storage_worker.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::consensus {

// Larger payloads are refused, because an entry and its frame must fit into 16 MiB.
inline constexpr std::size_t max_payload_bytes = 8U * 1024U * 1024U;

struct driver_settings {
    core::entry_host_id m_self;
    std::string m_data_folder;
    // All control hosts of a new cell (one Raft cluster), including this one. Used only while the data folder
    // is empty.
    std::set<core::entry_host_id> m_initial_hosts;
    bool m_may_bootstrap = true;    // See raft_settings.
    std::size_t m_voter_target = 0; // See raft_settings.
    raft_timing m_timing;
    std::uint64_t m_seed = 1;                 // Seed of the election timeouts; should differ between hosts.
    std::uint64_t m_snapshot_interval = 4096; // Number of entries applied between two snapshots.
    std::uint64_t m_kept_entries = 4096; // Entries kept before the end of a snapshot, for lagging followers.
};

// Returns the seed of a host's election timeouts. Hosts with equal timeouts split their votes in every
// election, so the seeds of two hosts differ for any base, even if the base is itself a hash of the host.
std::uint64_t election_seed(std::uint64_t base, const core::entry_host_id& host);

struct committed_entry {
    core::revision m_revision;
    std::string m_payload; // Empty for entries that the consensus code itself appends.
};

using message_sender = std::function<void(const core::entry_host_id& to, const raft_message& message)>;
// Receives the revision of the committed proposal, or nothing when the proposal is not known to be committed.
// In the second case a later leader may still commit it, so a proposer that retries must be able to recognise
// a duplicate.
using propose_callback = std::function<void(std::optional<core::revision>)>;
// Called for every index in order, so that revisions have no gaps. The payload is empty for entries that the
// consensus code itself appends (the first entry of a new leader, membership changes).
using commit_handler = std::function<void(core::revision index, const std::string& payload)>;
// Returns the encoded state of the state machine, including all commits up to the last one delivered.
using snapshot_source = std::function<std::string()>;
// Replaces the state of the state machine by an encoded state. Called at start and when this host lags so far
// that the leader sends a snapshot.
using snapshot_installer = std::function<void(core::revision index, const std::string& state)>;
using leadership_handler = std::function<void(bool leading)>;
using failure_handler = std::function<void(const std::string& reason)>;

class raft_driver {
public:
    // The loop must outlive the driver. The sender must not call receive() of another driver synchronously.
    raft_driver(transport::event_loop& loop, driver_settings settings, message_sender sender);
    ~raft_driver();
    raft_driver(const raft_driver&) = delete;
    raft_driver& operator=(const raft_driver&) = delete;
    raft_driver(raft_driver&&) = delete;
    raft_driver& operator=(raft_driver&&) = delete;

    // Handlers must be set before start(). They are called on the event loop's thread.
    void on_commit(commit_handler handler) { m_on_commit = std::move(handler); }
    void on_snapshot_needed(snapshot_source source) { m_snapshot_source = std::move(source); }
    void on_snapshot_installed(snapshot_installer installer) {
        m_on_snapshot_installed = std::move(installer);
    }
    void on_leadership_changed(leadership_handler handler) { m_on_leadership_changed = std::move(handler); }
    // Sets the handler for a storage failure. The failure is logged first. The default handler aborts the
    // process, because nothing may be acknowledged after a failed write.
    void on_storage_failure(failure_handler handler) { m_on_failure = std::move(handler); }

    // Opens the data folder and starts the timers. Fails with a reason when the folder is in use or damaged.
    status start();

    // Processes a message from another control host. Ignored before start().
    void receive(const core::entry_host_id& from, const raft_message& message);
    // Proposes a command. `done` is called on the event loop's thread. It receives nothing when the proposal
    // is refused: this host is not the leader, the payload is empty or larger than max_payload_bytes, or too
    // many entries are uncommitted.
    void propose(std::string payload, propose_callback done);
    // Removes `lost` from the members, unless it is empty, and adds `replacement`, which is a learner until
    // it has caught up, and longer if it is a standby. Fails with a reason on a host that is not the leader
    // and when the change is not possible. Success means that the change was started, not that it is
    // committed.
    status replace_host(const core::entry_host_id& lost, const core::entry_host_id& replacement);

    // The host is about to stop. On the leader, a standby takes its place if there is one.
    void release_host(const core::entry_host_id& host);
    // This host is about to stop. If it leads, another host takes over.
    void abdicate();

    [[nodiscard]] bool is_leader() const;
    // While this is true, no later leader has committed anything, and the local state machine has applied
    // every commit.
    [[nodiscard]] bool holds_lease(core::time_point now) const;
    // When the lease ends unless it is renewed; in the past if this host does not hold it.
    [[nodiscard]] core::deadline lease_end(core::time_point now) const;
    [[nodiscard]] std::optional<core::entry_host_id> leader() const;
    [[nodiscard]] const membership& members() const;
    [[nodiscard]] core::revision committed() const; // Last index delivered to the handlers.
    // Returns the committed entries after a revision, at most `limit` of them. Returns nothing when the log
    // no longer contains them; the reader then needs the whole state.
    [[nodiscard]] std::optional<std::vector<committed_entry>> entries_after(core::revision after,
                                                                            std::size_t limit = 1024) const;
    // See raft_node::last_contact().
    [[nodiscard]] std::optional<core::time_point> last_contact(const core::entry_host_id& host) const;
    [[nodiscard]] disk_id disk() const;
    // Returns the highest Raft term that this host has seen; on a leader this is its own term.
    [[nodiscard]] raft_term term() const;

private:
    struct pending_proposal {
        log_index m_index = 0;
        raft_term m_term;
        propose_callback m_done;
    };

    struct queued_proposals {
        std::vector<std::string> m_payloads;
        std::vector<propose_callback> m_callbacks;
    };

    void schedule_tick();
    void flush_proposals();
    void step(const raft_event& event);
    void execute_actions(std::vector<raft_action> actions);
    void execute_action(const restore_state& action);
    void execute_action(const apply_entries& action);
    void execute_action(const proposals_accepted& action);
    void execute_action(const proposals_refused& action);
    void execute_action(const became_leader& action);
    void execute_action(const stepped_down& action);
    void execute_action(const replace_outcome& action);
    // Storage actions and messages are executed before all other actions, so nothing remains to be done here.
    template <class Action>
    void execute_action(const Action&) {}
    void complete_proposals(log_index index, std::optional<raft_term> term);
    void take_snapshot_if_due();
    void storage_failed(const std::string& reason);

    transport::event_loop& m_loop;
    driver_settings m_settings;
    message_sender m_sender;
    commit_handler m_on_commit;
    snapshot_source m_snapshot_source;
    snapshot_installer m_on_snapshot_installed;
    leadership_handler m_on_leadership_changed;
    failure_handler m_on_failure;

    std::unique_ptr<raft_node> m_node;
    std::unique_ptr<storage_worker> m_storage;
    std::optional<transport::timer_id> m_tick_timer;
    core::time_point m_tick_at{};
    queued_proposals m_queued; // Proposals waiting for the next flush.
    bool m_flush_scheduled = false;
    std::vector<propose_callback> m_submitted_callbacks; // Callbacks of the batch passed to the core.
    std::deque<pending_proposal> m_pending_proposals;    // Ordered by index.
    std::string m_replace_failure;
    log_index m_last_delivered = 0;
    log_index m_last_snapshot = 0;
    // Tasks posted to the loop hold a weak reference and do nothing after the driver has been destroyed.
    std::shared_ptr<raft_driver*> m_alive;
};

} // namespace mangoquay::consensus
