// Simulates one database with slots and a queue, and hosts with one relay core each.
#include "support/load_replay.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

using relay::request_kind;
using relay::statement_kind;
using relay::transaction_state;

const core::service_name service_id("ledger");
constexpr core::milliseconds tick{10};
constexpr core::milliseconds network_delay{1};
constexpr core::milliseconds connection_open_time{12};

class load_simulation;

class replay_host final : public relay::relay_ports {
public:
    replay_host(load_simulation& simulation, std::size_t index, const relay::scheduling_rules& rules,
                std::uint32_t hosts);

    void send_answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id) override {}
    void open_connection(relay::connection_id id, const registry::endpoint_report&) override;
    void send_requests(relay::connection_id id,
                       const std::vector<relay::database_request>& requests) override;
    void close_connection(relay::connection_id id) override;
    // Not used: each host keeps its own connections to the only database.
    void borrow_connection(relay::connection_id, const core::endpoint_id&, const lending::loan_terms&,
                           const std::vector<relay::database_request>&) override {}
    void return_connection(relay::connection_id, const lending::returned_state&) override {}
    void record_event(const relay::statement_event&) override {}
    [[nodiscard]] bool can_encode(const relay::database_request& /*request*/) const override { return true; }
    void count_statement(const relay::answered_statement&) override {}

    struct operation {
        std::size_t m_kind = 0;
        core::time_point m_started{};
        std::vector<statement_kind> m_script;
        std::size_t m_next = 0;
    };

    load_simulation& m_simulation;
    std::size_t m_index;
    std::unique_ptr<relay::relay_core> m_core;
    std::map<relay::connection_id, bool> m_connections; // Whether the connection has an open transaction.
    std::map<relay::session_id, operation> m_operations;
};

class load_simulation {
public:
    load_simulation(const load_pattern& pattern, const relay::scheduling_rules& rules);

    std::map<std::string, int> run();
    void schedule(core::duration delay, std::function<void()> action) {
        m_events.emplace(std::pair{m_now + delay, ++m_event_number}, std::move(action));
    }
    void start_operation(std::size_t kind);
    void send_next_statement(replay_host& host, relay::session_id session) const;
    void on_operation_ended(replay_host& host, relay::session_id session, bool served);
    // Occupies a slot for `service_time` as soon as one is free, in the order of arrival, then calls `done`.
    void run_in_slot(core::duration service_time, std::function<void()> done);
    void free_slot();

    load_pattern m_pattern;
    core::time_point m_now{std::chrono::hours(1)};
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_event_number = 0;
    std::vector<std::unique_ptr<replay_host>> m_hosts;
    std::uint32_t m_busy_slots = 0;
    std::uint32_t m_open_connections = 0;
    std::deque<std::pair<core::duration, std::function<void()>>> m_queue;
    std::uint64_t m_last_session = 0;
    std::uint64_t m_arrivals = 0;
    std::map<std::string, int> m_served;
};

documents::configuration configuration_of(const load_pattern& pattern) {
    documents::configuration configuration;
    configuration.m_version = documents::document_version(1);
    for (const load_kind& kind : pattern.m_kinds) {
        documents::route_rule route;
        route.m_database = kind.m_name;
        route.m_statement_timeout = core::milliseconds(1000);
        route.m_target_latency = kind.m_latency_target;
        route.m_priority = kind.m_priority;
        route.m_service = service_id;
        configuration.m_routes.push_back(route);
    }
    configuration.m_services.push_back({service_id, pattern.m_connections, 0});
    return configuration;
}

replay_host::replay_host(load_simulation& simulation, std::size_t index, const relay::scheduling_rules& rules,
                         std::uint32_t hosts)
    : m_simulation(simulation), m_index(index) {
    relay::relay_limits limits;
    limits.m_entry_hosts = hosts;
    limits.m_rules = rules;
    relay::relay_ports& ports = *this;
    m_core = std::make_unique<relay::relay_core>(ports, limits);
}

void replay_host::open_connection(relay::connection_id id, const registry::endpoint_report&) {
    const bool full = m_simulation.m_open_connections >= m_simulation.m_pattern.m_connections;
    m_simulation.schedule(connection_open_time, [this, id, full] {
        if (full) {
            m_core->on_connection_failed(id, relay::refusal::too_many_connections, m_simulation.m_now);
        } else if (m_connections.contains(id)) {
            m_core->on_connection_opened(id, std::nullopt, m_simulation.m_now);
        }
    });
    if (!full) {
        ++m_simulation.m_open_connections;
        m_connections[id] = false;
    }
}

void replay_host::close_connection(relay::connection_id id) {
    m_simulation.m_open_connections -= m_connections.erase(id) > 0 ? 1 : 0;
}

void replay_host::send_requests(relay::connection_id id,
                                const std::vector<relay::database_request>& requests) {
    for (const relay::database_request& request : requests) {
        const auto deliver_answer = [this, id, request] {
            if (!m_connections.contains(id)) {
                return;
            }
            bool& open = m_connections[id];
            open = request.m_kind == request_kind::begin ||
                   (open && request.m_kind != request_kind::rollback && request.m_argument != "COMMIT");
            relay::database_answer answer;
            answer.m_text = "signature";
            answer.m_state = open ? transaction_state::open : transaction_state::idle;
            answer.m_position = core::history_position{core::term(1), core::log_position(1)};
            m_core->on_answer_received(id, answer, m_simulation.m_now);
        };
        if (request.m_id.empty()) {
            m_simulation.schedule(2 * network_delay, deliver_answer);
            continue;
        }
        const std::size_t kind = std::stoul(request.m_id);
        m_simulation.schedule(network_delay, [this, kind, deliver_answer] {
            m_simulation.run_in_slot(
                m_simulation.m_pattern.m_kinds.at(kind).m_service_time,
                [this, deliver_answer] { m_simulation.schedule(network_delay, deliver_answer); });
        });
    }
}

