// Databases and connections of the simulation.
#include "support/relay_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

constexpr const char* service = "ledger";
constexpr const char* other_service = "archive";
constexpr std::uint32_t other_databases = 2;
constexpr core::milliseconds lease_length{300};
constexpr core::milliseconds stop_limit{6000};
constexpr core::milliseconds stop_step_interval{100};

documents::configuration configuration_of(std::uint32_t connections) {
    documents::configuration configuration;
    configuration.m_version = documents::document_version(1);
    const documents::consistency consistencies[] = {documents::consistency::latest,
                                                    documents::consistency::bounded_age,
                                                    documents::consistency::read_your_writes};
    for (std::size_t index = 0; index < 3; ++index) {
        documents::route_rule route;
        route.m_database = "database" + std::to_string(index);
        route.m_consistency = consistencies[index];
        route.m_statement_timeout = core::milliseconds(1000);
        route.m_target_latency = core::milliseconds(300);
        route.m_max_attempts = 2;
        route.m_max_age = simulated_max_age;
        route.m_service = core::service_name(service);
        configuration.m_routes.push_back(route);
    }
    configuration.m_services.push_back({core::service_name(service), connections, 0});
    configuration.m_services.push_back({core::service_name(other_service), connections, 0});
    configuration.m_transaction_idle_timeout = core::milliseconds(2000);
    return configuration;
}

} // namespace

relay_simulation::relay_simulation(relay_simulation_options options)
    : m_options(options), m_random(options.m_seed), m_operations_left(options.m_operations) {
    start_host();
    if (options.m_lent_connections) {
        lending_environment environment;
        environment.m_schedule = [this](core::duration delay, std::function<void()> action) {
            schedule(delay, std::move(action));
        };
        environment.m_post = [this](std::function<void()> action) {
            schedule({}, on_host(std::move(action)));
        };
        environment.m_on_host = [this](std::function<void()> action) { on_host(std::move(action))(); };
        environment.m_now = [this] { return m_now; };
        environment.m_random_below = [this](std::uint64_t below) { return random_below(below); };
        environment.m_open_connection = [this](auto id, const auto& target) {
            open_database_connection(id, target);
        };
        environment.m_send_requests = [this](auto id, const auto& requests) {
            send_to_database(id, requests);
        };
        environment.m_close_connection = [this](auto id) { close_database_connection(id); };
        m_lending = std::make_unique<lending_simulation>(
            environment, lending_faults{options.m_connection_faults, options.m_events.m_pauses,
                                        options.m_events.m_endpoint_changes,
                                        options.m_injected_faults.m_return_with_session_values,
                                        options.m_injected_faults.m_return_in_transaction});
        m_lending->set_core(*m_core);
    }
    const std::uint32_t others = options.m_events.m_route_changes ? other_databases : 0;
    for (std::uint32_t index = 0; index < options.m_databases + others; ++index) {
        const bool is_other = index >= options.m_databases;
        database server;
        server.m_report.m_id = core::endpoint_id("db" + std::to_string(index));
        server.m_report.m_service = core::service_name(is_other ? other_service : service);
        server.m_report.m_address = {"10.0.0." + std::to_string(index + 1), 5000};
        server.m_report.m_zone = core::availability_zone("zone" + std::to_string(index % 3));
        server.m_report.m_slots = 4;
        server.m_report.m_sequence = 1;
        server.m_acts_as_primary = index == 0 || index == options.m_databases;
        server.m_report.m_is_primary = server.m_acts_as_primary;
        m_databases.push_back(server);
    }
}

relay_simulation::~relay_simulation() = default;

void relay_simulation::schedule(core::duration delay, std::function<void()> action) {
    m_events.emplace(event{m_now + delay, ++m_event_number}, std::move(action));
}

std::uint64_t relay_simulation::random_below(std::uint64_t below) {
    return m_random() % below;
}

void relay_simulation::record_violation(const std::string& what) {
    if (m_violation.empty()) {
        m_violation = what + " seed=" + std::to_string(m_options.m_seed);
    }
}

