// Raft log, commits and submitted commands of a control host. The duties of the leader are in
// leader_duties.cpp.
#include "control_host/control_host.h"

#include "control/announcement.h"
#include "control/apply.h"
#include "control/codec.h"
#include "core/log.h"
#include "settings/database_credentials.h"
#include "wire/positions.h"

#include <functional>
#include <utility>

namespace mangoquay::control_host {
namespace {

constexpr core::milliseconds tick_period{50};
constexpr std::size_t max_retained_outcomes = 8192;

consensus::driver_settings raft_settings(const settings::settings& config) {
    consensus::driver_settings raft;
    raft.m_self = config.m_host;
    raft.m_data_folder = (config.m_data_folder / "control").string();
    for (const settings::control_host& host : config.m_control_hosts) {
        raft.m_initial_hosts.insert(host.m_host);
    }
    raft.m_seed = std::hash<core::entry_host_id>{}(config.m_host);
    return raft;
}

} // namespace

control_host::control_host(transport::event_loop& loop, transport::message_bus& bus,
                           transport::peer_network& network, const settings::settings& config,
                           const dialect::database_dialect& strategy)
    : m_loop(loop), m_bus(bus), m_network(network), m_self(config.m_host),
      m_raft(std::make_unique<consensus::raft_driver>(
          loop, raft_settings(config),
          [this](const core::entry_host_id& to, const consensus::raft_message& message) {
              m_bus.send(to, consensus::to_wire(message));
          })),
      m_state(control::initial_state()),
      m_steps(loop, config.m_host, settings::database_credentials(config.m_database), strategy,
              [this]() -> std::optional<std::uint64_t> {
                  return may_decide(transport::event_loop::now()) ? std::optional(m_raft->term().value())
                                                                  : std::nullopt;
              }) {
    if (!config.m_trace_file.empty()) {
        m_recorder.emplace(config.m_trace_file);
    }
    install_handlers();
}

control_host::~control_host() = default;

consensus::status control_host::start() {
    auto started = m_raft->start();
    if (started) {
        tick();
    }
    return started;
}

void control_host::install_handlers() {
    m_raft->on_commit(
        [this](core::revision at, const std::string& payload) { on_entry_committed(at, payload); });
    m_raft->on_snapshot_installed(
        [this](core::revision at, const std::string& state) { on_snapshot_installed(at, state); });
    m_raft->on_snapshot_needed([this] { return control::encode(m_state); });
    m_raft->on_leadership_changed([this](bool leading) {
        core::log_line(core::log_level::info, "control", leading ? "leadership gained" : "leadership lost");
        m_active = false;
    });
    m_bus.set_handler<wire::raft_messageT>([this](const auto& from, const auto& message) {
        const auto decoded = consensus::from_wire(message);
        if (decoded) {
            m_raft->receive(from, *decoded);
        }
    });
    m_bus.set_handler<wire::heartbeatT>(
        [this](const auto& from, const auto& beat) { on_heartbeat_received(from, beat); });
    m_bus.set_handler<wire::submit_commandT>(
        [this](const auto& from, const auto& submission) { on_command_submitted(from, submission); });
    m_bus.set_handler<wire::status_queryT>(
        [this](const auto& from, const auto& query) { on_status_requested(from, query); });
    m_bus.set_handler<wire::replace_control_hostT>(
        [this](const auto&, const auto& request) { on_replacement_requested(request); });
    m_bus.set_handler<wire::probe_answerT>([this](const auto& from, const auto& answer) {
        const membership::probe_result result{from, core::endpoint_id(answer.endpoint), answer.reachable};
        const auto now = transport::event_loop::now();
        m_membership.on_probe_result(now, result);
        m_failover.on_probe_result(now, m_state, result);
    });
}

bool control_host::may_decide(core::time_point now) const {
    return m_active && m_raft->is_leader() && m_raft->holds_lease(now);
}

void control_host::tick() {
    m_loop.run_after(tick_period, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            tick();
        }
    });
    const auto now = transport::event_loop::now();
    if (!m_raft->is_leader() || !m_raft->holds_lease(now)) {
        return;
    }
    if (!m_active) {
        activate(now);
    }
    if (now - m_last_membership_tick >= 2 * tick_period) {
        m_last_membership_tick = now;
        perform(m_membership.tick(now, m_state));
        perform(m_settlement.tick(now, m_state, m_membership.leases()));
    }
    tick_failover(now);
}

