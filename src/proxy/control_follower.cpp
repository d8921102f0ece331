// Sends heartbeats, applies log batches and snapshots, and retries submitted commands.
#include "proxy/control_follower.h"

#include "control/announcement.h"
#include "control/apply.h"
#include "control/codec.h"
#include "core/log.h"
#include "membership/report_messages.h"
#include "wire/positions.h"

#include <chrono>
#include <utility>

namespace mangoquay::proxy {
namespace {

// Longer than the election of another leader, which takes about 1 s, and short enough for an operator to
// wait.
constexpr core::milliseconds submit_timeout{4000};
constexpr core::milliseconds submit_retry_period{300};
constexpr core::milliseconds status_timeout{500};
// After this time without a lease grant, heartbeats go to all control hosts and not only to the last known
// leader.
constexpr core::milliseconds leader_timeout{500};

// A later start gets a higher number, unless the host's wall clock was set back by more than the time for
// which the process was down. In that case register_if_needed() corrects the number.
core::incarnation first_incarnation() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return core::incarnation(
        static_cast<std::uint64_t>(std::chrono::duration_cast<core::milliseconds>(since_epoch).count()));
}

// Returns whether the control leader waits until every proxy has applied the command.
bool leader_waits_for(const control::command& change) {
    return std::holds_alternative<control::hold_writes>(change) ||
           std::holds_alternative<control::begin_promotion>(change) ||
           std::holds_alternative<control::close_day>(change);
}

} // namespace

control_follower::control_follower(transport::event_loop& loop, transport::message_bus& bus,
                                   transport::peer_network& network, const settings::settings& config)
    : m_loop(loop), m_bus(bus), m_network(network), m_settings(config), m_state(control::initial_state()),
      m_lease(first_incarnation()) {
    m_bus.set_handler<wire::lease_grantT>(
        [this](const auto&, const auto& grant) { on_lease_granted(grant); });
    m_bus.set_handler<wire::log_batchT>(
        [this](const auto&, const auto& batch) { on_log_batch_received(batch); });
    m_bus.set_handler<wire::state_snapshotT>(
        [this](const auto&, const auto& snapshot) { on_snapshot_received(snapshot); });
    m_bus.set_handler<wire::command_outcomeT>(
        [this](const auto&, const auto& outcome) { on_command_outcome_received(outcome); });
    m_bus.set_handler<wire::status_answerT>([this](const auto&, const auto& answer) {
        const auto query = m_status_queries.find(answer.number);
        if (query != m_status_queries.end()) {
            const auto done = std::move(query->second);
            m_status_queries.erase(query);
            done(answer.text);
        }
    });
}

void control_follower::start() {
    send_periodic_heartbeat();
}

void control_follower::send_periodic_heartbeat() {
    send_heartbeat(transport::event_loop::now());
    m_loop.run_after(membership::heartbeat_period, [this] { send_periodic_heartbeat(); });
}

void control_follower::send_heartbeat(core::time_point now) {
    membership::heartbeat heartbeat;
    heartbeat.m_host = m_settings.m_host;
    heartbeat.m_incarnation = m_lease.present_incarnation();
    heartbeat.m_applied = m_state.m_revision;
    heartbeat.m_leaving = m_leaving;
    heartbeat.m_renewed.assign(m_renewed.begin(), m_renewed.end());
    m_renewed.clear();
    if (m_report_source) {
        m_report_source(heartbeat);
    }
    heartbeat.m_number = m_lease.record_heartbeat_sent(now);
    const bool leader_known = !m_leader.value().empty() && !m_leader_expiry.passed(now);
    for (const settings::control_host& host : m_settings.m_control_hosts) {
        if (!leader_known || host.m_host == m_leader) {
            wire::heartbeatT message = membership::to_wire(heartbeat);
            // The address allows a control host to answer a proxy that is not registered yet.
            message.peer_host = m_settings.m_peer_address.m_host;
            message.peer_port = m_settings.m_peer_address.m_port;
            m_bus.send(host.m_host, std::move(message));
        }
    }
}

