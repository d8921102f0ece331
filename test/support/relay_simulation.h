// Simulated environment of the relay core for property tests: databases with a replicated log, connections
// that lose and delay messages, and callers that read and write. Time is simulated; all choices come from one
// seed.
//
// Callers draw their texts from the grammar of the line protocol. A database acts on what it reads from the
// encoded requests.
//
// Checks, from what callers and databases observe, that no read misses an acknowledged commit that it must
// see, that no write takes effect twice or despite a refusal that guarantees that it did not run, and that
// statements run in their own transactions and with their own session values.
#pragma once

#include "entry/planned_stop.h"
#include "relay/relay_core.h"
#include "support/lending_simulation.h"
#include "support/statement_texts.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::test {

// Age limit of reads on all routes of the simulation.
inline constexpr core::milliseconds simulated_max_age{400};

// Rules of the relay that the simulation breaks on purpose, to show that its checks detect it.
struct injected_faults {
    bool m_drop_min_positions = false;      // Databases ignore the minimum position of reads.
    bool m_skip_primary_check = false;      // A replica accepts plain transactions.
    bool m_drop_session_values = false;     // Session values are not set on the connection.
    bool m_report_in_doubt_as_busy = false; // An "in doubt" refusal is taken for "busy".
    bool m_mix_up_answers = false;          // Each answer is compared with another statement's signature.
    // A borrowed connection is returned, as if it had none, with the session values of its last user.
    bool m_return_with_session_values = false;
    // A borrowed connection is returned, as if it had none, with an open transaction.
    bool m_return_in_transaction = false;
    bool m_endless_leases = false;         // Primary leases do not end before a promotion.
    bool m_mix_up_shapes = false;          // Prepared statements run another shape than was prepared.
    bool m_change_texts = false;           // Some statements arrive with another text.
    bool m_leave_transaction_open = false; // Databases confirm a rollback and ignore it.
    bool m_keep_session_state = false;     // Databases confirm a reset and ignore it.
    bool m_name_by_text = false;           // Names at databases contain the text of the prepared statement.
};

// Events of real processes and databases, beside lost connections, lag and promotions.
struct process_events {
    // Databases restart, break connections after any request, lose single answers and answer late.
    bool m_database_faults = false;
    bool m_ended_transactions = false;   // Databases end transactions without a request and say so.
    bool m_rolled_back_values = false;   // A rollback at a database also discards session values.
    bool m_endpoint_changes = false;     // Endpoints disappear from the list, return and report a false role.
    bool m_route_changes = false;        // Routes move to another service, disappear and return.
    bool m_pauses = false;               // The process does not run for seconds.
    bool m_host_restarts = false;        // The process is killed and starts again at its address.
    bool m_pipelined_statements = false; // Callers send further statements without waiting for answers.

    static process_events all() { return {true, true, true, true, true, true, true, true}; }
};

struct relay_simulation_options {
    std::uint64_t m_seed = 1;
    int m_operations = 150;
    bool m_promotions = true;
    bool m_connection_faults = true;
    bool m_lag = true;
    std::uint32_t m_databases = 3;
    std::uint32_t m_connections = 30; // Connection limit of each database.
    // An old primary goes on after a promotion, and this host uses primaries under leases that end before.
    bool m_leased = false;
    bool m_lent_connections = false; // Every connection is borrowed from one of two other hosts.
    std::int64_t m_max_run_ms = 40;  // Maximum run time of a statement at a database.
    std::uint64_t m_max_transaction_statements = 3;
    // The host is stopped as planned after this time, while its callers go on.
    std::optional<core::milliseconds> m_stop_after;
    process_events m_events;
    injected_faults m_injected_faults;
};

class relay_simulation final : private relay::relay_ports {
public:
    explicit relay_simulation(relay_simulation_options options);
    ~relay_simulation() override;
    relay_simulation(const relay_simulation&) = delete;
    relay_simulation& operator=(const relay_simulation&) = delete;
    relay_simulation(relay_simulation&&) = delete;
    relay_simulation& operator=(relay_simulation&&) = delete;

