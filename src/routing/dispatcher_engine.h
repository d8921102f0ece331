// Implementation of the statement dispatcher; see statement_dispatcher.h.
//
// A request passes admission, then one or more attempts (route, send, answer), then gets one final answer.
// finish() is the only function that answers a caller. It removes the request first, so that no request is
// answered twice.
#pragma once

#include "metrics/metrics_registry.h"
#include "retries/retry_policy.h"
#include "routing/dispatched_request.h"
#include "routing/position_table.h"
#include "routing/service_groups.h"
#include "routing/statement_dispatcher.h"
#include "transactions/transaction_registry.h"

#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace mangoquay::routing {

// Returns the record of the transaction that a begin request opens at its routed endpoint.
transactions::open_transaction transaction_of(const dispatched_request& request);

class statement_dispatcher::implementation {
public:
    implementation(dispatcher_settings settings, dispatcher_environment environment,
                   const control::control_state& state, const sessions::token_codec& tokens,
                   owner_client& owners, metrics::metrics_registry& metrics);

    void execute(entry_statement statement, entry_callback done);
    void on_owner_connection_lost(const core::entry_host_id& owner);

    position_table m_positions;
    transactions::transaction_registry m_transactions;
    std::unordered_map<std::uint64_t, dispatched_request> m_requests; // By request number.
    std::uint64_t m_dropped_answers = 0;
    bool m_shutting_down = false;

private:
    // Attempts.
    void start_attempt(std::uint64_t number);
    void send(std::uint64_t number, dispatched_request& request);
    void on_answer(std::uint64_t number, owner_answer answer);
    void update_hints(const dispatched_request& request, const owner_answer& answer);
    void conclude_attempt(std::uint64_t number, core::statement_answer answer);
    bool retry_attempt(std::uint64_t number, dispatched_request& request,
                       const core::statement_answer& answer);
    void finish(std::uint64_t number, core::statement_answer answer);
    std::string next_token(dispatched_request& request, const core::statement_answer& answer) const;
    void record_metrics(const dispatched_request& request, const core::statement_answer& answer);

    // Transactions.
    void begin_step(std::uint64_t number, dispatched_request& request);
    void conclude_step(const dispatched_request& request, const core::statement_answer& answer);
    void open_transaction(const dispatched_request& request);
    void send_rollback(const core::transaction_id& id, const transactions::open_transaction& transaction);
    void on_late_answer(const transactions::open_transaction& transaction,
                        const core::transaction_id& begun_id, const owner_answer& answer);
    void expire_transactions();

    // Deadlines.
    void set_due_time(std::uint64_t number, dispatched_request& request, core::time_point when);
    void schedule_timer();
    void on_timer(core::time_point when);
    void on_due(std::uint64_t number);

    dispatcher_settings m_settings;
    dispatcher_environment m_environment;
    const control::control_state& m_state;
    const sessions::token_codec& m_tokens;
    owner_client& m_owners;
    metrics::metrics_registry& m_metrics;
    retries::retry_budget m_budget;
    service_groups m_service_groups;
    std::mt19937_64 m_random;
    std::uint64_t m_next_number = 1;
    // Timers by time and request number. Number 0 stands for the expiry of transactions.
    std::set<std::pair<core::time_point, std::uint64_t>> m_due;
    core::time_point m_scheduled = core::time_point::max();
};

} // namespace mangoquay::routing
