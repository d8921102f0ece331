// Decides how many connections to an endpoint are open, and which one is lent.
//
// Owns the state of each connection, identified by its number; warm_connections holds the sessions.
// Deterministic. The owner of the pool calls plan() after each event and at next_event(), opens and closes
// connections as planned, and reports the outcome.
//
// Invariants: connections that are open, being opened or lingering never exceed the limit; a connection is
// lent to at most one user; a connection whose session has ended is never lent again.
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
    std::size_t m_limit = 1;           // Maximum number of connections, without the monitoring connection.
    std::size_t m_min_connections = 1; // Number of connections kept open without demand.
    core::duration m_connect_time = core::milliseconds(12);
    // An idle connection above the target is closed after this time.
    core::duration m_idle_time = core::milliseconds(10000);
};

// All rules are enabled in production. Tests disable one to prove that their check detects the violation.
struct pool_rules {
    bool m_enforce_limit = true;
    bool m_remove_ended = true;
    bool m_forecast = true;
};

// Connections to open and to close now.
struct pool_plan {
    std::vector<connection_number> m_open;
    std::vector<connection_number> m_close;
};

class connection_pool {
public:
    explicit connection_pool(const pool_policy& policy, const pool_rules& rules = {});

    void set_policy(const pool_policy& policy) { m_policy = policy; }
    // Records that `users` users hold or wait for a connection at `now`.
    void record_demand(std::size_t users, core::time_point now);
    // Returns the connections to open and to close. The pool already counts them as opening or closed.
    pool_plan plan(core::time_point now);

    void on_opened(connection_number number, core::time_point now);
    // Further attempts are delayed with exponential back-off.
    void on_open_failed(connection_number number, core::time_point now);
    // Lends the idle connection that was returned last, or nothing if none is idle.
    std::optional<connection_number> lend();
    void return_connection(connection_number number, core::time_point now);
    // The session was closed on this side, but the server may still run its statement: the connection counts
    // against the limit until on_session_ended().
    void close_and_linger(connection_number number);
    // The session has also ended at the server.
    void on_session_ended(connection_number number);

    // Number of connections that should be open.
    [[nodiscard]] std::size_t target() const;
    [[nodiscard]] std::size_t total() const { return m_connections.size(); }
    [[nodiscard]] std::size_t lent() const { return count(state::lent); }
    [[nodiscard]] std::size_t idle() const { return m_idle.size(); }
    // The next time at which plan() must be called even if no event occurs.
    [[nodiscard]] std::optional<core::time_point> next_event(core::time_point now) const;

private:
    enum class state : std::uint8_t { opening, idle, lent, lingering };
    struct entry {
        state m_state = state::opening;
        core::time_point m_idle_since{};
    };

    [[nodiscard]] std::size_t count(state requested) const;
    void close_surplus(core::time_point now, pool_plan& plan);

    pool_policy m_policy;
    pool_rules m_rules;
    std::uint64_t m_next_number = 1;
    std::map<connection_number, entry> m_connections;
    std::vector<connection_number> m_idle; // In the order of their return; the last one is lent first.
    // Decaying recent peak of the demand, current demand (both in users) and its smoothed rise.
    double m_peak = 0;
    double m_demand = 0;
    double m_rise_per_second = 0;
    core::time_point m_demand_time{};
    std::uint32_t m_failures = 0;
    core::time_point m_open_not_before{};
};

} // namespace mangoquay::pooling
