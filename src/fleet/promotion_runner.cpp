// Links and limits of promotion steps.
#include "fleet/promotion_runner.h"

#include "core/log.h"

#include <utility>

namespace mangoquay::fleet {
namespace {

// A database that is reached answers within a round trip and the wait for a slot.
constexpr core::milliseconds step_limit{300};
// Replicas are asked rarely; their links are not held open against the connections of entry hosts.
constexpr core::milliseconds unused_link_lifetime{3000};
// Entry hosts report every half a second. One that is cut off from here says nothing about a primary any
// more.
constexpr core::milliseconds view_lifetime{800};

relay::request_kind request_of(promotion::step_kind kind) {
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
                                   promotion_executor& executor, core::entry_host_id self,
                                   fence_source fences)
    : m_loop(loop), m_protocol(protocol), m_executor(executor), m_self(std::move(self)),
      m_fences(std::move(fences)), m_core(*this) {}

promotion_runner::~promotion_runner() = default;

void promotion_runner::lead(bool leading) {
    if (leading != m_leading) {
        core::log_line(core::log_level::info, "promotion",
                       leading ? "this host leads" : "this host does not lead");
        m_leading = leading;
    }
    m_core.set_leading(leading);
    if (!leading) {
        m_links.clear();
    }
}

void promotion_runner::tick(const documents::configuration& chosen,
                            const registry::endpoint_registry& endpoints,
                            const std::map<core::entry_host_id, subscriber_record>& followers,
                            core::time_point now) {
    drop_overdue(now);
    m_core.tick(views(chosen, endpoints, followers, now), now);
}

std::vector<promotion::service_view>
promotion_runner::views(const documents::configuration& chosen, const registry::endpoint_registry& endpoints,
                        const std::map<core::entry_host_id, subscriber_record>& followers,
                        core::time_point now) const {
    std::vector<promotion::service_view> services;
    for (const documents::service_rule& rule : chosen.m_services) {
        services.push_back({rule.m_name, rule.m_synchronous_replicas, {}, {}, {}});
        for (const auto& [host, follower] : followers) {
            const bool reports = follower.m_last_contact + view_lifetime > now;
            services.back().m_reporting_hosts += follower.m_is_entry && reports ? 1 : 0;
            services.back().m_nonreporting_hosts += follower.m_is_entry && !reports ? 1 : 0;
        }
    }
    for (const registry::endpoint_report& report : endpoints.listed()) {
        for (promotion::service_view& service : services) {
            if (service.m_name != report.m_service) {
                continue;
            }
            service.m_endpoints.push_back(report);
            service.m_last_contact[report.m_id] = endpoints.find(report.m_id)->m_last_contact;
            for (const auto& [host, follower] : followers) {
                const auto seen = follower.m_primaries.find(report.m_id);
                if (seen != follower.m_primaries.end() && follower.m_last_contact + view_lifetime > now) {
                    promotion::entry_host_counts& views = service.m_entry_host_counts[report.m_id];
                    views.m_answered += seen->second.m_answered ? 1 : 0;
                    views.m_failing += seen->second.m_failing ? 1 : 0;
                }
            }
        }
    }
    return services;
}

promotion_runner::endpoint_link& promotion_runner::link_to(const registry::endpoint_report& target) {
    endpoint_link& own = m_links[target.m_id];
    const bool moved = own.m_link && (own.m_target.m_address != target.m_address ||
                                      own.m_target.m_started_ms != target.m_started_ms);
    if (own.m_link && !moved) {
        return own;
    }
    own.m_target = target;
    entry::database_connection_handlers handlers;
    handlers.m_opened = [](std::optional<core::history_position>) {};
    handlers.m_answered = [this, id = target.m_id](const relay::database_answer& answer) {
        answered(id, answer);
    };
    handlers.m_failed = [this, id = target.m_id](std::optional<relay::refusal> refused,
                                                 const std::string& reason) {
        core::log_line(core::log_level::info, "promotion",
                       "database link ended endpoint=" + id.value() + " reason=" + reason);
        failed(id, refused == relay::refusal::too_many_connections);
    };
    own.m_link = std::make_unique<entry::database_connection>(m_loop, m_protocol, target, std::move(handlers));
    return own;
}

void promotion_runner::run_step(const core::service_name& service, const registry::endpoint_report& target,
                                promotion::step_kind kind, core::term term) {
    endpoint_link& own = link_to(target);
    const core::time_point now = core::now();
    waiting_step step{service, kind, 1, core::deadline_after(now, step_limit), {}};
    step.m_answer.m_endpoint = target.m_id;
    step.m_answer.m_kind = kind;
    step.m_answer.m_term = term;
    std::vector<relay::database_request> requests{{.m_kind = request_of(kind), .m_term = term}};
    if (kind == promotion::step_kind::probe) {
        step.m_answers_left = 2;
        requests.push_back({.m_kind = relay::request_kind::rollback});
    }
    own.m_used = now;
    own.m_steps.push_back(std::move(step));
    own.m_link->send(requests);
}

void promotion_runner::answered(const core::endpoint_id& id, const relay::database_answer& answer) {
    endpoint_link& own = m_links.at(id);
    if (own.m_steps.empty()) {
        return;
    }
    waiting_step& step = own.m_steps.front();
    const bool first = step.m_answer.m_answered == false;
    step.m_answer.m_answered = true;
    if (first && !answer.m_refusal) {
        if (step.m_kind == promotion::step_kind::probe) {
            step.m_answer.m_is_primary = true;
            step.m_answer.m_position = answer.m_position;
        } else if (!answer.m_rows.empty()) {
            step.m_answer.m_status = m_protocol.decode_status(answer.m_rows.front());
        }
    }
    if (--step.m_answers_left > 0) {
        return;
    }
    const waiting_step done = std::move(step);
    own.m_steps.pop_front();
    m_core.on_step_answer(done.m_service, done.m_answer, core::now());
}

void promotion_runner::failed(const core::endpoint_id& id, bool full) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    const endpoint_link lost = std::move(found->second); // outlives the call that ends it
    m_links.erase(found);
    for (const waiting_step& step : lost.m_steps) {
        promotion::step_answer answer;
        answer.m_endpoint = id;
        answer.m_kind = step.m_kind;
        answer.m_connections_exhausted = full;
        m_core.on_step_answer(step.m_service, answer, core::now());
    }
}

void promotion_runner::drop_overdue(core::time_point now) {
    std::vector<core::endpoint_id> overdue;
    std::erase_if(m_links, [now](const auto& one) {
        return one.second.m_steps.empty() && one.second.m_used + unused_link_lifetime < now;
    });
    for (const auto& [id, own] : m_links) {
        if (!own.m_steps.empty() && own.m_steps.front().m_limit.passed(now)) {
            overdue.push_back(id);
        }
    }
    for (const core::endpoint_id& id : overdue) {
        failed(id, false);
    }
}

void promotion_runner::send_promotion_order(const core::service_name& service,
                                            const core::endpoint_id& target,
                                            promotion::fencing_token number) {
    const std::weak_ptr<int> alive = m_alive;
    m_executor.execute_order({m_self, service, target, number},
                     [this, alive, service, number](promotion::order_outcome outcome) {
                         if (!alive.expired()) {
                             m_core.on_order_outcome(service, number, outcome, core::now());
                         }
                     });
}

std::optional<promotion::fencing_token> promotion_runner::next_fencing_token() {
    return m_fences();
}

void promotion_runner::record_event(const promotion::promotion_event& event) {
    core::log_line(core::log_level::info, "promotion",
                   std::string(event.m_message) + " service=" + event.m_service.value() +
                       " endpoint=" + event.m_endpoint.value() + " reason=\"" + event.m_reason + "\"");
}

} // namespace mangoquay::fleet
