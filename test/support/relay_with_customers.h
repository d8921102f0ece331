// A relay core with one database, callers with keys, and databases and lenders that act only when the test
// says so. Checks every statement that the core sends against the document in force.
#pragma once

#include "relay/relay_core.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mangoquay::test {

// The keys of each customer, and whether callers of the route "open" need one. The route "closed" is never
// public. Without m_customers the document has no customers.
struct customer_document {
    std::optional<std::map<std::string, std::vector<std::string>>> m_customers;
    bool m_public = false;
    bool m_has_closed_route = true;
};

struct received_answer {
    std::string m_id;
    std::optional<relay::refusal> m_refusal;
    relay::transaction_state m_state = relay::transaction_state::idle;
};

class relay_with_customers final : private relay::relay_ports {
public:
    explicit relay_with_customers(const customer_document& first);

    // Operator and control hosts.
    void configure(const customer_document& next);
    void list_database();
    // Grants shares of all limits that are larger than any test needs.
    void grant_shares();

    // Callers. The ids of statements must differ over all sessions.
    relay::session_admission open(std::uint64_t session, const std::string& database,
                                  const std::optional<std::string>& key);
    void send(std::uint64_t session, const std::string& id, const std::string& text);
    void close(std::uint64_t session);

    // Lenders and databases.
    void open_connections();
    // Grants all requested loans.
    void lend();
    void refuse_loan(relay::connection_id id, lending::loan_refusal reason);
    void lose(relay::connection_id id, bool of_lender);
    // Answers the oldest request of the connection.
    void answer(relay::connection_id id, std::optional<relay::refusal> refusal = std::nullopt);
    // Answers what the relay itself sent, up to the next statement of a caller.
    void answer_preparations();
    // Grants loans and answers all requests until nothing is left to do.
    void run();
    void advance(core::milliseconds passed);

    [[nodiscard]] const std::vector<received_answer>& answers(std::uint64_t session) {
        return m_answers[session];
    }
    [[nodiscard]] bool is_closed(std::uint64_t session) const { return m_closed.contains(session); }
    // Number of the callers' statements that were sent to the database.
    [[nodiscard]] std::size_t sent_count() const { return m_sent_count; }
    [[nodiscard]] bool was_sent(const std::string& id) const { return m_sent_ids.contains(id); }
    [[nodiscard]] std::vector<relay::connection_id> requested_loans() const;
    [[nodiscard]] std::vector<relay::connection_id> unanswered_connections() const;
    // Connections that hold an open transaction at the database.
    [[nodiscard]] std::size_t open_transactions() const;
    [[nodiscard]] const relay::relay_core& core() const { return m_core; }
    // The first broken rule; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }

private:
    using customer_or_none = std::optional<core::customer_name>;
    struct database_connection {
        customer_or_none m_customer; // That the connection was opened or requested for.
        bool m_any_customer = false;
        bool m_requested = false; // A loan that is not granted yet.
        bool m_in_transaction = false;
        std::deque<relay::database_request> m_requests; // Not answered.
    };
    struct caller_record {
        std::string m_database;
        std::optional<std::string> m_key;
        customer_or_none m_customer;
        bool m_ended = false; // A document withdrew the key, or gave it to another customer.
    };

    void send_answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id session) override;
    void open_connection(relay::connection_id id, const registry::endpoint_report&) override;
    void borrow_connection(relay::connection_id id, const core::endpoint_id&,
                           const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests) override;
    void return_connection(relay::connection_id id, const lending::returned_state&) override;
    void send_requests(relay::connection_id id,
                       const std::vector<relay::database_request>& requests) override;
    void close_connection(relay::connection_id id) override;
    void record_event(const relay::statement_event&) override {}
    [[nodiscard]] bool can_encode(const relay::database_request&) const override { return true; }
    void count_statement(const relay::answered_statement&) override {}

    // Whom a caller with the key works for by the document; empty if its route does not accept the key.
    [[nodiscard]] std::optional<customer_or_none> identity(const caller_record& caller) const;
    void update_callers();
    void check_sent(const database_connection& connection, const std::string& id);
    void fail(const std::string& what);

    customer_document m_document;
    std::uint64_t m_version = 0;
    core::time_point m_now{std::chrono::hours(1)};
    std::map<std::uint64_t, caller_record> m_callers;
    std::map<std::string, std::uint64_t> m_sessions_of; // By the id of a statement.
    std::map<std::uint64_t, std::vector<received_answer>> m_answers;
    std::set<std::uint64_t> m_closed;
    std::map<relay::connection_id, database_connection> m_connections;
    std::vector<relay::connection_id> m_opening;
    std::set<std::string> m_sent_ids;
    std::size_t m_sent_count = 0;
    std::string m_violation;
    relay::relay_core m_core;
};

} // namespace mangoquay::test
