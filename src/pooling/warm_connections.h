// Opens, lends and closes the sessions of an endpoint as connection_pool decides.
//
// Owns the pooled sessions and the queue of users that wait for one. Runs on the event loop's thread.
#pragma once

#include "core/clock.h"
#include "database/connection.h"
#include "dialect/database_dialect.h"
#include "pooling/connection_pool.h"
#include "transport/event_loop.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace mangoquay::pooling {

struct lent_connection {
    connection_number m_number{};
    std::shared_ptr<database::connection> m_connection;

    explicit operator bool() const { return m_connection != nullptr; }
};

// Receives an empty lent_connection if the deadline passes or the pool is disabled before one is free.
using lent_handler = std::function<void(lent_connection)>;

class warm_connections {
public:
    warm_connections(transport::event_loop& loop, std::vector<dialect::connection_parameter> parameters,
                     const pool_policy& policy);
    ~warm_connections();
    warm_connections(const warm_connections&) = delete;
    warm_connections& operator=(const warm_connections&) = delete;
    warm_connections(warm_connections&&) = delete;
    warm_connections& operator=(warm_connections&&) = delete;

    void set_policy(const pool_policy& policy);
    // Connections are opened and lent only while the pool is enabled, which is while the owner lock is held.
    // Disabling closes idle connections and refuses waiting users; lent connections stay open until they are
    // returned.
    void set_enabled(bool enabled);
    // Records that `users` users hold or wait for a connection now.
    void record_demand(std::size_t users);

    // Calls the handler with a connection, or with none at the deadline or if the pool is or becomes
    // disabled. The handler may be called before acquire() returns.
    void acquire(core::deadline by, lent_handler handler);
    void return_connection(const lent_connection& lent);
    // Closes the session on this side. It counts against the limit until on_session_ended().
    void close_and_linger(const lent_connection& lent);
    // The session has also ended at the server.
    void on_session_ended(connection_number number);
    // Whether an open session of this pool has this process id at the server.
    [[nodiscard]] bool has_server_process(int server_process) const;
    [[nodiscard]] std::size_t total() const { return m_pool.total(); }

private:
    struct waiter {
        std::uint64_t m_number = 0;
        lent_handler m_handler;
        transport::timer_id m_timer{};
    };

    void apply_plan();
    void open(connection_number number);
    void serve_waiters();
    void on_waiter_timeout(std::uint64_t number);
    void on_idle_session_ended(connection_number number);
    std::optional<lent_connection> lend();

    transport::event_loop& m_loop;
    std::vector<dialect::connection_parameter> m_parameters;
    pool_policy m_policy;
    connection_pool m_pool;
    bool m_enabled = false;
    std::size_t m_users = 0; // Demand as last recorded.
    std::uint64_t m_next_waiter = 0;
    std::deque<waiter> m_waiters;
    std::map<connection_number, std::shared_ptr<database::connection>> m_sessions;
    std::optional<transport::timer_id> m_plan_timer;
};

} // namespace mangoquay::pooling