void control_host::activate(core::time_point now) {
    m_active = true;
    m_membership.on_elected(now, m_state);
    m_failover.on_elected(now, m_state);
    m_settlement.on_elected();
    core::log_line(core::log_level::info, "control",
                   "leader active revision=" + std::to_string(m_state.m_revision.value()));
}

void control_host::on_entry_committed(core::revision at, const std::string& payload) {
    if (payload.empty()) {
        m_state.m_revision = at;
    } else {
        const auto change = control::decode_command(payload);
        if (!change) {
            // The entry was written by another version of the program. Skipping it would let the states of
            // hosts diverge.
            core::log_line(core::log_level::error, "control",
                           "cannot decode committed command reason=" + change.reason());
            std::abort();
        }
        m_outcomes[at] = control::apply(m_state, *change, at);
        if (m_recorder) {
            m_recorder->record(at, *change, m_outcomes[at]);
        }
        if (m_outcomes.size() > max_retained_outcomes) {
            m_outcomes.erase(m_outcomes.begin());
        }
        const auto waiting = m_pending_submissions.find(at);
        if (waiting != m_pending_submissions.end()) {
            answer_submission(waiting->second, m_outcomes[at]);
            m_pending_submissions.erase(waiting);
        }
    }
    if (m_raft->is_leader() && !m_entries_due) {
        m_entries_due = true;
        m_loop.post([this, alive = std::weak_ptr(m_alive)] {
            if (alive.expired()) {
                return;
            }
            m_entries_due = false;
            const auto now = transport::event_loop::now();
            send_entries(m_follower_feed.on_entries_committed(now, m_raft->committed()));
            if (may_decide(now)) {
                tick_failover(now);
            }
        });
    }
}

void control_host::on_snapshot_installed(core::revision at, const std::string& state) {
    auto decoded = control::decode_state(state);
    if (!decoded) {
        core::log_line(core::log_level::error, "control",
                       "cannot decode snapshot reason=" + decoded.reason());
        std::abort();
    }
    m_state = std::move(*decoded);
    m_state.m_revision = at;
    m_outcomes.clear();
}

void control_host::propose(const control::command& change) {
    m_raft->propose(control::encode(change), [](std::optional<core::revision>) {});
}

void control_host::on_command_submitted(const core::entry_host_id& from,
                                        const wire::submit_commandT& message) {
    const pending_submission submission{from, message.number};
    const auto now = transport::event_loop::now();
    if (!may_decide(now)) {
        wire::command_outcomeT outcome;
        outcome.number = message.number;
        outcome.redirect = m_raft->leader().value_or(core::entry_host_id{}).value();
        outcome.reason = "not_leader";
        m_bus.send(from, std::move(outcome));
        return;
    }
    const std::string payload = wire::to_text(message.command);
    const auto change = control::decode_command(payload);
    if (!change) {
        answer_submission(submission, {false, {}, "invalid_change", change.reason()});
        return;
    }
    if (const auto* announcement = std::get_if<control::announce_endpoint>(&*change)) {
        m_membership.on_endpoint_renewed(now, announcement->m_endpoint);
        if (control::is_unchanged_announcement(m_state, *announcement)) {
            answer_submission(submission, {true, m_state.m_revision, "", ""});
            return;
        }
    }
    m_raft->propose(payload, [this, submission](std::optional<core::revision> at) {
        on_command_committed(submission, at);
    });
}

void control_host::on_command_committed(const pending_submission& submission,
                                        std::optional<core::revision> at) {
    if (!at) {
        // The outcome is unknown, so no answer is sent. The sender resends the command to the next leader.
        return;
    }
    const auto outcome = m_outcomes.find(*at);
    if (outcome != m_outcomes.end()) {
        answer_submission(submission, outcome->second);
    } else if (m_state.m_revision < *at) {
        m_pending_submissions[*at] = submission;
    }
}

void control_host::answer_submission(const pending_submission& submission,
                                     const control::command_outcome& outcome) {
    wire::command_outcomeT message;
    message.number = submission.m_number;
    message.accepted = outcome.m_accepted;
    message.revision = outcome.m_revision.value();
    message.reason = outcome.m_reason;
    message.message = outcome.m_message;
    m_bus.send(submission.m_from, std::move(message));
}

void control_host::on_replacement_requested(const wire::replace_control_hostT& request) {
    const auto started =
        m_raft->replace_host(core::entry_host_id(request.old_host), core::entry_host_id(request.new_host));
    core::log_line(core::log_level::info, "control",
                   "control host replacement requested old=" + request.old_host + " new=" + request.new_host +
                       (started ? " started" : " refused reason=" + started.reason()));
}

} // namespace mangoquay::control_host
