// Executes the steps of the decision cores at endpoints over libpq and reports the result. Makes no
// decisions.
//
// Owns the connections of steps in progress. Each step opens one connection and closes it when it ends.
#pragma once

#include "control/control_state.h"
#include "database/connection.h"
#include "dialect/database_dialect.h"
#include "failover/endpoint_steps.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mangoquay::control_host {

// Returns the Raft term in which this host leads, or nothing if it does not hold the leader lease. Queried
// again immediately before a step changes an endpoint.
using leading_term = std::function<std::optional<std::uint64_t>()>;
using step_handler = std::function<void(const failover::step_answer&)>;

class step_runner {
public:
    step_runner(transport::event_loop& loop, core::entry_host_id self, dialect::connection_settings settings,
                const dialect::database_dialect& strategy, leading_term current_term);
    ~step_runner();
    step_runner(const step_runner&) = delete;
    step_runner& operator=(const step_runner&) = delete;
    step_runner(step_runner&&) = delete;
    step_runner& operator=(step_runner&&) = delete;

    // Executes a step. The handler is called once, never from inside run(). If the endpoint is
    // unknown or the step fails or times out, m_succeeded is false.
    void run(const control::control_state& state, const failover::read_position& step, step_handler done);
    void run(const control::control_state& state, const failover::stop_following& step, step_handler done);
    void run(const control::control_state& state, const failover::promote& step, step_handler done);
    void run(const control::control_state& state, const failover::follow_primary& step, step_handler done);
    // Reports whether a connection to the endpoint can be opened and its status can be read.
    void probe(const control::control_state& state, const core::endpoint_id& endpoint,
               std::function<void(bool)> done);

private:
    struct running_step {
        failover::step_answer m_answer;
        // Raft term under which a step changes the endpoint. Before it acts, its session terminates the
        // sessions of earlier steps. Empty for a step that only reads.
        std::optional<std::uint64_t> m_fencing_term;
        std::deque<std::string> m_pending_sql; // Statements still to be run.
        std::string m_repeat_until_zero; // Query that is repeated until its first cell is 0. May be empty.
        bool m_wait_for_primary = false; // The status is queried until the endpoint has left recovery.
        core::deadline m_deadline;
        std::shared_ptr<database::connection> m_connection;
        step_handler m_handler;
    };

    void start(const control::control_state& state, std::uint64_t attempt, const core::endpoint_id& endpoint,
               running_step step);
    void on_connection_opened(std::uint64_t number);
    void run_next_statement(std::uint64_t number);
    void on_statement_answer(std::uint64_t number, const database::database_answer& answer);
    void repeat_until_zero(std::uint64_t number);
    void read_receivers(std::uint64_t number);
    void read_status(std::uint64_t number);
    void on_status_answer(std::uint64_t number, const database::database_answer& answer);
    void finish(std::uint64_t number, bool ok);
    running_step* find(std::uint64_t number);

    transport::event_loop& m_loop;
    core::entry_host_id m_self;
    dialect::connection_settings m_settings;
    const dialect::database_dialect& m_strategy;
    leading_term m_leading_term;
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, running_step> m_steps;
    // Posted tasks hold a weak reference and do nothing once the runner is destroyed.
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace mangoquay::control_host
