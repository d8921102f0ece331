// Decides how many connections of an endpoint are open, and which one is lent.
//
// Owns: the state of each connection (number only; the shell holds the sessions). Deterministic. The shell
// calls plan() after each event and at next_event(), opens and closes what it says, and reports the outcome.
//
// Invariants: connections that are open, being opened or lingering never exceed the limit; a connection is
// lent to at most one user; a discarded connection is never lent again.
#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::pooling {

enum class connection_number : std::uint64_t {};

struct pool_policy {
    std::size_t m_limit = 1;           // the monitoring connection is not counted here
    std::size_t m_min_connections = 1; // kept open without any demand
    core::duration m_connect_time = core::milliseconds(12);
    core::duration m_idle_time =
        core::milliseconds(10000); // an idle one above the target is closed after this
};

// All on in the program. A test switches one off to show that its property notices.
struct pool_rules {
    bool m_enforce_limit = true;
    bool m_remove_ended = true;
    bool m_forecast = true;
};

struct pool_plan {
    std::vector<connection_number> m_open;
    std::vector<connection_number> m_close;
};

class connection_pool {
public:
    explicit connection_pool(const pool_policy& policy, const pool_rules& rules = {});

    void set_policy(const pool_policy& policy) { m_policy = policy; }
    // `users` hold or wait for a connection now.
    void record_demand(std::size_t users, core::time_point now);
    pool_plan plan(core::time_point now);

    void on_opened(connection_number number, core::time_point now);
    // Further attempts wait for a growing delay.
    void on_open_failed(connection_number number, core::time_point now);
    std::optional<connection_number> lend();
    void return_connection(connection_number number, core::time_point now);
    // The session is closed here, but the server may still run its statement: it counts until
    // on_session_ended().
    void close_and_linger(connection_number number);
    // The session is gone at the server too.
    void on_session_ended(connection_number number);

    // How many connections the pool wants to have open.
    [[nodiscard]] std::size_t target() const;
    [[nodiscard]] std::size_t total() const { return m_connections.size(); }
    [[nodiscard]] std::size_t lent() const { return count(state::lent); }
    [[nodiscard]] std::size_t idle() const { return m_idle.size(); }
    // The next moment at which plan() may have something to do without an event.
    [[nodiscard]] std::optional<core::time_point> next_event(core::time_point now) const;

private:
    enum class state : std::uint8_t { opening, idle, lent, lingering };
    struct entry {
        state m_state = state::opening;
        core::time_point m_idle_since{};
    };

    [[nodiscard]] std::size_t count(state wanted) const;
    void close_surplus(core::time_point now, pool_plan& plan);

    pool_policy m_policy;
    pool_rules m_rules;
    std::uint64_t m_next_number = 1;
    std::map<connection_number, entry> m_connections;
    std::vector<connection_number> m_idle; // the last one returned is lent first
    // Demand: highest recent level, decaying, and its rise.
    double m_peak = 0;
    double m_demand = 0;
    double m_rise_per_second = 0;
    core::time_point m_demand_time{};
    std::uint32_t m_failures = 0;
    core::time_point m_open_not_before{};
};

} // namespace mangoquay::pooling
