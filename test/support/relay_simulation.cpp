// Databases and connections of the simulation.
#include "support/relay_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

using relay::refusal;
using relay::request_kind;
using relay::session_statement;
using relay::statement_kind;
using relay::transaction_state;

constexpr const char* service = "ledger";
constexpr core::milliseconds max_age{400};
constexpr std::size_t caller_count = 5;
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
        route.m_max_age = max_age;
        route.m_service = core::service_name(service);
        configuration.m_routes.push_back(route);
    }
    configuration.m_services.push_back({core::service_name(service), connections, 0});
    configuration.m_transaction_idle_timeout = core::milliseconds(2000);
    return configuration;
}

std::uint64_t attempt_of(const std::string& id) {
    return std::stoull(id.substr(0, id.find('-')));
}

} // namespace

relay_simulation::relay_simulation(relay_simulation_options options)
    : m_options(options), m_random(options.m_seed), m_operations_left(options.m_operations) {
    relay::relay_limits limits;
    limits.m_zone = core::availability_zone("zone0");
    limits.m_entry_hosts = 4;
    limits.m_executor_fences = !options.m_leased;
    relay::relay_ports& ports = *this;
    m_core = std::make_unique<relay::relay_core>(ports, limits);
    if (options.m_lent_connections) {
        lending_environment environment;
        environment.m_schedule = [this](core::duration delay, std::function<void()> action) {
            schedule(delay, std::move(action));
        };
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
            environment, lending_faults{options.m_connection_faults,
                                        options.m_injected_faults.m_return_with_session_values,
                                        options.m_injected_faults.m_return_in_transaction});
        m_lending->set_core(*m_core);
    }
    for (std::uint32_t index = 0; index < options.m_databases; ++index) {
        database server;
        server.m_report.m_id = core::endpoint_id("db" + std::to_string(index));
        server.m_report.m_service = core::service_name(service);
        server.m_report.m_address = {"10.0.0." + std::to_string(index + 1), 5000};
        server.m_report.m_zone = core::availability_zone("zone" + std::to_string(index % 3));
        server.m_report.m_slots = 4;
        server.m_report.m_sequence = 1;
        server.m_acts_as_primary = index == 0;
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
    m_core->configure(configuration_of(m_options.m_connections), m_now);
    announce_endpoints();
    const std::function<void()> tick = [this, &tick] {
        if (!m_process_ended) {
            m_core->tick(m_now);
        }
        if (m_lending) {
            m_lending->tick();
        }
        replicate();
        schedule(core::milliseconds(10), tick);
    };
    tick();
    const std::function<void()> inject_faults = [this, &inject_faults] {
        inject_random_fault();
        schedule(core::milliseconds(40 + random_below(300)), inject_faults);
    };
    schedule(core::milliseconds(300), inject_faults);
    if (m_options.m_leased) {
        renew_lease();
    }
    if (m_options.m_stop_after) {
        schedule(*m_options.m_stop_after, [this] { begin_stop(); });
    }
    for (std::size_t index = 0; index < caller_count; ++index) {
        schedule(core::milliseconds(100 + random_below(50)), [this] { start_operation(0); });
    }
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
    schedule(stop_step_interval, [this] { stop_step(); });
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
    m_last_commit[position] = server.m_log.empty() ? 0 : server.m_log.back().m_attempt;
    return position;
}

// A log holds a position if it has the same commit at that index. Commits that a promotion discarded are not
// held.
bool relay_simulation::has_position(const database& server, const core::history_position& position) const {
    const std::uint64_t length = position.m_position.value();
    if (length == 0) {
        return true;
    }
    return server.m_log.size() >= length && server.m_log[length - 1].m_attempt == m_last_commit.at(position);
}

