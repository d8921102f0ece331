// Connections and timeouts of promotion steps.
#include "fleet/promotion_runner.h"

#include "core/log.h"
#include "core/quoting.h"

#include <utility>

namespace mangoquay::fleet {
namespace {

// A reachable database answers within a round trip and the wait for a slot.
constexpr core::milliseconds step_timeout{300};
// Replicas are queried rarely. Their connections are closed so that entry hosts can use the slots.
constexpr core::milliseconds idle_connection_lifetime{3000};
// Entry hosts report every 500 ms. The observations of an entry host that is partitioned from this host are
// no longer used.
constexpr core::milliseconds observation_lifetime{800};

relay::request_kind request_for(promotion::step_kind kind) {
    switch (kind) {
    case promotion::step_kind::probe:
        return relay::request_kind::begin;
    case promotion::step_kind::status:
        return relay::request_kind::status;
    case promotion::step_kind::pause:
        return relay::request_kind::pause_replication;
    case promotion::step_kind::resume:
        return relay::request_kind::resume_replication;
    case promotion::step_kind::step_down:
        return relay::request_kind::step_down;
    }
    return relay::request_kind::status;
}

} // namespace

promotion_runner::promotion_runner(transport::event_loop& loop, const entry::session_protocol& protocol,
                                   promotion_executor& executor, promotion::primary_authority& authority,
                                   bool executor_fences, core::entry_host_id self,
                                   fencing_token_source token_source, leadership_end_source leadership_end,
                                   copy_proposer propose_copies)
    : m_loop(loop), m_protocol(protocol), m_executor(executor), m_authority(authority),
      m_self(std::move(self)), m_executor_fences(executor_fences), m_token_source(std::move(token_source)),
      m_leadership_end(std::move(leadership_end)), m_propose_copies(std::move(propose_copies)),
      m_core(*this, authority) {}

promotion_runner::~promotion_runner() = default;

void promotion_runner::set_leading(bool leading) {
    if (leading != m_leading) {
        core::log_line(core::log_level::info, "promotion",
                       leading ? "this host has become the leader" : "this host is not the leader any more");
        m_leading = leading;
    }
    m_core.set_leading(leading);
    if (!leading) {
        m_copies.reset();
        m_connections.clear();
    }
}

void promotion_runner::tick(const documents::configuration& configuration,
                            const registry::endpoint_registry& endpoints, const committed_state& committed,
                            const std::map<core::entry_host_id, subscriber_record>& subscribers,
                            core::time_point now) {
    expire_connections(now);
    update_copies(configuration, endpoints, committed, now);
    m_core.tick(service_views(configuration, endpoints, subscribers, now), now);
}

void promotion_runner::update_copies(const documents::configuration& configuration,
                                     const registry::endpoint_registry& endpoints,
                                     const committed_state& committed, core::time_point now) {
    promotion::synchronous_services services;
    services.m_is_current = configuration.m_version == committed.m_document_version;
    for (const documents::service_rule& rule : configuration.m_services) {
        if (rule.m_synchronous_replicas > 0) {
            services.m_names.insert(rule.m_name);
        }
    }
    const std::vector<promotion::copy_change> changes =
        m_copies.update(services, endpoints, committed.m_copies, now);
    for (const promotion::copy_change& change : changes) {
        core::log_line(core::log_level::info, "promotion",
                       "copy proposed service=" + core::word_or_quoted(change.m_service.value()) +
                           " endpoint=" + core::word_or_quoted(change.m_copy.m_endpoint.value()) +
                           " started_ms=" + std::to_string(change.m_copy.m_started_ms) +
                           " stage=" + promotion::to_string(change.m_record.m_stage) +
                           " reason=" + core::quoted(change.m_reason));
    }
    if (!changes.empty()) {
        m_propose_copies(changes);
    }
}

std::vector<promotion::service_view> promotion_runner::service_views(
    const documents::configuration& configuration, const registry::endpoint_registry& endpoints,
    const std::map<core::entry_host_id, subscriber_record>& subscribers, core::time_point now) const {
    std::vector<promotion::service_view> services;
    for (const documents::service_rule& rule : configuration.m_services) {
        services.push_back({.m_name = rule.m_name,
                            .m_synchronous_replicas = rule.m_synchronous_replicas,
                            .m_is_leased = documents::needs_primary_lease(rule, m_executor_fences),
                            .m_old_primary_goes_on = !m_executor_fences,
                            .m_copies = m_copies.counted_copies(rule.m_name)});
        for (const auto& [host, subscriber] : subscribers) {
            const bool is_reporting = subscriber.m_last_contact + observation_lifetime > now;
            services.back().m_reporting_hosts += subscriber.m_is_entry && is_reporting ? 1 : 0;
            // A silent host without a lease cannot use the primary that it may still reach.
            const bool is_serving = !services.back().m_is_leased || m_authority.may_use_primaries(host, now);
            services.back().m_nonreporting_hosts +=
                subscriber.m_is_entry && !is_reporting && is_serving ? 1 : 0;
        }
    }
    for (const registry::endpoint_report& report : endpoints.usable_reports()) {
        for (promotion::service_view& service : services) {
            if (service.m_name != report.m_service) {
                continue;
            }
            service.m_endpoints.push_back(report);
            service.m_last_contact[report.m_id] = endpoints.find(report.m_id)->m_last_contact;
            for (const auto& [host, subscriber] : subscribers) {
                const auto seen = subscriber.m_primaries.find(hash_of(report.m_id));
                if (seen != subscriber.m_primaries.end() &&
                    subscriber.m_last_contact + observation_lifetime > now) {
                    promotion::entry_host_counts& counts = service.m_entry_host_counts[report.m_id];
                    counts.m_answered += seen->second.m_answered ? 1 : 0;
                    counts.m_failing += seen->second.m_failing ? 1 : 0;
                }
            }
        }
    }
    return services;
}

promotion_runner::endpoint_connection&
promotion_runner::connection_to(const registry::endpoint_report& target) {
    endpoint_connection& connection = m_connections[target.m_id];
    const bool target_changed =
        connection.m_connection && (connection.m_target.m_address != target.m_address ||
                                    connection.m_target.m_started_ms != target.m_started_ms);
    if (connection.m_connection && !target_changed) {
        return connection;
    }
    connection.m_target = target;
    entry::database_connection_handlers handlers;
    handlers.m_opened = [this, id = target.m_id](std::optional<core::history_position>) {
        m_connections.at(id).m_opened_at = core::now();
    };
    handlers.m_answered = [this, id = target.m_id](const relay::database_answer& answer) {
        on_answer_received(id, answer);
    };
    handlers.m_failed = [this, id = target.m_id](std::optional<relay::refusal> refused,
                                                 const std::string& reason) {
        core::log_line(core::log_level::info, "promotion",
                       "database link ended endpoint=" + id.value() + " reason=" + reason);
        on_connection_failed(id, refused == relay::refusal::too_many_connections);
    };
    connection.m_connection = std::make_unique<entry::database_connection>(m_loop, m_protocol, target,
                                                                           std::nullopt, std::move(handlers));
    return connection;
}

void promotion_runner::run_step(const core::service_name& service, const registry::endpoint_report& target,
                                promotion::step_kind kind, core::term term) {
    endpoint_connection& connection = connection_to(target);
    const core::time_point now = core::now();
    pending_step step{service, kind, 1, core::deadline_after(now, step_timeout), {}};
    step.m_answer.m_endpoint = target.m_id;
    step.m_answer.m_started_ms = target.m_started_ms;
    step.m_answer.m_kind = kind;
    step.m_answer.m_term = term;
    std::vector<relay::database_request> requests{{.m_kind = request_for(kind), .m_term = term}};
    if (kind == promotion::step_kind::probe) {
        step.m_expected_answers = 2;
        requests.push_back({.m_kind = relay::request_kind::rollback});
    }
    connection.m_last_use = now;
    connection.m_pending_steps.push_back(std::move(step));
    connection.m_connection->send(requests);
}

void promotion_runner::on_answer_received(const core::endpoint_id& id, const relay::database_answer& answer) {
    endpoint_connection& connection = m_connections.at(id);
    if (connection.m_pending_steps.empty()) {
        return;
    }
    pending_step& step = connection.m_pending_steps.front();
    const bool is_first_answer = step.m_answer.m_answered == false;
    step.m_answer.m_answered = true;
    step.m_answer.m_connected_at = connection.m_opened_at;
    if (is_first_answer && !answer.m_refusal) {
        if (step.m_kind == promotion::step_kind::probe) {
            step.m_answer.m_is_primary = true;
            step.m_answer.m_position = answer.m_position;
        } else if (!answer.m_rows.empty()) {
            step.m_answer.m_status = m_protocol.decode_status(answer.m_rows.front());
        }
    }
    if (--step.m_expected_answers > 0) {
        return;
    }
    const pending_step completed = std::move(step);
    connection.m_pending_steps.pop_front();
    m_core.on_step_answer(completed.m_service, completed.m_answer, core::now());
}

void promotion_runner::on_connection_failed(const core::endpoint_id& id, bool connections_exhausted) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const endpoint_connection lost = std::move(found->second); // Must outlive the handler that runs on it.
    m_connections.erase(found);
    for (const pending_step& step : lost.m_pending_steps) {
        promotion::step_answer answer;
        answer.m_endpoint = id;
        answer.m_started_ms = step.m_answer.m_started_ms;
        answer.m_kind = step.m_kind;
        answer.m_connections_exhausted = connections_exhausted;
        m_core.on_step_answer(step.m_service, answer, core::now());
    }
}