bool control_follower::registered() const {
    const auto record = m_state.m_proxies.find(m_settings.m_host);
    return record != m_state.m_proxies.end() && record->second.m_incarnation == m_lease.present_incarnation();
}

void control_follower::register_if_needed() {
    if (!m_state_received || m_registering || registered()) {
        return;
    }
    const auto record = m_state.m_proxies.find(m_settings.m_host);
    if (record != m_state.m_proxies.end() && record->second.m_incarnation > m_lease.present_incarnation()) {
        m_lease = membership::proxy_lease(core::incarnation(record->second.m_incarnation.value() + 1));
    }
    control::register_proxy change;
    change.m_host = m_settings.m_host;
    change.m_record.m_zone = m_settings.m_zone;
    change.m_record.m_peer_address = m_settings.m_peer_address;
    change.m_record.m_http_address = m_settings.m_http_address.value_or(control::socket_address{});
    change.m_record.m_incarnation = m_lease.present_incarnation();
    change.m_record.m_leaving = m_leaving;
    m_registering = true;
    core::log_line(core::log_level::info, "membership",
                   "registering incarnation=" + std::to_string(change.m_record.m_incarnation.value()));
    submit(change, [this](const gateway::operator_outcome& outcome) {
        m_registering = false;
        if (outcome.m_verdict != core::verdict::ran) {
            register_if_needed(); // A successful registration arrives with the log instead.
        }
    });
}

void control_follower::on_lease_granted(const wire::lease_grantT& grant) {
    const auto now = transport::event_loop::now();
    if (!grant.leader.empty()) {
        m_leader = core::entry_host_id(grant.leader);
        m_leader_expiry = core::deadline_after(now, leader_timeout);
    }
    if (grant.accepted) {
        m_lease.on_lease_granted(core::incarnation(grant.incarnation), grant.number);
    } else if (grant.committed_revision > 0 && m_state.m_revision.value() >= grant.committed_revision) {
        m_state_received = true;
        register_if_needed();
    }
}

void control_follower::on_log_batch_received(const wire::log_batchT& batch) {
    std::uint64_t next_revision = batch.first_revision;
    bool changed = false;
    bool leader_is_waiting = false;
    for (const auto& entry : batch.entries) {
        const std::uint64_t revision = next_revision++;
        if (revision <= m_state.m_revision.value()) {
            continue;
        }
        if (revision != m_state.m_revision.value() + 1) {
            return; // Entries are missing. The next heartbeat requests them.
        }
        changed = true;
        if (entry->payload.empty()) {
            m_state.m_revision = core::revision(revision);
            continue;
        }
        const auto change = control::decode_command(wire::to_text(entry->payload));
        if (!change) {
            core::log_line(core::log_level::error, "control",
                           "cannot decode a committed command reason=" + change.reason());
            std::abort();
        }
        control::apply(m_state, *change, core::revision(revision));
        leader_is_waiting = leader_is_waiting || leader_waits_for(*change);
    }
    if (changed) {
        handle_view_change();
    }
    if (leader_is_waiting) {
        // Without an immediate heartbeat, each such step would take up to one heartbeat period longer.
        send_heartbeat(transport::event_loop::now());
    }
}

void control_follower::on_snapshot_received(const wire::state_snapshotT& snapshot) {
    if (snapshot.revision <= m_state.m_revision.value()) {
        return;
    }
    auto decoded = control::decode_state(wire::to_text(snapshot.state));
    if (!decoded) {
        core::log_line(core::log_level::error, "control",
                       "cannot decode a state snapshot reason=" + decoded.reason());
        return;
    }
    m_state = std::move(*decoded);
    m_state.m_revision = core::revision(snapshot.revision);
    handle_view_change();
}

void control_follower::handle_view_change() {
    for (const auto& [host, record] : m_state.m_proxies) {
        if (host != m_settings.m_host) {
            m_network.set_address(host, record.m_peer_address);
        }
    }
    if (m_on_change) {
        m_on_change();
    }
    register_if_needed();
}

