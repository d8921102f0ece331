// Duties of the leading control host: heartbeats, log entries for proxies, and the actions of the decision
// cores.
#include "control/codec.h"
#include "control_host/control_host.h"
#include "core/log.h"
#include "membership/report_messages.h"
#include "wire/positions.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <variant>

namespace mangoquay::control_host {
namespace {

constexpr std::size_t entries_per_batch = 1024;

std::string command_text(const control::command& change) {
    return nlohmann::json::parse(control::encode(change)).dump();
}

void log_proposal(const char* prefix, const control::command& change) {
    core::log_line(core::log_level::info, prefix, "proposal " + command_text(change));
}

} // namespace

void control_host::on_heartbeat_received(const core::entry_host_id& from, const wire::heartbeatT& message) {
    const auto now = transport::event_loop::now();
    if (from != m_self) {
        m_network.set_address(from, {message.peer_host, message.peer_port});
    }
    if (!may_decide(now) || message.host != from.value()) {
        send_redirect(from, message);
        return;
    }
    const membership::heartbeat beat = membership::from_wire(message);
    perform(m_membership.on_heartbeat(now, m_state, beat, true));
    m_failover.on_heartbeat(now, m_state, beat);
    m_settlement.on_heartbeat(beat);
    send_entries(m_follower_feed.on_heartbeat(now, from, beat.m_applied, m_raft->committed()));
}

void control_host::send_redirect(const core::entry_host_id& from, const wire::heartbeatT& message) {
    wire::lease_grantT grant;
    grant.number = message.number;
    grant.incarnation = message.incarnation;
    grant.leader = m_raft->leader().value_or(core::entry_host_id{}).value();
    m_bus.send(from, std::move(grant));
}

void control_host::send_entries(const std::vector<feed_request>& requests) {
    const auto now = transport::event_loop::now();
    for (const feed_request& request : requests) {
        const auto entries = m_raft->entries_after(request.m_after, entries_per_batch);
        if (!entries) {
            send_snapshot(request.m_host);
            continue;
        }
        if (entries->empty()) {
            continue;
        }
        wire::log_batchT batch;
        batch.first_revision = entries->front().m_revision.value();
        batch.committed_revision = m_raft->committed().value();
        for (const consensus::committed_entry& entry : *entries) {
            auto wire_entry = std::make_unique<wire::raft_entryT>();
            wire_entry->payload = wire::to_bytes(entry.m_payload);
            batch.entries.push_back(std::move(wire_entry));
        }
        if (m_bus.send(request.m_host, std::move(batch))) {
            m_follower_feed.on_sent(now, request.m_host, entries->back().m_revision);
        }
    }
}

void control_host::send_snapshot(const core::entry_host_id& host) {
    wire::state_snapshotT snapshot;
    snapshot.revision = m_state.m_revision.value();
    // Encoding takes about 50 ms for 4,752 endpoints. Proxies that restart together share one encoding.
    if (m_encoded_revision != m_state.m_revision) {
        m_encoded_state = wire::to_bytes(control::encode(m_state));
        m_encoded_revision = m_state.m_revision;
    }
    snapshot.state = m_encoded_state;
    core::log_line(core::log_level::info, "control",
                   "state sent host=" + host.value() + " revision=" + std::to_string(snapshot.revision));
    if (m_bus.send(host, std::move(snapshot))) {
        m_follower_feed.on_sent(transport::event_loop::now(), host, m_state.m_revision);
    }
}

void control_host::on_status_requested(const core::entry_host_id& from, const wire::status_queryT& query) {
    const auto now = transport::event_loop::now();
    if (!may_decide(now)) {
        return;
    }
    nlohmann::json proxies = nlohmann::json::object();
    for (const auto& [host, record] : m_state.m_proxies) {
        const core::revision applied = m_membership.leases().applied_revision(host);
        proxies[host.value()] = {{"revision", applied.value()},
                                 {"live", m_membership.leases().is_live(now, m_state, host)},
                                 {"leaving", record.m_leaving},
                                 {"lags", applied < m_state.m_revision}};
    }
    nlohmann::json voters = nlohmann::json::array();
    for (const consensus::member& voter : m_raft->members().m_voters) {
        voters.push_back(voter.m_host.value());
    }
    nlohmann::json learners = nlohmann::json::array();
    for (const consensus::member& learner : m_raft->members().m_learners) {
        learners.push_back(learner.m_host.value());
    }
    const nlohmann::json text = {{"leader", m_self.value()},
                                 {"committed_revision", m_state.m_revision.value()},
                                 {"control_members", voters},
                                 {"control_learners", learners},
                                 {"proxies", proxies}};
    wire::status_answerT answer;
    answer.number = query.number;
    answer.text = text.dump();
    m_bus.send(from, std::move(answer));
}

void control_host::perform(const membership::actions& actions) {
    for (const membership::action& action : actions) {
        if (const auto* proposal = std::get_if<membership::propose>(&action)) {
            log_proposal("membership", proposal->m_command);
            propose(proposal->m_command);
        } else if (const auto* grant = std::get_if<membership::grant_lease>(&action)) {
            wire::lease_grantT message;
            message.number = grant->m_number;
            message.incarnation = grant->m_incarnation.value();
            message.accepted = grant->m_accepted;
            message.leader = m_self.value();
            message.committed_revision = grant->m_committed.value();
            m_bus.send(grant->m_host, std::move(message));
        } else if (const auto* probe = std::get_if<membership::send_probe>(&action)) {
            wire::probeT message;
            message.endpoint = probe->m_endpoint.value();
            m_bus.send(probe->m_host, std::move(message));
        }
    }
}

void control_host::perform(const failover::actions& actions) {
    const auto done = [this](const failover::step_answer& answer) { on_step_completed(answer); };
    for (const failover::action& action : actions) {
        if (const auto* proposal = std::get_if<failover::propose>(&action)) {
            log_proposal("failover", proposal->m_command);
            propose(proposal->m_command);
        } else if (const auto* ask = std::get_if<failover::request_proxy_probe>(&action)) {
            wire::probeT message;
            message.endpoint = ask->m_endpoint.value();
            m_bus.send(ask->m_host, std::move(message));
        } else if (const auto* read = std::get_if<failover::read_position>(&action)) {
            m_steps.run(m_state, *read, done);
        } else if (const auto* stop = std::get_if<failover::stop_following>(&action)) {
            core::log_line(core::log_level::info, "failover",
                           "stop following endpoint=" + stop->m_endpoint.value());
            m_steps.run(m_state, *stop, done);
        } else if (const auto* promotion = std::get_if<failover::promote>(&action)) {
            core::log_line(core::log_level::info, "failover",
                           "promote endpoint=" + promotion->m_endpoint.value());
            m_steps.run(m_state, *promotion, done);
        } else if (const auto* follow = std::get_if<failover::follow_primary>(&action)) {
            core::log_line(core::log_level::info, "failover",
                           "follow endpoint=" + follow->m_endpoint.value() +
                               " primary=" + follow->m_primary.value());
            m_steps.run(m_state, *follow, done);
        }
    }
}

void control_host::perform(const settlement::actions& actions) {
    for (const settlement::action& action : actions) {
        if (const auto* proposal = std::get_if<failover::propose>(&action)) {
            log_proposal("settlement", proposal->m_command);
            propose(proposal->m_command);
        } else if (const auto* read = std::get_if<failover::read_position>(&action)) {
            m_steps.run(m_state, *read, [this](const failover::step_answer& answer) {
                m_settlement.on_position_answer(m_state, answer);
            });
        }
    }
}

void control_host::on_step_completed(const failover::step_answer& answer) {
    const auto now = transport::event_loop::now();
    if (may_decide(now)) {
        perform(m_failover.on_step_answer(now, m_state, m_membership.leases(), answer));
    }
}

void control_host::tick_failover(core::time_point now) {
    perform(m_failover.tick(now, m_state, m_membership.leases()));
}

} // namespace mangoquay::control_host
