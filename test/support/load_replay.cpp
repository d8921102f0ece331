// One database with slots and a queue, hosts with a relay core each.
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
constexpr core::milliseconds one_way{1};
constexpr core::milliseconds connect_time{12};

class replay;

class replay_host final : public relay::relay_ports {
public:
    replay_host(replay& world, std::size_t number, const relay::relay_rules& rules, std::uint32_t hosts);

    void answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id) override {}
    void open_link(relay::link_id link, const registry::endpoint_report&) override;
    void send(relay::link_id link, const std::vector<relay::database_request>& requests) override;
    void close_link(relay::link_id link) override;
    // One database at which each host keeps its own links.
    void borrow_link(relay::link_id, const core::endpoint_id&, const lending::loan_terms&,
                     const std::vector<relay::database_request>&) override {}
    void give_back(relay::link_id, const lending::returned_state&) override {}
    void record(const relay::relay_event&) override {}
    void count(const relay::answered_statement&) override {}

    struct operation {
        std::size_t m_kind = 0;
        core::time_point m_started{};
        std::vector<statement_kind> m_script;
        std::size_t m_next = 0;
    };

    replay& m_world;
    std::size_t m_number;
    std::unique_ptr<relay::relay_core> m_core;
    std::map<relay::link_id, bool> m_links; // in a transaction
    std::map<relay::session_id, operation> m_operations;
};

class replay {
public:
    replay(const load_pattern& pattern, const relay::relay_rules& rules);

    std::map<std::string, int> run();
    void at(core::duration delay, std::function<void()> work) {
        m_events.emplace(std::pair{m_now + delay, ++m_event_number}, std::move(work));
    }
    void start(std::size_t kind);
    void next(replay_host& host, relay::session_id session) const;
    void ended(replay_host& host, relay::session_id session, bool served);
    // Runs the work as soon as a slot is free, in the order of arrival.
    void occupy(core::duration work, std::function<void()> done);
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
    documents::configuration chosen;
    chosen.m_version = documents::document_version(1);
    for (const load_kind& kind : pattern.m_kinds) {
        documents::route_rule route;
        route.m_database = kind.m_name;
        route.m_statement_limit = core::milliseconds(1000);
        route.m_target_latency = kind.m_target;
        route.m_priority = kind.m_priority;
        route.m_service = service_id;
        chosen.m_routes.push_back(route);
    }
    chosen.m_services.push_back({service_id, pattern.m_connections, 0});
    return chosen;
}

replay_host::replay_host(replay& world, std::size_t number, const relay::relay_rules& rules,
                         std::uint32_t hosts)
    : m_world(world), m_number(number) {
    relay::relay_limits limits;
    limits.m_entry_hosts = hosts;
    limits.m_rules = rules;
    relay::relay_ports& ports = *this;
    m_core = std::make_unique<relay::relay_core>(ports, limits);
}

void replay_host::open_link(relay::link_id link, const registry::endpoint_report&) {
    const bool full = m_world.m_open_connections >= m_world.m_pattern.m_connections;
    m_world.at(connect_time, [this, link, full] {
        if (full) {
            m_core->link_failed(link, relay::refusal::too_many_connections, m_world.m_now);
        } else if (m_links.contains(link)) {
            m_core->link_opened(link, std::nullopt, m_world.m_now);
        }
    });
    if (!full) {
        ++m_world.m_open_connections;
        m_links[link] = false;
    }
}

void replay_host::close_link(relay::link_id link) {
    m_world.m_open_connections -= m_links.erase(link) > 0 ? 1 : 0;
}

void replay_host::send(relay::link_id link, const std::vector<relay::database_request>& requests) {
    for (const relay::database_request& request : requests) {
        const auto reply = [this, link, request] {
            if (!m_links.contains(link)) {
                return;
            }
            bool& open = m_links[link];
            open = request.m_kind == request_kind::begin ||
                   (open && request.m_kind != request_kind::rollback && request.m_argument != "COMMIT");
            relay::database_answer answer;
            answer.m_text = "signature";
            answer.m_state = open ? transaction_state::open : transaction_state::idle;
            answer.m_position = core::history_position{core::term(1), core::log_position(1)};
            m_core->link_answered(link, answer, m_world.m_now);
        };
        if (request.m_id.empty()) {
            m_world.at(2 * one_way, reply);
            continue;
        }
        const std::size_t kind = std::stoul(request.m_id);
        m_world.at(one_way, [this, kind, reply] {
            m_world.occupy(m_world.m_pattern.m_kinds.at(kind).m_work,
                           [this, reply] { m_world.at(one_way, reply); });
        });
    }
}

