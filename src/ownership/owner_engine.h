// The parts of an endpoint owner put together: queue, connections, monitor, transactions, quorum.
//
// The read, write and transaction paths (read_path.h, write_path.h, transaction_path.h) run a job on a
// connection and use the members under "for the paths". Internal to this slice.
#pragma once

#include "admission/slot_queue.h"
#include "ownership/endpoint_owner.h"
#include "ownership/job.h"
#include "ownership/monitor.h"
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

using transaction_map =
    std::map<core::transaction_id, job_ptr>; // to the job of its begin, which has the connection

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

    // The public interface; see endpoint_owner.
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

    // For the paths.
    [[nodiscard]] static core::time_point now() { return transport::event_loop::now(); }
    [[nodiscard]] const dialect::database_dialect& strategy() const { return m_strategy; }
    [[nodiscard]] bool is_primary() const { return m_status && !m_status->m_is_replica; }
    [[nodiscard]] core::term term() const { return m_status ? m_status->m_applied.m_term : core::term{}; }
    [[nodiscard]] bool holds_position(const core::history_position& wanted) const;
    [[nodiscard]] bool may_acknowledge(core::term under) const;
    // none: a write may go on now.
    [[nodiscard]] core::reason write_obstacle(const core::statement_request& request) const;
    [[nodiscard]] core::reason read_obstacle(const core::statement_request& request) const;
    // Whether a read is right only while this endpoint is the present primary.
    [[nodiscard]] bool needs_present_primary(const core::statement_request& request) const;
    void execute(const job_ptr& work, const std::string& sql, const std::vector<core::cell>& parameters,
                 core::deadline by, database::statement_handler next);
    // The job's one answer; ignored when it has had it.
    void answer(const job_ptr& work, core::statement_answer with);
    void refuse(const job_ptr& work, core::reason why, const std::string& message = {});
    // The answer for a database answer that is not `completed`.
    [[nodiscard]] core::statement_answer failed_answer(const database::database_answer& failed,
                                                       bool effects_possible) const;
    // Rolls back what is open, discards session state when asked to, and returns connection and slot.
    void clean_up(const job_ptr& work, bool discard_state);
    // The connection is gone. The slot stays taken until the session is known to have ended at the server.
    void connection_lost(const job_ptr& work);
    // Acknowledges `with` once a quorum holds `position`.
    void await_quorum(const job_ptr& work, core::log_position position, core::statement_answer with);
    // False when the id is in use.
    bool transaction_opened(const job_ptr& begin);
    void transaction_closed(const core::transaction_id& id);
    // After a step that leaves the transaction open.
    void step_ended(const core::transaction_id& id, bool failed);
    [[nodiscard]] bool outcomes_table_ready() const { return m_outcomes_table_ready; }
    void set_outcomes_table_ready() { m_outcomes_table_ready = true; }
    // Counts the job's day as unsettled. False when the day is closed.
    bool count_day(const job_ptr& work, const core::statement_request& request);
    [[nodiscard]] transactions::open_transactions& open_transactions() { return m_transactions; }
    [[nodiscard]] const transaction_map& transaction_jobs() const { return m_transaction_jobs; }
    // monitor_listener
    [[nodiscard]] bool may_end_earlier_owners() const override;
    [[nodiscard]] bool status_wanted() const override;
    [[nodiscard]] bool replicas_wanted() const override { return m_quorum.waiting_write_count() > 0; }
    [[nodiscard]] bool process_in_use(int server_process) const override;
    void on_taken_over() override;
    void on_lost(const std::string& why) override;
    void on_status(const dialect::endpoint_status& status, core::time_point queried_at) override;
    bool on_replicas(const replication::replica_report& replicas, core::time_point queried_at) override;

private:
    struct quorum_wait {
        job_ptr m_job;
        core::statement_answer m_answer;
    };
    struct position_question {
        core::time_point m_queried_at;
        position_handler m_handler;
    };

    [[nodiscard]] core::reason submission_obstacle(const core::statement_request& request) const;
    [[nodiscard]] bool leaving() const;
    [[nodiscard]] std::size_t queue_slots() const;
    void submit_read(const job_ptr& work);
    void enqueue(const job_ptr& work);
    // Dispatches what can start now.
    void pump();
    void start(const job_ptr& work);
    void run_on(const job_ptr& work, pooling::lent_connection lent);
    void free_slot(const job_ptr& work, bool learn);
    void forget_if_done(const job_ptr& work);
    void settle_days(const job_ptr& work);
    void refuse_queued(core::reason why);
    void end_writes(const std::vector<replication::write_outcome>& ends);
    void serve_position_waits();
    void end_due_transactions();
    void roll_back(const core::transaction_id& id);
    void apply_limits();
    void set_timer();
    void on_timer();
    void check_released();
    void log_placement(const job& work, const std::string& what, const std::string& why) const;
    [[nodiscard]] std::optional<core::time_point> next_event() const;

    transport::event_loop& m_loop;
    core::endpoint_id m_endpoint;
    control::endpoint_record m_record;
    const owner_rights& m_rights;
    const dialect::database_dialect& m_strategy;
    control::preset_record m_policy;
    std::optional<control::group_record> m_group;
    std::optional<dialect::endpoint_status> m_status; // the last one
    core::history_position m_reached; // known to be applied, also by own commits since the status

    admission::slot_queue m_queue;
    pooling::warm_connections m_connections;
    monitor m_monitor;
    transactions::open_transactions m_transactions;
    transaction_map m_transaction_jobs;
    replication::quorum_tracker m_quorum;
    replication::data_age_tracker m_age;
    unsettled_counter m_unsettled;

    std::uint64_t m_next_job = 0;
    std::map<admission::work_number, job_ptr> m_jobs; // unanswered, or with a slot
    std::vector<job_ptr> m_position_waits;
    std::map<replication::write_number, quorum_wait> m_quorum_waits;
    std::vector<position_question> m_position_questions;
    bool m_draining = false;
    bool m_outcomes_table_ready = false; // since the last take-over
    bool m_pumping = false;
    bool m_pump_again = false;
    std::function<void()> m_on_released;
    std::optional<transport::timer_id> m_timer;
    std::uint64_t m_dispatched_count = 0;
    std::uint64_t m_shed_count = 0;
};

} // namespace mangoquay::ownership