void relay_simulation::run() {
    m_configuration = configuration_of(m_options.m_connections);
    configure();
    const std::function<void()> tick = [this, &tick] {
        if (!m_process_ended && !m_paused) {
            m_core->tick(m_now);
        }
        if (m_lending) {
            m_lending->tick(!m_paused);
        }
        replicate();
        schedule(core::milliseconds(10), tick);
    };
    tick();
    const std::function<void()> inject_faults = [this, &inject_faults] {
        inject_random_fault();
        inject_process_event();
        schedule(core::milliseconds(40 + random_below(300)), inject_faults);
    };
    schedule(core::milliseconds(300), inject_faults);
    if (m_options.m_leased) {
        renew_lease();
    }
    if (m_options.m_stop_after) {
        schedule(*m_options.m_stop_after, [this] { begin_stop(); });
    }
    start_callers();
    const core::time_point end = m_now + std::chrono::minutes(3);
    const auto is_active = [this] {
        return m_operations_left > 0 || !m_callers.empty() || m_now < m_last_run_end;
    };
    while (m_now < end && m_violation.empty() && is_active()) {
        const auto next = m_events.begin();
        m_now = next->first.first;
        const auto action = std::move(next->second);
        m_events.erase(next);
        action();
        if (!m_process_ended) {
            check_invariants();
        }
    }
    if (!m_callers.empty()) {
        record_violation("a statement was never answered");
    }
    for (const std::uint64_t attempt : m_reported_not_run) {
        if (m_committed.contains(attempt)) {
            record_violation("a write took effect although its caller was told that it did not");
        }
    }
}

void relay_simulation::begin_stop() {
    m_stop.emplace(m_now, stop_limit);
    stop_step();
}

void relay_simulation::stop_step() {
    const std::size_t sessions_left = m_stop->step(*m_core, m_now);
    if (sessions_left == 0 || m_stop->is_overdue(m_now)) {
        schedule(stop_step_interval, [this] { end_process(); }); // The last answers are sent by then.
        return;
    }
    schedule(stop_step_interval, on_host([this] { stop_step(); }));
}

void relay_simulation::end_process() {
    m_process_ended = true;
    m_operations_left = 0;
    for (const auto& [session, current] : m_callers) {
        if (current.m_waiting) {
            record_violation("a statement was cut off without an answer");
        }
    }
    m_callers.clear();
    m_last_run_end = m_now + core::milliseconds(2 * m_options.m_max_run_ms);
}

core::history_position relay_simulation::position_of(const database& server) {
    const core::history_position position{core::term(server.m_term), core::log_position(server.m_log.size())};
    m_last_commit[{server.m_report.m_service, position}] =
        server.m_log.empty() ? 0 : server.m_log.back().m_attempt;
    return position;
}

// A log holds a position if it has the same commit at that index. Commits that a promotion discarded are not
// held.
bool relay_simulation::has_position(const database& server, const core::history_position& position) const {
    const std::uint64_t length = position.m_position.value();
    if (length == 0) {
        return true;
    }
    return server.m_log.size() >= length &&
           server.m_log[length - 1].m_attempt == m_last_commit.at({server.m_report.m_service, position});
}

void relay_simulation::replicate() {
    for (database& server : m_databases) {
        const database* primary = nullptr; // An old one may go on beside the latest.
        for (const database& other : m_databases) {
            const bool is_latest = other.m_acts_as_primary &&
                                   other.m_report.m_service == server.m_report.m_service &&
                                   (primary == nullptr || primary->m_term < other.m_term);
            primary = is_latest ? &other : primary;
        }
        if (primary == nullptr || server.m_acts_as_primary ||
            random_below(static_cast<std::uint64_t>(server.m_lag_ms)) > 15) {
            continue;
        }
        server.m_log = primary->m_log;
        server.m_term = primary->m_term;
    }
}

void relay_simulation::promote() {
    std::vector<std::size_t> replicas;
    for (std::size_t index = 0; index < m_databases.size(); ++index) {
        if (!m_databases[index].m_acts_as_primary) {
            replicas.push_back(index);
        }
    }
    if (replicas.empty()) {
        return;
    }
    promote_database(replicas[random_below(replicas.size())]);
}

