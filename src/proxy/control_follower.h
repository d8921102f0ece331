// The proxy's client of the control hosts: follows the control log, sends heartbeats and submits commands.
//
// Owns this process's view of the shared state, its lease, its incarnation and the commands in progress.
// Receives lease grants, log batches, snapshots and command outcomes; sends heartbeats and commands.
// Invariant: the view is empty when the process starts and is only replaced by a later one, so the proxy
// never acts on state from before its start and the revision never decreases.
#pragma once

#include "control/commands.h"
#include "gateway/proxy_backend.h"
#include "membership/proxy_lease.h"
#include "membership/reports.h"
#include "settings/settings.h"
#include "transport/message_bus.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mangoquay::proxy {

using submit_handler = std::function<void(gateway::operator_outcome)>;

class control_follower {
public:
    control_follower(transport::event_loop& loop, transport::message_bus& bus,
                     transport::peer_network& network, const settings::settings& config);
    ~control_follower() = default;
    control_follower(const control_follower&) = delete;
    control_follower& operator=(const control_follower&) = delete;
    control_follower(control_follower&&) = delete;
    control_follower& operator=(control_follower&&) = delete;

    // Sets the handler that is called after each change of the view.
    void on_change(std::function<void()> handler) { m_on_change = std::move(handler); }
    // Sets the function that fills in the health and the unsettled writes of each heartbeat.
    void set_report_source(std::function<void(membership::heartbeat&)> source) {
        m_report_source = std::move(source);
    }

    // Starts the periodic heartbeats.
    void start();

    [[nodiscard]] const control::control_state& state() const { return m_state; }
    // Returns whether the lease is valid and this incarnation is registered.
    [[nodiscard]] bool lease_valid(core::time_point now) const { return m_lease.valid(now) && registered(); }
    // Returns the last known control leader. The id is empty if none is known.
    [[nodiscard]] const core::entry_host_id& leader() const { return m_leader; }
    [[nodiscard]] core::incarnation present_incarnation() const { return m_lease.present_incarnation(); }

    // Submits a command. `done` is called exactly once: with the outcome, or after submit_timeout with
    // not_run or may_have_run.
    void submit(const control::command& change, submit_handler done);
    // Announces an endpoint. An announcement that changes nothing is sent with the next heartbeat only.
    void announce(const control::announce_endpoint& announcement, submit_handler done);
    // Requests the status that only the control leader has, as JSON text. `done` receives an empty text if
    // the leader does not answer within status_timeout.
    void query_status(std::function<void(std::string)> done);
    // Requests the replacement of a control host. Returns whether the request was sent to the leader. There
    // is no answer.
    bool request_control_host_replacement(const core::entry_host_id& old_host,
                                          const core::entry_host_id& new_host);

    // Announces that the process is about to stop, so that no endpoints are assigned to it any more.
    void begin_leaving() { m_leaving = true; }

private:
    struct pending_submit {
        std::vector<std::uint8_t> m_command;
        core::deadline m_deadline;
        bool m_sent = false; // Whether the command may have reached a leader.
        submit_handler m_done;
    };

    void send_periodic_heartbeat();
    void send_heartbeat(core::time_point now);
    [[nodiscard]] bool registered() const;
    void register_if_needed();

    void on_lease_granted(const wire::lease_grantT& grant);
    void on_log_batch_received(const wire::log_batchT& batch);
    void on_snapshot_received(const wire::state_snapshotT& snapshot);
    void on_command_outcome_received(const wire::command_outcomeT& outcome);
    void handle_view_change();

    void send_submit(std::uint64_t number);
    void finish_submit(std::uint64_t number, gateway::operator_outcome outcome);

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    const settings::settings& m_settings;
    control::control_state m_state;
    membership::proxy_lease m_lease;
    core::entry_host_id m_leader; // Last known leader. Empty if none is known.
    core::deadline m_leader_expiry;
    bool m_state_received = false;
    bool m_registering = false;
    bool m_leaving = false;
    std::set<core::endpoint_id> m_renewed; // Renewed endpoints, to be sent with the next heartbeat.
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, pending_submit> m_pending_submits;
    std::map<std::uint64_t, std::function<void(std::string)>> m_status_queries;
    std::function<void()> m_on_change;
    std::function<void(membership::heartbeat&)> m_report_source;
};

} // namespace mangoquay::proxy