void replay_host::answer(relay::session_id session, const relay::session_answer& answer) {
    operation& own = m_operations.at(session);
    if (answer.m_refusal) {
        m_world.at(core::milliseconds(0), [this, session] { m_world.ended(*this, session, false); });
        return;
    }
    const load_kind& kind = m_world.m_pattern.m_kinds.at(own.m_kind);
    const bool pauses = own.m_script[own.m_next] == statement_kind::read && own.m_script.size() > 1;
    if (++own.m_next == own.m_script.size()) {
        const core::duration pauses_taken = kind.m_pause * (own.m_script.size() > 1 ? 2 : 0);
        const bool in_time = m_world.m_now - own.m_started - pauses_taken <= kind.m_target;
        m_world.at(core::milliseconds(0),
                   [this, session, in_time] { m_world.ended(*this, session, in_time); });
        return;
    }
    m_world.at(pauses ? kind.m_pause : core::milliseconds(1),
               [this, session] { m_world.next(*this, session); });
}

replay::replay(const load_pattern& pattern, const relay::relay_rules& rules) : m_pattern(pattern) {
    registry::endpoint_report primary;
    primary.m_id = core::endpoint_id("primary");
    primary.m_service = service_id;
    primary.m_slots = pattern.m_slots;
    primary.m_is_primary = true;
    for (std::size_t number = 0; number < pattern.m_hosts; ++number) {
        m_hosts.push_back(
            std::make_unique<replay_host>(*this, number, rules, static_cast<std::uint32_t>(pattern.m_hosts)));
        m_hosts.back()->m_core->configure(configuration_of(pattern), m_now);
        m_hosts.back()->m_core->endpoints_changed({primary}, m_now);
    }
}

std::map<std::string, int> replay::run() {
    const core::time_point end = m_now + m_pattern.m_length;
    const std::function<void()> tick_all = [&] {
        for (const auto& host : m_hosts) {
            host->m_core->tick(m_now);
        }
        at(tick, tick_all);
    };
    tick_all();
    for (std::size_t kind = 0; kind < m_pattern.m_kinds.size(); ++kind) {
        const double gap_ms = 1000.0 / m_pattern.m_kinds[kind].m_per_second;
        for (double when = 200.0 + static_cast<double>(kind);
             when < static_cast<double>(m_pattern.m_length.count()); when += gap_ms) {
            at(core::milliseconds(static_cast<std::int64_t>(when)), [this, kind] { start(kind); });
        }
    }
    while (m_now < end) {
        const auto next_event = m_events.begin();
        m_now = next_event->first.first;
        const auto work = std::move(next_event->second);
        m_events.erase(next_event);
        work();
    }
    return m_served;
}

void replay::start(std::size_t kind) {
    const std::size_t shares = m_hosts.size() - 1 + m_pattern.m_first_host_weight;
    const std::size_t share =
        ++m_arrivals * 7919 % shares; // spreads the arrivals without a pattern of its own
    replay_host& host = *m_hosts[share < m_hosts.size() ? share : 0];
    const relay::session_id session(++m_last_session);
    host.m_core->session_opened(session, m_pattern.m_kinds[kind].m_name);
    replay_host::operation begun;
    begun.m_kind = kind;
    begun.m_started = m_now;
    const bool transaction = m_pattern.m_kinds[kind].m_pause.count() > 0;
    begun.m_script = transaction ? std::vector{statement_kind::begin, statement_kind::read,
                                               statement_kind::read, statement_kind::commit}
                                 : std::vector{statement_kind::read};
    host.m_operations[session] = begun;
    next(host, session);
}

void replay::next(replay_host& host, relay::session_id session) const {
    const auto found = host.m_operations.find(session);
    if (found == host.m_operations.end()) {
        return;
    }
    relay::session_statement statement;
    statement.m_kind = found->second.m_script[found->second.m_next];
    statement.m_id = std::to_string(found->second.m_kind);
    statement.m_text = statement.m_kind == statement_kind::commit ? "COMMIT" : "READ item";
    host.m_core->statement_received(session, statement, m_now);
}

void replay::ended(replay_host& host, relay::session_id session, bool served) {
    const auto found = host.m_operations.find(session);
    m_served[m_pattern.m_kinds.at(found->second.m_kind).m_name] += served ? 1 : 0;
    host.m_operations.erase(found);
    host.m_core->session_closed(session, m_now);
}

void replay::occupy(core::duration work, std::function<void()> done) {
    if (m_busy_slots >= m_pattern.m_slots) {
        m_queue.emplace_back(work, std::move(done));
        return;
    }
    ++m_busy_slots;
    at(work, [this, done = std::move(done)] {
        done();
        free_slot();
    });
}

void replay::free_slot() {
    --m_busy_slots;
    if (!m_queue.empty()) {
        auto [work, done] = std::move(m_queue.front());
        m_queue.pop_front();
        occupy(work, std::move(done));
    }
}

} // namespace

std::map<std::string, int> replay_load(const load_pattern& pattern, const relay::relay_rules& rules) {
    return replay(pattern, rules).run();
}

} // namespace mangoquay::test
