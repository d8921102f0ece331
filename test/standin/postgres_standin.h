// The PostgreSQL stand-in: all databases of some groups in one process, each on its own port.
//
// Owns: an event loop on a thread of its own, the databases, their listeners and sessions. The public members
// may be called from any thread but the loop's; they run on the loop and wait for it.
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

// A moment's view of one database.
struct endpoint_report {
    endpoint_layout m_layout; // with the port in use
    bool m_primary = false;
    std::uint32_t m_term = 1;
    std::uint64_t m_applied = 0;
    std::uint64_t m_durable = 0;
    std::size_t m_rows = 0;
    std::size_t m_open_connections = 0;
    bool m_streaming = false;
    std::string m_follows; // id of the upstream; empty: none
    fault_state m_faults;
    usage m_usage;
};

// The primary_conninfo with which `replica` follows `upstream`.
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

    // Opens the listeners and starts the thread. Fails with the reason of the operating system.
    core::result<bool> start();

    [[nodiscard]] std::vector<endpoint_report> report();
    // crash, restart, freeze, thaw, cut, heal, lag, rewind, drop_next_answer, truncate_next_answer,
    // stragglers, reset_usage (see faults.cpp). Fails with a reason for the caller.
    core::result<bool> apply_action(const std::string& endpoint, const std::string& action,
                                    const action_parameters& parameters = {});

private:
    friend struct fault_actions;
    struct database_server {
        explicit database_server(endpoint_layout endpoint) : m_database(std::move(endpoint)) {}
        database m_database;
        int m_listener = -1;
    };

    template <class Result>
    Result on_loop(std::function<Result()> operation);
    core::result<bool> listen(database_server& endpoint);
    void accept(database_server& endpoint);
    void close_sessions(const database& of);
    // After a change of what holds sessions back.
    void update_session_watches(const database& of);
    void resume_sessions(const database& of);
    void replicate();
    [[nodiscard]] const database* upstream_of(const database& replica) const;
    [[nodiscard]] std::vector<const database*> streaming_from(const database& primary) const;
    [[nodiscard]] endpoint_report report_of(const database_server& endpoint) const;

    layout m_configuration;
    transport::event_loop m_loop;
    session_environment m_environment;
    std::map<std::string, std::unique_ptr<database_server>> m_endpoints;
    // Connection strings already resolved; addresses do not change after start().
    mutable std::unordered_map<std::string, const database*> m_upstreams;
    std::map<std::int32_t, std::shared_ptr<session>> m_sessions;
    std::int32_t m_next_pid = 1000;
    std::optional<transport::timer_id> m_replication_timer;
    std::thread m_thread;
};

} // namespace mangoquay::standin
