// Compares what the databases run with what the callers sent: UNASKED, PINNED, TWICE, REFUSED and MIXED.
#pragma once

#include "soak/configuration_judge.h"
#include "soak/customer_judge.h"
#include "soak/sent_statement.h"
#include "soak/violations.h"

#include <set>
#include <unordered_map>

namespace mangoquay::soak {

// The transaction that is open on a connection to a database.
struct open_transaction {
    transaction_number m_owner{}; // Of its first statement; 0 before.
    // The proxy may wrap a single read in a transaction of its own, which then serves that statement alone.
    std::optional<statement_id> m_wrapped{};
};

// A statement that a database begins to run, or refuses because it does not know the prepared name.
struct observed_run {
    std::string m_endpoint;
    core::service_name m_service;
    connection_number m_connection;
    std::string m_customer{}; // The name under which the connection was opened.
    statement_id m_id{};
    std::string m_text{};      // Without the position that the proxy prefixes.
    std::string m_arguments{}; // Item and data of an execution.
    bool m_is_execution = false;
    std::optional<prepared_shape> m_prepared{}; // What the prepared name stands for on the connection.
    open_transaction* m_transaction = nullptr;  // Nothing outside a transaction.
    const session_values* m_values = nullptr;
};

class statement_judge {
public:
    statement_judge(configuration_judge& configuration, customer_judge& customers,
                    const disturbance_log& disturbances, violation_list& violations)
        : m_configuration(configuration), m_customers(customers), m_disturbances(disturbances),
          m_violations(violations) {}

    // Called before the statement is sent.
    void add_sent(sent_statement statement);
    void check_run(const observed_run& run);
    // The database cannot read the line. Called for each, because callers send only what the protocol allows.
    void add_malformed(const observed_run& run);
    void add_deallocation();
    // The database begins a transaction by the caller's own statement.
    void check_begin(const observed_run& run);
    // Called before a commit takes effect.
    void check_commit(const observed_run& run);
    // A commit took effect, or a promotion took it back.
    void add_committed(const statement_id& id);
    void add_rolled_back(const statement_id& id);
    // The database's answer of success, and the caller's.
    void add_signature(const statement_id& id, const std::string& answer);
    void check_success(const statement_id& id, const std::string& answer);
    // The caller received the promise that nothing of this attempt is kept.
    void add_promise(const statement_id& id, const std::string& promise);
    // Looks for promises that were not kept, at the end of the run.
    void check_promises();
    [[nodiscard]] std::string summary() const;

private:
    struct known_statement {
        sent_statement m_sent;
        std::set<std::string> m_answers{}; // Of databases, with success.
        int m_commits = 0;                 // That are in force.
        std::string m_promise{};
    };
    struct known_transaction {
        connection_number m_connection{};
        int m_commits = 0; // That are in force.
        std::string m_promise{};
        statement_id m_promised_at{};
    };
    known_statement* find(const observed_run& run);
    void check_place(const observed_run& run, const sent_statement& sent);
    void check_connection(const observed_run& run, const sent_statement& sent);
    void check_wrapped(const observed_run& run, const sent_statement& sent);
    void check_session(const observed_run& run, const sent_statement& sent);
    void check_route(const observed_run& run, const sent_statement& sent);
    void check_customer(const observed_run& run, const sent_statement& sent);
    void report(rule broken, const observed_run& run, const std::string& what);

    configuration_judge& m_configuration;
    customer_judge& m_customers;
    const disturbance_log& m_disturbances;
    violation_list& m_violations;
    mutable std::mutex m_mutex; // Guards all members below.
    std::unordered_map<statement_id, known_statement> m_statements;
    std::unordered_map<transaction_number, known_transaction> m_transactions;
    std::size_t m_runs = 0;
    std::size_t m_successes = 0;
    std::size_t m_committed = 0;
    std::size_t m_deallocations = 0;
    std::size_t m_longest_run = 0; // In bytes.
};

} // namespace mangoquay::soak