void control_follower::submit(const control::command& change, submit_handler done) {
    const std::uint64_t number = ++m_last_number;
    const auto now = transport::event_loop::now();
    m_pending_submits[number] = {wire::to_bytes(control::encode(change)),
                                 core::deadline_after(now, submit_timeout), false, std::move(done)};
    send_submit(number);
}

void control_follower::send_submit(std::uint64_t number) {
    const auto found = m_pending_submits.find(number);
    if (found == m_pending_submits.end()) {
        return;
    }
    const auto now = transport::event_loop::now();
    pending_submit& pending = found->second;
    if (pending.m_deadline.passed(now)) {
        gateway::operator_outcome outcome;
        outcome.m_verdict = pending.m_sent ? core::verdict::may_have_run : core::verdict::not_run;
        outcome.m_reason = core::reason::control_not_current;
        outcome.m_outcome.m_message = "no control leader answered";
        finish_submit(number, std::move(outcome));
        return;
    }
    if (!m_leader.value().empty()) {
        wire::submit_commandT message;
        message.number = number;
        message.command = pending.m_command;
        // Resending is safe: operator changes have a request id, and all other commands are idempotent.
        pending.m_sent = m_bus.send(m_leader, std::move(message)) || pending.m_sent;
    }
    m_loop.run_after(submit_retry_period, [this, number] { send_submit(number); });
}

void control_follower::on_command_outcome_received(const wire::command_outcomeT& outcome) {
    if (outcome.reason == "not_leader") {
        if (!outcome.redirect.empty()) {
            m_leader = core::entry_host_id(outcome.redirect);
        }
        return; // The retry timer sends the command to the leader.
    }
    gateway::operator_outcome answer;
    answer.m_verdict = outcome.accepted ? core::verdict::ran : core::verdict::not_run;
    answer.m_reason = outcome.accepted
                          ? core::reason::none
                          : core::parse_reason(outcome.reason).value_or(core::reason::invalid_change);
    answer.m_outcome = {outcome.accepted, core::revision(outcome.revision), outcome.reason, outcome.message};
    finish_submit(outcome.number, std::move(answer));
}

void control_follower::finish_submit(std::uint64_t number, gateway::operator_outcome outcome) {
    const auto found = m_pending_submits.find(number);
    if (found == m_pending_submits.end()) {
        return;
    }
    const submit_handler done = std::move(found->second.m_done);
    m_pending_submits.erase(found);
    done(std::move(outcome));
}

void control_follower::announce(const control::announce_endpoint& announcement, submit_handler done) {
    if (control::is_unchanged_announcement(m_state, announcement) &&
        lease_valid(transport::event_loop::now())) {
        m_renewed.insert(announcement.m_endpoint);
        gateway::operator_outcome renewed;
        renewed.m_verdict = core::verdict::ran;
        renewed.m_outcome = {true, m_state.m_revision, "", ""};
        done(std::move(renewed));
        return;
    }
    submit(announcement, std::move(done));
}

void control_follower::query_status(std::function<void(std::string)> done) {
    const std::uint64_t number = ++m_last_number;
    m_status_queries[number] = std::move(done);
    wire::status_queryT query;
    query.number = number;
    m_bus.send(m_leader, query);
    m_loop.run_after(status_timeout, [this, number] {
        const auto query = m_status_queries.find(number);
        if (query != m_status_queries.end()) {
            const auto handler = std::move(query->second);
            m_status_queries.erase(query);
            handler("");
        }
    });
}

bool control_follower::request_control_host_replacement(const core::entry_host_id& old_host,
                                                        const core::entry_host_id& new_host) {
    wire::replace_control_hostT request;
    request.old_host = old_host.value();
    request.new_host = new_host.value();
    return m_bus.send(m_leader, std::move(request));
}

} // namespace mangoquay::proxy