void replay_host::send_answer(relay::session_id session, const relay::session_answer& answer) {
    operation& current = m_operations.at(session);
    if (answer.m_refusal) {
        m_simulation.schedule(core::milliseconds(0),
                              [this, session] { m_simulation.on_operation_ended(*this, session, false); });
        return;
    }
    const load_kind& kind = m_simulation.m_pattern.m_kinds.at(current.m_kind);
    const bool pauses =
        current.m_script[current.m_next] == statement_kind::read && current.m_script.size() > 1;
    if (++current.m_next == current.m_script.size()) {
        const core::duration pauses_taken = kind.m_think_time * (current.m_script.size() > 1 ? 2 : 0);
        const bool in_time = m_simulation.m_now - current.m_started - pauses_taken <= kind.m_latency_target;
        m_simulation.schedule(core::milliseconds(0), [this, session, in_time] {
            m_simulation.on_operation_ended(*this, session, in_time);
        });
        return;
    }
    m_simulation.schedule(pauses ? kind.m_think_time : core::milliseconds(1),
                          [this, session] { m_simulation.send_next_statement(*this, session); });
}

load_simulation::load_simulation(const load_pattern& pattern, const relay::scheduling_rules& rules)
    : m_pattern(pattern) {
    registry::endpoint_report primary;
    primary.m_id = core::endpoint_id("primary");
    primary.m_service = service_id;
    primary.m_slots = pattern.m_slots;
    primary.m_is_primary = true;
    for (std::size_t index = 0; index < pattern.m_hosts; ++index) {
        m_hosts.push_back(
            std::make_unique<replay_host>(*this, index, rules, static_cast<std::uint32_t>(pattern.m_hosts)));
        m_hosts.back()->m_core->configure(configuration_of(pattern), m_now);
        m_hosts.back()->m_core->on_endpoints_changed({primary}, m_now);
    }
}

std::map<std::string, int> load_simulation::run() {
    const core::time_point end = m_now + m_pattern.m_duration;
    const std::function<void()> tick_all = [&] {
        for (const auto& host : m_hosts) {
            host->m_core->tick(m_now);
        }
        schedule(tick, tick_all);
    };
    tick_all();
    for (std::size_t kind = 0; kind < m_pattern.m_kinds.size(); ++kind) {
        const double gap_ms = 1000.0 / m_pattern.m_kinds[kind].m_arrivals_per_second;
        for (double when = 200.0 + static_cast<double>(kind);
             when < static_cast<double>(m_pattern.m_duration.count()); when += gap_ms) {
            schedule(core::milliseconds(static_cast<std::int64_t>(when)),
                     [this, kind] { start_operation(kind); });
        }
    }
    while (m_now < end) {
        const auto next_event = m_events.begin();
        m_now = next_event->first.first;
        const auto action = std::move(next_event->second);
        m_events.erase(next_event);
        action();
    }
    return m_served;
}

void load_simulation::start_operation(std::size_t kind) {
    const std::size_t shares = m_hosts.size() - 1 + m_pattern.m_first_host_weight;
    // The factor, a prime, spreads consecutive arrivals over the hosts.
    const std::size_t share = ++m_arrivals * 7919 % shares;
    replay_host& host = *m_hosts[share < m_hosts.size() ? share : 0];
    const relay::session_id session(++m_last_session);
    host.m_core->on_session_opened(session, m_pattern.m_kinds[kind].m_name);
    replay_host::operation started;
    started.m_kind = kind;
    started.m_started = m_now;
    const bool transaction = m_pattern.m_kinds[kind].m_think_time.count() > 0;
    started.m_script = transaction ? std::vector{statement_kind::begin, statement_kind::read,
                                                 statement_kind::read, statement_kind::commit}
                                   : std::vector{statement_kind::read};
    host.m_operations[session] = started;
    send_next_statement(host, session);
}

void load_simulation::send_next_statement(replay_host& host, relay::session_id session) const {
    const auto found = host.m_operations.find(session);
    if (found == host.m_operations.end()) {
        return;
    }
    relay::session_statement statement;
    statement.m_kind = found->second.m_script[found->second.m_next];
    statement.m_id = std::to_string(found->second.m_kind);
    statement.m_text = statement.m_kind == statement_kind::commit ? "COMMIT" : "READ item";
    host.m_core->on_statement_received(session, statement, m_now);
}

void load_simulation::on_operation_ended(replay_host& host, relay::session_id session, bool served) {
    const auto found = host.m_operations.find(session);
    m_served[m_pattern.m_kinds.at(found->second.m_kind).m_name] += served ? 1 : 0;
    host.m_operations.erase(found);
    host.m_core->on_session_closed(session, m_now);
}

void load_simulation::run_in_slot(core::duration service_time, std::function<void()> done) {
    if (m_busy_slots >= m_pattern.m_slots) {
        m_queue.emplace_back(service_time, std::move(done));
        return;
    }
    ++m_busy_slots;
    schedule(service_time, [this, done = std::move(done)] {
        done();
        free_slot();
    });
}

void load_simulation::free_slot() {
    --m_busy_slots;
    if (!m_queue.empty()) {
        auto [service_time, done] = std::move(m_queue.front());
        m_queue.pop_front();
        run_in_slot(service_time, std::move(done));
    }
}

} // namespace

std::map<std::string, int> replay_load(const load_pattern& pattern, const relay::scheduling_rules& rules) {
    return load_simulation(pattern, rules).run();
}

} // namespace mangoquay::test
