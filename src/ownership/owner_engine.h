// Implementation of endpoint_owner: combines the slot queue, connections, monitor, transactions and quorum.
//
// The read, write and transaction paths (read_path.h, write_path.h, transaction_path.h) run a request on a
// connection and use the members listed for them below. Internal to the ownership folder.
#pragma once

#include "admission/slot_queue.h"
#include "ownership/endpoint_owner.h"
#include "ownership/monitor.h"
#include "ownership/request_context.h"
#include "ownership/unsettled_counter.h"
#include "pooling/warm_connections.h"
#include "replication/data_age_tracker.h"
#include "replication/quorum_tracker.h"
#include "transactions/open_transactions.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::ownership {

// Maps an open transaction to the context of its begin, which holds the connection and the slot.
using transaction_map = std::map<core::transaction_id, request_context_ptr>;

class owner_engine : public monitor_listener {
public:
    owner_engine(transport::event_loop& loop, core::endpoint_id endpoint, control::endpoint_record record,
                 const core::entry_host_id& self, const owner_rights& rights,
                 const connection_settings& settings, const dialect::database_dialect& strategy,
                 std::uint64_t seed);
    ~owner_engine() override;
    owner_engine(const owner_engine&) = delete;
    owner_engine& operator=(const owner_engine&) = delete;
    owner_engine(owner_engine&&) = delete;
    owner_engine& operator=(owner_engine&&) = delete;

    // Public interface. The contracts are in endpoint_owner.h.
    void submit(core::statement_request request, const core::entry_host_id& origin,
                core::deadline position_wait, answer_handler handler);
    void apply_policy(const control::preset_record& policy);
    void set_group(const control::group_record& group);
    void set_record(const control::endpoint_record& record);
    void on_origin_lost(const core::entry_host_id& origin);
    void drain();
    void release(std::function<void()> done);
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::optional<core::history_position> position() const;
    void query_position(position_handler handler);
    void on_primary_position(core::time_point queried_at, const core::history_position& position);
    [[nodiscard]] owner_health health() const;
    [[nodiscard]] std::vector<unsettled_writes> list_unsettled_writes() const { return m_unsettled.list(); }
    [[nodiscard]] owner_statistics statistics() const;

    // Members for the read, write and transaction paths.
    [[nodiscard]] static core::time_point now() { return transport::event_loop::now(); }
    [[nodiscard]] const dialect::database_dialect& strategy() const { return m_strategy; }
    [[nodiscard]] bool is_primary() const { return m_status && !m_status->m_is_replica; }
    [[nodiscard]] core::term term() const { return m_status ? m_status->m_applied.m_term : core::term{}; }
    [[nodiscard]] bool holds_position(const core::history_position& required) const;
    [[nodiscard]] bool may_acknowledge(core::term write_term) const;
    // Reason for which a write or a read must be refused at this time; none if it may continue.
    [[nodiscard]] core::reason write_refusal_reason(const core::statement_request& request) const;
    [[nodiscard]] core::reason read_refusal_reason(const core::statement_request& request) const;
    // True if the read is correct only while this endpoint is the current primary.
    [[nodiscard]] bool requires_current_primary(const core::statement_request& request) const;
    void execute(const request_context_ptr& context, const std::string& sql,
                 const std::vector<core::cell>& parameters, core::deadline deadline,
                 database::statement_handler next);
    // Answers the request. Ignored if it has been answered already.
    void answer(const request_context_ptr& context, core::statement_answer result);
    void refuse(const request_context_ptr& context, core::reason reason, const std::string& message = {});
    // Translates a database answer other than `completed`.
    [[nodiscard]] core::statement_answer answer_for_failure(const database::database_answer& failed,
                                                            bool effects_possible) const;
    // Rolls back an open transaction, discards the session state if requested, and returns connection and
    // slot.
    void clean_up(const request_context_ptr& context, bool discard_state);
    // Handles the loss of the connection. The slot stays occupied until the session is known to have ended at
    // the server.
    void on_connection_lost(const request_context_ptr& context);
    // Answers with `result` once a quorum holds `position`.
    void await_quorum(const request_context_ptr& context, core::log_position position,
                      core::statement_answer result);
    // Returns false if the id is empty or in use.
    bool register_transaction(const request_context_ptr& begin);
    void unregister_transaction(const core::transaction_id& id);
    // Called after a step that leaves the transaction open.
    void on_step_finished(const core::transaction_id& id, bool failed);
    [[nodiscard]] bool outcomes_table_ready() const { return m_outcomes_table_ready; }
    void set_outcomes_table_ready() { m_outcomes_table_ready = true; }
    // Counts the business day of the request as unsettled. Returns false if the day is closed.
    bool count_unsettled_day(const request_context_ptr& context, const core::statement_request& request);
    [[nodiscard]] transactions::open_transactions& open_transactions() { return m_transactions; }
    [[nodiscard]] const transaction_map& transaction_contexts() const { return m_transaction_contexts; }
    // Implementation of monitor_listener.
    [[nodiscard]] bool may_end_earlier_owners() const override;
    [[nodiscard]] bool status_requested() const override;
    [[nodiscard]] bool replica_positions_requested() const override {
        return m_quorum.waiting_write_count() > 0;
    }
    [[nodiscard]] bool process_in_use(int server_process) const override;
    void on_taken_over() override;
    void on_monitor_session_lost(const std::string& reason) override;
    void on_status(const dialect::endpoint_status& status, core::time_point queried_at) override;
    bool on_replica_report(const replication::replica_report& replicas, core::time_point queried_at) override;

private:
    struct quorum_wait {
        request_context_ptr m_context;
        core::statement_answer m_answer;
    };
    struct position_query {
        core::time_point m_queried_at;
        position_handler m_handler;
    };

