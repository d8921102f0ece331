// The PostgreSQL stand-in: simulates all databases of some groups in one process, each on its own port.
//
// Owns an event loop with its thread, the databases, their listeners and their sessions. The public members
// may be called from any thread except the loop's: they run on the loop and wait for the result.
#pragma once

#include "core/result.h"
#include "database.h"
#include "layout.h"
#include "session.h"
#include "transport/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace mangoquay::standin {

// Snapshot of the state of one database.
struct endpoint_report {
    endpoint_layout m_layout; // With the port that is in use.
    bool m_primary = false;
    std::uint32_t m_term = 1;
    std::uint64_t m_applied = 0;
    std::uint64_t m_durable = 0;
    std::size_t m_rows = 0;
    std::size_t m_open_connections = 0;
    bool m_streaming = false;
    std::string m_follows; // Id of the upstream database; empty: none.
    fault_state m_faults;
    usage m_usage;
};

// Returns the primary_conninfo with which the database named `replica` follows `upstream`.
std::string conninfo_for(const endpoint_layout& upstream, const std::string& replica);

using action_parameters = std::map<std::string, std::string>;

class postgres_standin {
public:
    explicit postgres_standin(layout configuration);
    ~postgres_standin();
    postgres_standin(const postgres_standin&) = delete;
    postgres_standin& operator=(const postgres_standin&) = delete;
    postgres_standin(postgres_standin&&) = delete;
    postgres_standin& operator=(postgres_standin&&) = delete;

    // Opens the listeners and starts the thread. Fails with the error text of the operating system.
    core::result<bool> start();

    // Returns a snapshot of every database, ordered by id.
    [[nodiscard]] std::vector<endpoint_report> endpoint_reports();
    // Applies an action to the database with the id `endpoint`: crash, restart, freeze, thaw, cut, heal, lag,
    // rewind, drop_next_answer, truncate_next_answer, stragglers or reset_usage (see faults.cpp). Fails with
    // a reason if the endpoint or the action is unknown, or if the action is not possible now.
    core::result<bool> apply_action(const std::string& endpoint, const std::string& action,
                                    const action_parameters& parameters = {});

private:
    friend struct fault_actions;
    struct database_server {
        explicit database_server(endpoint_layout endpoint) : m_database(std::move(endpoint)) {}
        database m_database;
        int m_listener = -1;
    };

    // Runs `operation` on the event loop and returns its result.
    template <class Result>
    Result on_loop(std::function<Result()> operation);
    core::result<bool> listen(database_server& endpoint);
    void accept(database_server& endpoint);
    void close_sessions(const database& served);
    // Applies a change of the freeze and cut state to the sessions' socket events.
    void update_session_watches(const database& served);
    void resume_sessions(const database& served);
    void replicate();
    [[nodiscard]] const database* upstream_of(const database& replica) const;
    [[nodiscard]] std::vector<const database*> streaming_from(const database& primary) const;
    [[nodiscard]] endpoint_report report_of(const database_server& endpoint) const;

    layout m_configuration;
    transport::event_loop m_loop;
    session_environment m_environment;
    std::map<std::string, std::unique_ptr<database_server>> m_endpoints;
    // Cache of resolved connection strings. Valid, because addresses do not change after start().
    mutable std::unordered_map<std::string, const database*> m_upstreams;
    std::map<std::int32_t, std::shared_ptr<session>> m_sessions;
    std::int32_t m_next_pid = 1000;
    std::optional<transport::timer_id> m_replication_timer;
    std::thread m_thread;
};

} // namespace mangoquay::standin