void relay_simulation::renew_lease() {
    if (m_assigned_primary) {
        const core::time_point end =
            m_options.m_injected_faults.m_endless_leases ? core::time_point::max() : m_now + lease_length;
        const primary_leases::primary_list primaries{
            {core::service_name(service), m_databases[*m_assigned_primary].m_report.m_id}};
        on_host(
            [this, primaries, end] { m_core->set_primary_leases(primaries, core::deadline{end}, m_now); })();
    }
    schedule(lease_length / 3, [this] { renew_lease(); });
}

void relay_simulation::promote_after_leases() {
    if (!m_assigned_primary) {
        return;
    }
    m_assigned_primary.reset();
    schedule(lease_length, [this] { promote(); });
}

void relay_simulation::promote_database(std::size_t chosen) {
    const std::vector<commit> retained_log = m_databases[chosen].m_log;
    std::uint32_t latest_term = 0;
    for (database& server : m_databases) {
        if (server.m_report.m_service != m_databases[chosen].m_report.m_service) {
            continue;
        }
        latest_term = std::max(latest_term, server.m_term);
        for (const commit& entry : server.m_log) {
            const bool retained = std::ranges::any_of(
                retained_log, [&](const commit& held) { return held.m_attempt == entry.m_attempt; });
            if (!retained) {
                m_rolled_back.insert(entry.m_attempt);
            }
        }
        server.m_acts_as_primary = server.m_acts_as_primary && m_options.m_leased;
    }
    if (m_options.m_leased) {
        schedule(core::milliseconds(random_below(900)), [this, chosen] { m_assigned_primary = chosen; });
        schedule(core::milliseconds(200 + random_below(1500)), [this, chosen] {
            for (database& server : m_databases) {
                server.m_acts_as_primary =
                    server.m_acts_as_primary && server.m_term >= m_databases[chosen].m_term;
            }
        });
    }
    database& primary = m_databases[chosen];
    primary.m_acts_as_primary = true;
    primary.m_term = latest_term + 1;
    // The new primary is announced at once or a little later; until then the old one is still reported as the
    // primary.
    schedule(core::milliseconds(random_below(900)), [this] { announce_endpoints(); });
}

void relay_simulation::announce_endpoints() {
    std::vector<registry::endpoint_report> listed;
    for (std::size_t index = 0; index < m_databases.size(); ++index) {
        database& server = m_databases[index];
        server.m_report.m_is_primary = server.m_acts_as_primary != m_misreported_databases.contains(index);
        ++server.m_report.m_sequence;
        if (!m_unlisted_databases.contains(index)) {
            listed.push_back(server.m_report);
        }
    }
    on_host([this, listed] {
        if (m_lending) {
            m_lending->announce_endpoints(listed);
        }
        m_core->on_endpoints_changed(listed, m_now);
    })();
}

void relay_simulation::inject_random_fault() {
    if (m_options.m_promotions && occurs(15)) {
        m_options.m_leased ? promote_after_leases() : promote();
    }
    if (m_options.m_lag && occurs(20)) {
        m_databases[random_below(m_databases.size())].m_lag_ms = occurs(50) ? 60 : 2500;
    }
    if (!m_options.m_connection_faults || m_connections.empty() || !occurs(50)) {
        return;
    }
    if (m_lending && occurs(20)) {
        m_lending->disconnect_random_lender();
        return;
    }
    auto picked = m_connections.begin();
    std::advance(picked, static_cast<std::ptrdiff_t>(random_below(m_connections.size())));
    if (occurs(40)) {
        picked->second->m_loses_answers = true;
        return;
    }
    break_connection(picked->first, core::milliseconds(random_below(20)));
}

void relay_simulation::report_connection_failure(relay::connection_id id) {
    if (lending_simulation::is_lender_connection(id)) {
        m_lending->on_connection_failed(id);
    } else {
        m_core->on_connection_failed(id, std::nullopt, m_now);
    }
}

void relay_simulation::open_connection(relay::connection_id id, const registry::endpoint_report& target) {
    if (m_lending) {
        record_violation("a connection was opened to an endpoint whose connections are lent");
    }
    open_database_connection(id, target);
}