    void run();
    // Description of the first violated check; empty if there was none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t succeeded() const { return m_succeeded; }

private:
    struct commit {
        std::uint64_t m_attempt = 0;
        std::uint32_t m_term = 0;
    };
    struct database {
        registry::endpoint_report m_report;
        std::vector<commit> m_log;
        std::uint32_t m_term = 1; // Term of its log; a promotion increases it.
        bool m_acts_as_primary = false;
        std::int64_t m_lag_ms = 60;
    };
    struct server_session {
        std::size_t m_database = 0;
        bool m_broken = false;        // The connection broke.
        bool m_loses_answers = false; // All further answers are lost.
        std::map<std::string, std::string> m_values;
        std::map<std::string, relay::prepared_statement> m_prepared;
        // As of the start of the transaction.
        std::map<std::string, std::string> m_saved_values;
        std::map<std::string, relay::prepared_statement> m_saved_prepared;
        bool m_in_transaction = false;
        bool m_ends_transaction = false; // The database ends the transaction after the next statement.
        bool m_was_ended = false;        // The database ended the transaction; the next request is refused.
        bool m_in_primary_transaction = false;
        bool m_failed = false;
        std::uint32_t m_transaction_term = 0;
        std::uint64_t m_attempt = 0; // Attempt that the statements of the transaction belong to.
        std::vector<std::uint64_t> m_writes;
        core::time_point m_free_at{}; // Time when the next request can run; answers are sent in order.
    };
    // More than one if a lost connection ran the statement as well.
    using connection_list = std::vector<std::weak_ptr<server_session>>;
    // State in which a statement has to run: that of its session when the statement is next in turn.
    struct expected_state {
        std::map<std::string, std::string> m_values;
        std::map<std::string, relay::prepared_statement> m_prepared;
        bool m_transaction = false;
        bool m_single_write = false;
        // Ran the former statements of the transaction, if there are any.
        std::optional<connection_list> m_connections;
    };
    struct acknowledged_commit {
        std::uint64_t m_attempt = 0;
        std::uint64_t m_session = 0;
        core::time_point m_at{};
        std::string m_service;
    };
    struct caller {
        std::size_t m_route = 0;
        std::map<std::string, std::string> m_values;
        std::map<std::string, relay::prepared_statement> m_prepared;
        // Those that the session holds once the statements of the script have succeeded.
        std::map<std::string, relay::prepared_statement> m_planned;
        std::vector<relay::session_statement> m_script; // Statements of the operation in progress.
        std::size_t m_next = 0;                         // The statement that is answered next.
        std::size_t m_sent = 0;                         // Number of statements sent.
        bool m_pipelined = false;
        // Ran the answered statements of the transaction, if there are any.
        std::optional<connection_list> m_transaction_connections;
        std::uint64_t m_attempt = 0;
        bool m_writes = false;
        bool m_transaction = false;
        core::time_point m_started{};
        bool m_waiting = false;
        bool m_refused = false; // A statement of the operation was refused.
        relay::transaction_state m_state = relay::transaction_state::idle; // As last reported.
    };

