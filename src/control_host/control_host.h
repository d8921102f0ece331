// A control host: runs the Raft log and, while it is leader, drives the decision cores for membership,
// failover and settlement.
//
// Owns the Raft driver, the replicated state of this host and the volatile cores of the leader. Receives
// heartbeats, submitted commands, Raft messages, probe answers and status queries. Sends lease grants, log
// batches, snapshots, command outcomes and probes.
//
// Invariant: leases are granted, commands accepted and failover steps run only while the leader lease is
// held.
#pragma once

#include "consensus/raft_driver.h"
#include "control/control_state.h"
#include "control_host/follower_feed.h"
#include "control_host/step_runner.h"
#include "failover/failover_core.h"
#include "membership/membership_core.h"
#include "settings/settings.h"
#include "settlement/settlement_core.h"
#include "traces/trace_recorder.h"
#include "transport/message_bus.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace mangoquay::control_host {

class control_host {
public:
    control_host(transport::event_loop& loop, transport::message_bus& bus, transport::peer_network& network,
                 const settings::settings& config, const dialect::database_dialect& strategy);
    ~control_host();
    control_host(const control_host&) = delete;
    control_host& operator=(const control_host&) = delete;
    control_host(control_host&&) = delete;
    control_host& operator=(control_host&&) = delete;

    // Starts the Raft driver and the periodic tick. Fails if the driver cannot start.
    consensus::status start();

private:
    struct pending_submission {
        core::entry_host_id m_from;
        std::uint64_t m_number = 0;
    };

    void install_handlers();
    void tick();
    void activate(core::time_point now);
    [[nodiscard]] bool may_decide(core::time_point now) const;

    void on_heartbeat_received(const core::entry_host_id& from, const wire::heartbeatT& message);
    void send_redirect(const core::entry_host_id& from, const wire::heartbeatT& message);
    void on_command_submitted(const core::entry_host_id& from, const wire::submit_commandT& message);
    void on_command_committed(const pending_submission& submission, std::optional<core::revision> at);
    void on_status_requested(const core::entry_host_id& from, const wire::status_queryT& query);
    void on_replacement_requested(const wire::replace_control_hostT& request);

    void on_entry_committed(core::revision at, const std::string& payload);
    void on_snapshot_installed(core::revision at, const std::string& state);
    void answer_submission(const pending_submission& submission, const control::command_outcome& outcome);

    void propose(const control::command& change);
    void send_entries(const std::vector<feed_request>& requests);
    void send_snapshot(const core::entry_host_id& host);

    void perform(const membership::actions& actions);
    void perform(const failover::actions& actions);
    void perform(const settlement::actions& actions);
    void on_step_completed(const failover::step_answer& answer);
    void tick_failover(core::time_point now);

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    core::entry_host_id m_self;
    std::unique_ptr<consensus::raft_driver> m_raft;
    control::control_state m_state;
    bool m_active = false; // This host leads, and its state includes every commit of earlier leaders.
    membership::membership_core m_membership;
    failover::failover_core m_failover;
    settlement::settlement_core m_settlement;
    follower_feed m_follower_feed;
    std::optional<traces::trace_recorder> m_recorder;
    step_runner m_steps;
    core::time_point m_last_membership_tick;
    std::vector<std::uint8_t> m_encoded_state; // The state as of m_encoded_revision, for snapshots.
    core::revision m_encoded_revision;
    // A task that sends new entries to the followers is posted. Commits of one event loop round are sent
    // together.
    bool m_entries_due = false;
    // Outcomes of the latest commands, for submissions that wait for them.
    std::map<core::revision, control::command_outcome> m_outcomes;
    std::map<core::revision, pending_submission> m_pending_submissions; // Committed, but not yet applied.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mangoquay::control_host
