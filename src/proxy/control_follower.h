// Follows the control log: heartbeats, the lease, the view of the shared state, submitted commands.
//
// Owns: this process's view of the shared state, its lease, its incarnation, submits in progress. Receives
// lease grants, log batches, snapshots and command outcomes; sends heartbeats and commands. The view starts
// empty at each start and is only ever replaced by a later one, so nothing that was remembered is acted on
// and no revision goes back.
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

    // Called after the view has changed.
    void on_change(std::function<void()> handler) { m_on_change = std::move(handler); }
    // Fills health and unsettled writes of a heartbeat.
    void set_report_source(std::function<void(membership::heartbeat&)> source) {
        m_report_source = std::move(source);
    }

    void start();

    [[nodiscard]] const control::control_state& state() const { return m_state; }
    [[nodiscard]] bool lease_valid(core::time_point now) const { return m_lease.valid(now) && registered(); }
    [[nodiscard]] const core::entry_host_id& leader() const { return m_leader; }
    [[nodiscard]] core::incarnation present_incarnation() const { return m_lease.present_incarnation(); }

    // `done` is called exactly once: with the outcome, or with not_run or may_have_run after submit_timeout.
    void submit(const control::command& change, submit_handler done);
    // An announcement that changes nothing is passed on with the next heartbeat.
    void announce(const control::announce_endpoint& announcement, submit_handler done);
    // What only the control leader knows, as JSON text; empty when it does not answer in time.
    void query_status(std::function<void(std::string)> done);
    bool request_control_host_replacement(const core::entry_host_id& old_host,
                                          const core::entry_host_id& new_host);

    // The process is going to stop: it gets no endpoints any more.
    void begin_leaving() { m_leaving = true; }

private:
    struct pending_submit {
        std::vector<std::uint8_t> m_command;
        core::deadline m_deadline;
        bool m_sent = false; // it may have reached a leader
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
    core::entry_host_id m_leader; // as last heard; empty: not known
    core::deadline m_leader_expiry;
    bool m_state_received = false;
    bool m_registering = false;
    bool m_leaving = false;
    std::set<core::endpoint_id> m_renewed; // for the next heartbeat
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, pending_submit> m_pending_submits;
    std::map<std::uint64_t, std::function<void(std::string)>> m_status_queries;
    std::function<void()> m_on_change;
    std::function<void(membership::heartbeat&)> m_report_source;
};

} // namespace mangoquay::proxy