    [[nodiscard]] core::reason submission_refusal_reason(const core::statement_request& request) const;
    [[nodiscard]] bool leaving() const;
    [[nodiscard]] std::size_t queue_slots() const;
    void submit_read(const request_context_ptr& context);
    void enqueue(const request_context_ptr& context);
    // Dispatches the queued requests that may start now.
    void dispatch_ready();
    void start(const request_context_ptr& context);
    void run_on_connection(const request_context_ptr& context, pooling::lent_connection lent);
    void release_slot(const request_context_ptr& context, bool learn);
    void remove_if_finished(const request_context_ptr& context);
    void uncount_days(const request_context_ptr& context);
    void refuse_queued(core::reason reason);
    void finish_quorum_waits(const std::vector<replication::write_outcome>& outcomes);
    void recheck_position_waits();
    void roll_back_expired_transactions();
    void roll_back(const core::transaction_id& id);
    void apply_limits();
    void set_timer();
    void on_timer();
    void finish_release_if_idle();
    void log_queue_event(const request_context& context, const std::string& event,
                         const std::string& reason) const;
    [[nodiscard]] std::optional<core::time_point> next_timer_due() const;

    transport::event_loop& m_loop;
    core::endpoint_id m_endpoint;
    control::endpoint_record m_record;
    const owner_rights& m_rights;
    const dialect::database_dialect& m_strategy;
    control::preset_record m_policy;
    std::optional<control::group_record> m_group;
    std::optional<dialect::endpoint_status> m_status; // None until the first status.
    // Position known to be applied. Includes commits of this owner since the last status.
    core::history_position m_applied_position;

    admission::slot_queue m_queue;
    pooling::warm_connections m_connections;
    monitor m_monitor;
    transactions::open_transactions m_transactions;
    transaction_map m_transaction_contexts;
    replication::quorum_tracker m_quorum;
    replication::data_age_tracker m_age;
    unsettled_counter m_unsettled;

    std::uint64_t m_last_request_number = 0;
    std::map<admission::work_number, request_context_ptr> m_requests; // Unanswered or occupying a slot.
    std::vector<request_context_ptr> m_position_waits;
    std::map<replication::write_number, quorum_wait> m_quorum_waits;
    std::vector<position_query> m_position_queries;
    bool m_draining = false;
    bool m_outcomes_table_ready = false; // Reset by each takeover.
    bool m_dispatching = false;
    bool m_dispatch_again = false;
    std::function<void()> m_on_released;
    std::optional<transport::timer_id> m_timer;
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_shed = 0;
};

} // namespace mangoquay::ownership