void relay_simulation::borrow_connection(relay::connection_id id, const core::endpoint_id& endpoint,
                                         const lending::loan_terms& terms,
                                         const std::vector<relay::database_request>& initial_requests) {
    m_lending->borrow(id, endpoint, terms, initial_requests);
}

void relay_simulation::return_connection(relay::connection_id id, const lending::returned_state& state) {
    m_lending->return_connection(id, state);
}

void relay_simulation::open_database_connection(relay::connection_id id,
                                                const registry::endpoint_report& target) {
    auto session = std::make_shared<server_session>();
    for (std::size_t index = 0; index < m_databases.size(); ++index) {
        if (m_databases[index].m_report.m_id == target.m_id) {
            session->m_database = index;
        }
    }
    m_connections[id] = session;
    const auto opened = [this, id, session] {
        const auto found = m_connections.find(id);
        if (found != m_connections.end() && found->second == session && !session->m_loses_answers) {
            const core::history_position position = position_of(m_databases[session->m_database]);
            if (lending_simulation::is_lender_connection(id)) {
                m_lending->on_connection_opened(id, position);
            } else {
                m_core->on_connection_opened(id, position, m_now);
            }
        }
    };
    schedule(core::milliseconds(12), lending_simulation::is_lender_connection(id) ? opened : on_host(opened));
}

void relay_simulation::close_connection(relay::connection_id id) {
    if (!m_lending || !m_lending->close(id)) {
        close_database_connection(id);
    }
}

void relay_simulation::close_database_connection(relay::connection_id id) {
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
        found->second->m_broken = true;
        m_connections.erase(found);
    }
}

void relay_simulation::send_requests(relay::connection_id id,
                                     const std::vector<relay::database_request>& requests) {
    if (!m_lending) {
        send_to_database(id, requests);
        return;
    }
    m_lending->send(id, requests); // Ignored for a lost connection, whose loss is reported soon.
}

void relay_simulation::send_to_database(relay::connection_id id,
                                        const std::vector<relay::database_request>& requests) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const std::shared_ptr<server_session> session = found->second;
    const bool database_faults = m_options.m_events.m_database_faults;
    for (const relay::database_request& sent : requests) {
        const relay::database_request request = as_received(sent);
        const core::time_point arrives = m_now + core::milliseconds(1 + random_below(3));
        const core::time_point starts = std::max(arrives, session->m_free_at);
        core::duration run_time = core::milliseconds(
            request.m_id.empty() ? 0 : 1 + random_below(static_cast<std::uint64_t>(m_options.m_max_run_ms)));
        if (database_faults && random_below(200) == 0) {
            run_time += core::milliseconds(random_below(3000));
        }
        session->m_free_at = starts + run_time;
        schedule(starts + run_time - m_now,
                 [this, id, session, request] { run_request(id, session, request); });
    }
}

void relay_simulation::run_request(relay::connection_id id, const std::shared_ptr<server_session>& session,
                                   const relay::database_request& request) {
    if (session->m_broken) {
        return; // The connection broke before the request arrived.
    }
    const bool database_faults = m_options.m_events.m_database_faults;
    const relay::database_answer answer = execute(session, request);
    if (database_faults && random_below(150) == 0 && m_connections.contains(id) &&
        m_connections.at(id) == session) {
        break_connection(id, core::milliseconds(random_below(20)));
        return;
    }
    if (session->m_loses_answers || (m_options.m_connection_faults && random_below(400) == 0)) {
        session->m_loses_answers = true; // The request ran and its answer is lost.
        return;
    }
    if (database_faults && random_below(200) == 0) {
        return; // Later answers arrive.
    }
    const std::function<void()> answered = [this, id, session, answer] {
        const auto found = m_connections.find(id);
        if (session->m_broken || found == m_connections.end() || found->second != session) {
            return;
        }
        if (lending_simulation::is_lender_connection(id)) {
            m_lending->on_connection_answered(id, answer);
        } else {
            m_core->on_answer_received(id, answer, m_now);
        }
    };
    schedule(core::milliseconds(1),
             lending_simulation::is_lender_connection(id) ? answered : on_host(answered));
}

} // namespace mangoquay::test
