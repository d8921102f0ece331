// The monitoring connection of an owned endpoint: takes over the endpoint, holds the owner lock, and polls
// the status, the positions of replicas and the sessions that must end.
//
// Owns the monitoring session. At most one query is in flight, and its answer serves all who wait for it.
// After the session is lost, the endpoint is taken over again, with increasing delays. Runs on the event
// loop's thread.
//
// Order of a takeover: connect, terminate the sessions of earlier owners until none is left, take the lock,
// read the status, and only then call on_taken_over().
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "database/connection.h"
#include "dialect/database_dialect.h"
#include "replication/quorum_tracker.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mangoquay::ownership {

class monitor_listener {
public:
    monitor_listener() = default;
    virtual ~monitor_listener() = default;
    monitor_listener(const monitor_listener&) = delete;
    monitor_listener& operator=(const monitor_listener&) = delete;
    monitor_listener(monitor_listener&&) = delete;
    monitor_listener& operator=(monitor_listener&&) = delete;

    [[nodiscard]] virtual bool may_end_earlier_owners() const = 0;
    // True if a status is needed before the next regular poll.
    [[nodiscard]] virtual bool status_requested() const = 0;
    [[nodiscard]] virtual bool replica_positions_requested() const = 0;
    // True if an open pooled session has this server process id. An earlier session with the same id must
    // then have ended.
    [[nodiscard]] virtual bool process_in_use(int server_process) const = 0;
    virtual void on_taken_over() = 0;
    virtual void on_monitor_session_lost(const std::string& reason) = 0;
    virtual void on_status(const dialect::endpoint_status& status, core::time_point queried_at) = 0;
    // Returns true if the report decided the outcome of a waiting write.
    virtual bool on_replica_report(const replication::replica_report& replicas,
                                   core::time_point queried_at) = 0;
};

class monitor {
public:
    monitor(transport::event_loop& loop, monitor_listener& listener,
            const dialect::database_dialect& strategy, std::vector<dialect::connection_parameter> parameters,
            core::owner_epoch epoch, std::string name, std::uint64_t seed);
    ~monitor();
    monitor(const monitor&) = delete;
    monitor& operator=(const monitor&) = delete;
    monitor(monitor&&) = delete;
    monitor& operator=(monitor&&) = delete;

    void start();
    // Sends the next query that is due, unless one is in flight.
    void poll_if_idle();
    // Terminates a session at the server. `ended` is called once the session is known to have ended, without
    // a time limit.
    void end_session(int server_process, std::function<void()> ended);
    // Closes the session, which releases the lock. The listener and the handlers are not called afterwards.
    void stop();

    [[nodiscard]] bool reachable() const { return m_reachable; }
    [[nodiscard]] bool lock_held() const { return m_phase == phase::polling; }

private:
    enum class phase : std::uint8_t { closed, connecting, taking_over, polling, stopped };
    using step = void (monitor::*)(const database::database_answer&);

    void connect();
    void send(const char* sql, const std::vector<core::cell>& parameters, step next);
    void on_session_lost(const std::string& reason);
    void schedule_step_retry(void (monitor::*again)());
    void end_earlier_owners();
    void on_earlier_owners_ended(const database::database_answer& answer);
    void on_lock_answer(const database::database_answer& answer);
    void query_status();
    void on_status_answer(const database::database_answer& answer);
    void on_replicas_answer(const database::database_answer& answer);
    void on_session_answer(const database::database_answer& answer);
    void on_late_sessions_ended(const database::database_answer& answer);
    void poll_next();
    bool poll_session(core::time_point now);
    void set_timer(core::time_point when, void (monitor::*action)());
    [[nodiscard]] core::duration jittered(core::duration delay);

    transport::event_loop& m_loop;
    monitor_listener& m_listener;
    const dialect::database_dialect& m_strategy;
    std::vector<dialect::connection_parameter> m_parameters;
    core::owner_epoch m_epoch;
    std::string m_name; // Name of the endpoint in log lines.
    std::mt19937_64 m_random;
    std::shared_ptr<database::connection> m_session;
    phase m_phase = phase::closed;
    bool m_reachable = false;
    bool m_in_flight = false;
    std::uint32_t m_failure_count = 0;
    std::optional<transport::timer_id> m_timer;
    core::time_point m_queried_at{};
    core::time_point m_status_due{};
    core::time_point m_replicas_due{};
    core::time_point m_sessions_due{};
    core::time_point m_earlier_owners_due{};
    core::duration m_replica_poll_interval{};
    core::term m_term; // Term of a primary as of the last status. 0 for a replica.
    // Handlers of end_session(), by process id.
    std::map<int, std::vector<std::function<void()>>> m_ending_sessions;
    int m_queried_process = 0;
};

} // namespace mangoquay::ownership