void promotion_runner::expire_connections(core::time_point now) {
    std::vector<core::endpoint_id> overdue;
    std::erase_if(m_connections, [now](const auto& item) {
        return item.second.m_pending_steps.empty() && item.second.m_last_use + idle_connection_lifetime < now;
    });
    for (const auto& [id, connection] : m_connections) {
        if (!connection.m_pending_steps.empty() &&
            connection.m_pending_steps.front().m_deadline.passed(now)) {
            overdue.push_back(id);
        }
    }
    for (const core::endpoint_id& id : overdue) {
        core::log_line(core::log_level::info, "promotion",
                       "database link silent endpoint=" + id.value() +
                           " limit_ms=" + std::to_string(step_timeout.count()));
        on_connection_failed(id, false);
    }
}

void promotion_runner::send_promotion_order(const core::service_name& service,
                                            const core::endpoint_id& target, promotion::fencing_token token) {
    const std::weak_ptr<int> alive = m_alive;
    m_executor.execute_order({m_self, service, target, token, m_leadership_end()},
                             [this, alive, service, token](promotion::order_outcome outcome) {
                                 if (!alive.expired()) {
                                     m_core.on_order_outcome(service, token, outcome, core::now());
                                 }
                             });
}

std::optional<promotion::fencing_token> promotion_runner::next_fencing_token() {
    return m_token_source();
}

void promotion_runner::release_copy(const core::service_name& service,
                                    const promotion::endpoint_incarnation& copy) {
    m_copies.release(service, copy);
}

void promotion_runner::record_event(const promotion::promotion_event& event) {
    core::log_line(core::log_level::info, "promotion",
                   event.m_message + " service=" + core::word_or_quoted(event.m_service.value()) +
                       " endpoint=" + core::word_or_quoted(event.m_endpoint.value()) +
                       " reason=" + core::quoted(event.m_reason));
}

} // namespace mangoquay::fleet
