// The shell of a control host: runs the replicated log and, while it leads, the cores of membership, failover
// and settlement.
//
// Owns: the log driver, the replicated state of this host, the leader's volatile cores. Receives heartbeats,
// submitted commands, Raft messages, probe answers and status queries; sends lease grants, log batches,
// snapshots, outcomes and probes. Invariant: leases are granted, commands accepted and steps run only while
// the leader lease is held.
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
                 const settings::settings& chosen, const dialect::database_dialect& strategy);
    ~control_host();
    control_host(const control_host&) = delete;
    control_host& operator=(const control_host&) = delete;
    control_host(control_host&&) = delete;
    control_host& operator=(control_host&&) = delete;

    consensus::status start();

private:
    struct waiting_submit {
        core::entry_host_id m_from;
        std::uint64_t m_number = 0;
    };

    void install_handlers();
    void tick();
    void become_active(core::time_point now);
    [[nodiscard]] bool may_decide(core::time_point now) const;

    void heartbeat_received(const core::entry_host_id& from, const wire::heartbeatT& message);
    void redirect(const core::entry_host_id& from, const wire::heartbeatT& message);
    void submit_received(const core::entry_host_id& from, const wire::submit_commandT& message);
    void submit_committed(const waiting_submit& submit, std::optional<core::revision> at);
    void status_asked(const core::entry_host_id& from, const wire::status_queryT& query);
    void replace_asked(const wire::replace_control_hostT& request);

    void committed(core::revision at, const std::string& payload);
    void installed(core::revision at, const std::string& state);
    void answer_submit(const waiting_submit& submit, const control::command_outcome& outcome);

    void propose(const control::command& change);
    void send_feed(const std::vector<feed_request>& requests);
    void send_snapshot(const core::entry_host_id& host);

    void perform(const membership::actions& actions);
    void perform(const failover::actions& actions);
    void perform(const settlement::actions& actions);
    void step_done(const failover::step_answer& answer);
    void tick_failover(core::time_point now);

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    core::entry_host_id m_self;
    std::unique_ptr<consensus::raft_driver> m_raft;
    control::control_state m_state;
    bool m_active = false; // leading, and the state holds every commit of earlier leaders
    membership::membership_core m_membership;
    failover::failover_core m_failover;
    settlement::settlement_core m_settlement;
    follower_feed m_feed;
    std::optional<traces::trace_recorder> m_recorder;
    step_runner m_steps;
    core::time_point m_last_membership_tick;
    std::vector<std::uint8_t> m_encoded; // the state at m_encoded_at, for proxies far behind
    core::revision m_encoded_at;
    bool m_feed_due = false; // commits of this round are sent together
    // Outcomes of the latest commands, for the submits that wait for them.
    std::map<core::revision, control::command_outcome> m_outcomes;
    std::map<core::revision, waiting_submit> m_waiting; // committed, not yet applied
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mangoquay::control_host