void relay_simulation::replicate() {
    for (database& server : m_databases) {
        const database* primary = nullptr; // An old one may go on beside the latest.
        for (const database& other : m_databases) {
            const bool is_latest =
                other.m_acts_as_primary && (primary == nullptr || primary->m_term < other.m_term);
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
        m_core->set_primary_leases(
            {{core::service_name(service), m_databases[*m_assigned_primary].m_report.m_id}},
            core::deadline{end}, m_now);
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
    for (database& server : m_databases) {
        server.m_report.m_is_primary = server.m_acts_as_primary;
        ++server.m_report.m_sequence;
        listed.push_back(server.m_report);
    }
    m_core->on_endpoints_changed(listed, m_now);
    if (m_lending) {
        m_lending->announce_endpoints(listed);
    }
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
    const relay::connection_id connection = picked->first;
    picked->second->m_broken = true;
    m_connections.erase(picked);
    schedule(core::milliseconds(random_below(20)),
             [this, connection] { report_connection_failure(connection); });
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
    schedule(core::milliseconds(12), [this, id, session] {
        if (m_connections.contains(id) && !session->m_loses_answers) {
            const core::history_position position = position_of(m_databases[session->m_database]);
            if (lending_simulation::is_lender_connection(id)) {
                m_lending->on_connection_opened(id, position);
            } else {
                m_core->on_connection_opened(id, position, m_now);
            }
        }
    });
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
    for (const relay::database_request& request : requests) {
        const core::time_point arrives = m_now + core::milliseconds(1 + random_below(3));
        const core::time_point starts = std::max(arrives, session->m_free_at);
        const core::duration run_time = core::milliseconds(
            request.m_id.empty() ? 0 : 1 + random_below(static_cast<std::uint64_t>(m_options.m_max_run_ms)));
        session->m_free_at = starts + run_time;
        schedule(starts + run_time - m_now, [this, id, session, request] {
            if (session->m_broken) {
                return; // The connection broke before the request arrived.
            }
            const relay::database_answer answer = execute(*session, request);
            if (session->m_loses_answers || (m_options.m_connection_faults && random_below(400) == 0)) {
                session->m_loses_answers = true; // The request ran and its answer is lost.
                return;
            }
            schedule(core::milliseconds(1), [this, id, session, answer] {
                if (session->m_broken || !m_connections.contains(id) || m_process_ended) {
                    return;
                }
                if (lending_simulation::is_lender_connection(id)) {
                    m_lending->on_connection_answered(id, answer);
                } else {
                    m_core->on_answer_received(id, answer, m_now);
                }
            });
        });
    }
}

relay::database_answer relay_simulation::execute(server_session& session,
                                                 const relay::database_request& request) {
    database& server = m_databases[session.m_database];
    relay::database_answer answer;
    answer.m_text = "-";
    const auto completed_answer = [&] {
        answer.m_state = session.m_failed           ? transaction_state::failed
                         : session.m_in_transaction ? transaction_state::open
                                                    : transaction_state::idle;
        answer.m_position = position_of(server);
        return answer;
    };
    const bool checks_position = request.m_min_position && !m_options.m_injected_faults.m_drop_min_positions;
    if (checks_position && !has_position(server, *request.m_min_position)) {
        answer.m_refusal = refusal::lagging;
        return completed_answer();
    }
    switch (request.m_kind) {
    case request_kind::reset:
        session.m_values.clear();
        session.m_prepared.clear();
        return completed_answer();
    case request_kind::set_value:
        if (!m_options.m_injected_faults.m_drop_session_values) {
            session.m_values[request.m_name] = request.m_argument;
        }
        return completed_answer();
    case request_kind::prepare:
        session.m_prepared[request.m_name] = request.m_argument;
        return completed_answer();
    case request_kind::begin:
    case request_kind::begin_read_only:
        session.m_in_primary_transaction = request.m_kind == request_kind::begin;
        if (session.m_in_primary_transaction && !server.m_acts_as_primary &&
            !m_options.m_injected_faults.m_skip_primary_check) {
            answer.m_refusal = refusal::read_only;
            return completed_answer();
        }
        session.m_in_transaction = true;
        session.m_failed = false;
        session.m_transaction_term = server.m_term;
        session.m_attempt = 0;
        session.m_writes.clear();
        return completed_answer();
    case request_kind::rollback:
        session.m_in_transaction = false;
        session.m_failed = false;
        session.m_writes.clear();
        return completed_answer();
    default:
        answer = execute_statement(session, request, request.m_argument, answer);
        return completed_answer();
    }
}

void relay_simulation::check_session_state(const server_session& session, std::uint64_t attempt) {
    const auto owner = m_callers.find(m_session_of.at(attempt));
    if (owner == m_callers.end() || owner->second.m_attempt != attempt) {
        return; // Its caller has started another operation.
    }
    if (owner->second.m_transaction && !session.m_in_transaction) {
        record_violation("a statement ran outside its transaction");
    }
    if (session.m_in_transaction && session.m_attempt != 0 && session.m_attempt != attempt) {
        record_violation("a statement ran inside another caller's transaction");
    }
    if (session.m_values != owner->second.m_values) {
        record_violation("a statement ran with other session values");
    }
}

// Called when the session's database runs a read of the attempt: its log must hold every commit that the
// caller must see.
void relay_simulation::check_read_result(const server_session& session, std::uint64_t attempt) {
    const database& server = m_databases[session.m_database];
    const auto owner = m_callers.find(m_session_of.at(attempt));
    if (owner == m_callers.end() || owner->second.m_attempt != attempt) {
        return;
    }
    for (const acknowledged_commit& acknowledgement : m_acknowledged) {
        const bool own_commit = acknowledgement.m_session == owner->first;
        const bool must_include =
            owner->second.m_route == 0 ? acknowledgement.m_at < owner->second.m_started
            : acknowledgement.m_at + max_age < owner->second.m_started
                ? true
                : owner->second.m_route == 2 && own_commit && acknowledgement.m_at < owner->second.m_started;
        const bool held = std::ranges::any_of(
            server.m_log, [&](const commit& entry) { return entry.m_attempt == acknowledgement.m_attempt; });
        if (must_include && !held && !m_rolled_back.contains(acknowledgement.m_attempt)) {
            record_violation("a read lacks an acknowledged commit route=" +
                             std::to_string(owner->second.m_route));
        }
    }
}

relay::database_answer relay_simulation::execute_statement(server_session& session,
                                                           const relay::database_request& request,
                                                           const std::string& text,
                                                           relay::database_answer base) {
    database& server = m_databases[session.m_database];
    const std::uint64_t attempt = attempt_of(request.m_id);
    const bool executes = request.m_kind == request_kind::execute;
    const bool writes = executes ? request.m_name.starts_with("w_") : text.starts_with("WRITE");
    const bool commits = text == "COMMIT" && !executes;
    const auto refuse = [&](refusal reason) {
        base.m_refusal = reason;
        session.m_failed = session.m_in_transaction;
        return base;
    };
    if (executes && !session.m_prepared.contains(request.m_name)) {
        record_violation("a prepared statement does not exist on its connection");
    }
    check_session_state(session, attempt);
    if (random_below(60) == 0) {
        base.m_refusal = refusal::busy;
        return base;
    }
    const bool lost_primary_role =
        session.m_in_transaction && session.m_in_primary_transaction &&
        (!server.m_acts_as_primary || server.m_term != session.m_transaction_term) &&
        !m_options.m_injected_faults.m_skip_primary_check;
    if ((lost_primary_role && !(commits && session.m_writes.empty())) ||
        (writes && !server.m_acts_as_primary)) {
        return refuse(refusal::read_only);
    }
    session.m_attempt = attempt;
    base.m_text = "signature of " + request.m_id;
    if (commits) {
        session.m_in_transaction = false;
        if (!session.m_writes.empty()) {
            server.m_log.push_back({attempt, server.m_term});
        }
    } else if (writes && session.m_in_transaction) {
        session.m_writes.push_back(attempt);
        return base;
    } else if (writes) {
        server.m_log.push_back({attempt, server.m_term});
    } else {
        check_read_result(session, attempt);
        return base;
    }
    if (!commits || !session.m_writes.empty()) {
        if (++m_committed[attempt] > 1) {
            record_violation("a write took effect twice");
        }
        session.m_writes.clear();
    }
    return base;
}

} // namespace mangoquay::test