    void send_answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id session) override;
    void open_connection(relay::connection_id id, const registry::endpoint_report& target) override;
    void send_requests(relay::connection_id id,
                       const std::vector<relay::database_request>& requests) override;
    void close_connection(relay::connection_id id) override;
    void borrow_connection(relay::connection_id id, const core::endpoint_id& endpoint,
                           const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests) override;
    void return_connection(relay::connection_id id, const lending::returned_state& state) override;
    void record_event(const relay::statement_event&) override {}
    // No text is near the limit of a message, so all requests can be sent. Databases check that.
    [[nodiscard]] bool can_encode(const relay::database_request& /*request*/) const override { return true; }
    void count_statement(const relay::answered_statement&) override {}

    // Connections to the databases, of the relay core and of the lenders.
    void open_database_connection(relay::connection_id id, const registry::endpoint_report& target);
    void send_to_database(relay::connection_id id, const std::vector<relay::database_request>& requests);
    // The request that a database reads from the encoded one.
    relay::database_request as_received(relay::database_request request);
    void run_request(relay::connection_id id, const std::shared_ptr<server_session>& session,
                     const relay::database_request& request);
    void close_database_connection(relay::connection_id id);
    void report_connection_failure(relay::connection_id id);

    void schedule(core::duration delay, std::function<void()> action);
    // An event of the host: ignored once the host has restarted, and late if the host is paused then.
    [[nodiscard]] std::function<void()> on_host(std::function<void()> action);
    // Events of real processes, in relay_simulation_events.cpp.
    void inject_process_event();
    void restart_database();
    void break_connection(relay::connection_id id, core::duration report_delay);
    void end_random_transaction();
    void change_endpoints();
    void change_routes();
    void configure();
    void pause_host(core::duration length);
    void restart_host();
    void start_host();
    void check_invariants();
    [[nodiscard]] std::uint64_t random_below(std::uint64_t below);
    [[nodiscard]] bool occurs(std::uint64_t percent) { return random_below(100) < percent; }
    void record_violation(const std::string& what);

    void start_callers();
    void leave(std::uint64_t session);
    void expect_state(const caller& current);
    void write_script(std::uint64_t session, caller& current);
    void start_operation(std::uint64_t session);
    void send_next_statement(std::uint64_t session);
    void add_statement(caller& current, bool writes);
    void add_prepared_statement(caller& current, bool writes);
    void add_to_script(caller& current, relay::session_statement added) const;
    void add_value(caller& current);
    void record_success(std::uint64_t session, caller& current, const relay::session_statement& sent,
                        const relay::session_answer& answer);
    void on_operation_refused(std::uint64_t session);
    void inject_random_fault();
    void promote();
    // Lets the leases on the old primary end, then promotes another database beside it.
    void promote_after_leases();
    void promote_database(std::size_t chosen);
    void renew_lease();
    void begin_stop();
    void stop_step();
    // The process ends: no statement may be left without an answer.
    void end_process();
    void replicate();
    void announce_endpoints();

    relay::database_answer execute(const std::shared_ptr<server_session>& session,
                                   const relay::database_request& request);
    relay::database_answer execute_statement(const std::shared_ptr<server_session>& connection,
                                             const relay::database_request& request, const std::string& text,
                                             relay::database_answer base);
    void end_database_transaction(server_session& session) const;
    void check_statement(const server_session& session, const relay::database_request& request);
    void check_session_state(const server_session& session, const relay::database_request& request);
    void check_read_result(const server_session& session, std::uint64_t attempt);
    [[nodiscard]] bool has_position(const database& server, const core::history_position& position) const;
    [[nodiscard]] core::history_position position_of(const database& server);

    relay_simulation_options m_options;
    std::optional<std::size_t> m_assigned_primary = 0; // Empty while its leases end.
    std::mt19937_64 m_random;
    draw_below m_draw = [this](std::uint64_t below) { return random_below(below); };
    std::map<std::string, std::string> m_names_by_text; // Used by the injected fault of that name.
    core::time_point m_now{std::chrono::hours(1)};
    using event = std::pair<core::time_point, std::uint64_t>;
    std::map<event, std::function<void()>> m_events;
    std::uint64_t m_event_number = 0;
    std::unique_ptr<relay::relay_core> m_core;
    std::unique_ptr<lending_simulation> m_lending; // Set if connections are lent.
    std::vector<database> m_databases;
    // Attempt of the last commit before each position.
    std::map<std::pair<core::service_name, core::history_position>, std::uint64_t> m_last_commit;
    std::map<relay::connection_id, std::shared_ptr<server_session>> m_connections;
    std::map<std::uint64_t, caller> m_callers;
    std::vector<acknowledged_commit> m_acknowledged;
    std::set<std::uint64_t> m_rolled_back;      // Attempts whose commit a promotion discarded.
    std::map<std::uint64_t, int> m_committed;   // Number of commits of each attempt.
    std::set<std::uint64_t> m_reported_not_run; // Attempts of which a refusal guaranteed that nothing ran.
    std::uint64_t m_last_attempt = 0;
    std::uint64_t m_last_session = 0;
    std::map<std::uint64_t, std::uint64_t> m_session_of;               // Session of each attempt.
    std::map<std::string, relay::session_statement> m_sent_statements; // Every one, by its id.
    std::map<std::string, expected_state> m_expected_states;           // Of each sent statement.
    std::map<std::string, connection_list> m_ran_on;                   // Connections that ran each statement.
    std::map<std::uint64_t, std::string> m_service_of_commit;          // Service of each attempt.
    documents::configuration m_configuration;
    std::set<std::size_t> m_unlisted_databases;
    std::set<std::size_t> m_misreported_databases; // They report another role than they have.
    std::uint64_t m_generation = 0;                // Number of starts of the host.
    bool m_paused = false;
    std::vector<std::function<void()>> m_deferred_events;
    std::size_t m_succeeded = 0;
    int m_operations_left = 0;
    std::optional<entry::planned_stop> m_stop;
    bool m_process_ended = false;
    core::time_point m_last_run_end{}; // After the end of the process, the databases go on until then.
    std::string m_violation;
};

} // namespace mangoquay::test
