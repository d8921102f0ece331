// Events of real processes: databases and hosts that restart, hosts that do not run for seconds, and
// endpoints and routes that change.
#include "support/relay_invariants.h"
#include "support/relay_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

constexpr core::milliseconds connection_limit{3000};

} // namespace

std::function<void()> relay_simulation::on_host(std::function<void()> action) {
    return [this, generation = m_generation, action = std::move(action)] {
        if (generation != m_generation || m_process_ended) {
            return;
        }
        if (m_paused) {
            m_deferred_events.push_back(action);
            return;
        }
        action();
    };
}

void relay_simulation::inject_process_event() {
    const process_events& events = m_options.m_events;
    if (events.m_database_faults && occurs(5)) {
        restart_database();
    }
    if (events.m_ended_transactions) {
        end_random_transaction();
    }
    if (events.m_endpoint_changes && occurs(10)) {
        change_endpoints();
    }
    if (events.m_route_changes && occurs(15)) {
        change_routes();
    }
    if (events.m_pauses && !m_paused && occurs(10)) {
        pause_host(core::milliseconds(random_below(4000)));
    }
    if (events.m_host_restarts && !m_process_ended && occurs(3)) {
        restart_host();
    }
    if (events.m_host_restarts && m_lending && occurs(5)) {
        m_lending->restart_random_lender();
    }
}

// The relay learns of the loss when it is reported, which may be after the database runs again.
void relay_simulation::break_connection(relay::connection_id id, core::duration report_delay) {
    const auto found = m_connections.find(id);
    found->second->m_broken = true;
    m_connections.erase(found);
    const auto report = [this, id] { report_connection_failure(id); };
    schedule(report_delay, lending_simulation::is_lender_connection(id) ? report : on_host(report));
}

// The database keeps its log, and no values, prepared statements or transactions.
void relay_simulation::restart_database() {
    const std::size_t restarted = random_below(m_databases.size());
    std::vector<relay::connection_id> lost;
    for (const auto& [id, session] : m_connections) {
        if (session->m_database == restarted) {
            lost.push_back(id);
        }
    }
    const bool is_reset = occurs(50);
    for (const relay::connection_id id : lost) {
        const auto delay = is_reset ? core::milliseconds(random_below(20)) : connection_limit;
        break_connection(id, delay);
    }
    m_databases[restarted].m_report.m_started_ms += 1;
    schedule(core::milliseconds(random_below(900)), [this] { announce_endpoints(); });
}

// The database rolls the transaction back and says so in its next answer.
void relay_simulation::end_random_transaction() {
    std::vector<std::shared_ptr<server_session>> open;
    for (const auto& [id, session] : m_connections) {
        if (session->m_in_transaction && !session->m_failed) {
            open.push_back(session);
        }
    }
    if (open.empty()) {
        return;
    }
    server_session& ended = *open[random_below(open.size())];
    if (occurs(50)) {
        ended.m_ends_transaction = true;
        return;
    }
    end_database_transaction(ended);
    ended.m_was_ended = true;
}

void relay_simulation::change_endpoints() {
    const std::size_t changed = random_below(m_databases.size());
    std::set<std::size_t>& changes = occurs(50) ? m_unlisted_databases : m_misreported_databases;
    changes.insert(changed);
    announce_endpoints();
    schedule(core::milliseconds(random_below(2000)), [this, &changes, changed] {
        changes.erase(changed);
        announce_endpoints();
    });
}

void relay_simulation::configure() {
    on_host([this, configuration = m_configuration] { m_core->configure(configuration, m_now); })();
    announce_endpoints();
}

// A route moves to the other service, or disappears for a while.
void relay_simulation::change_routes() {
    const auto next_version = [this] {
        m_configuration.m_version = documents::document_version(m_configuration.m_version.value() + 1);
    };
    next_version();
    const std::size_t changed = random_below(m_configuration.m_routes.size());
    documents::route_rule& route = m_configuration.m_routes[changed];
    if (m_configuration.m_routes.size() > 1 && occurs(40)) {
        const documents::route_rule removed = route;
        m_configuration.m_routes.erase(m_configuration.m_routes.begin() +
                                       static_cast<std::ptrdiff_t>(changed));
        schedule(core::milliseconds(random_below(1000)), [this, next_version, removed] {
            next_version();
            m_configuration.m_routes.push_back(removed);
            configure();
        });
    } else {
        const auto other = std::ranges::find_if(m_configuration.m_services, [&route](const auto& rule) {
            return rule.m_name != route.m_service;
        });
        route.m_service = other->m_name;
    }
    configure();
}

// The deadlines that pass meanwhile are handled before or after the events that arrive meanwhile.
void relay_simulation::pause_host(core::duration length) {
    m_paused = true;
    schedule(length, [this, generation = m_generation] {
        if (generation != m_generation) {
            return;
        }
        m_paused = false;
        const std::function<void()> tick = on_host([this] { m_core->tick(m_now); });
        const bool timers_first = occurs(50);
        if (timers_first) {
            tick();
        }
        for (const auto& action : std::exchange(m_deferred_events, {})) {
            action();
            check_invariants();
        }
        if (!timers_first) {
            tick();
        }
    });
}

void relay_simulation::start_host() {
    relay::relay_limits limits;
    limits.m_zone = core::availability_zone("zone0");
    limits.m_entry_hosts = 4;
    limits.m_executor_fences = !m_options.m_leased;
    relay::relay_ports& ports = *this;
    m_core = std::make_unique<relay::relay_core>(ports, limits);
}

// Databases notice within seconds that connections of the former process have ended.
void relay_simulation::restart_host() {
    ++m_generation;
    m_paused = false;
    m_deferred_events.clear();
    m_callers.clear();
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        if (lending_simulation::is_lender_connection(it->first)) {
            ++it;
            continue;
        }
        schedule(core::milliseconds(occurs(70) ? random_below(20) : random_below(3000)),
                 [session = it->second] { session->m_broken = true; });
        it = m_connections.erase(it);
    }
    start_host();
    if (m_lending) {
        m_lending->set_core(*m_core);
        m_lending->restart_borrower();
    }
    configure();
    start_callers();
}

void relay_simulation::check_invariants() {
    if (const std::string violated = relay_invariants::violated(*m_core); !violated.empty()) {
        record_violation(violated);
    }
}

} // namespace mangoquay::test
