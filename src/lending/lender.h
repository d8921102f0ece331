// Lends this host's connections to databases to the hosts that need them, itself included.
//
// Many hosts share few connections: each lender of a database has one queue for it, ordered by priority and
// then by expected run time, and lets no more statements run at the database than it has slots for. A
// transaction without a statement in progress holds a connection, but no slot.
//
// Owns connections, loans and waiting loan requests. Deterministic: it uses no socket, clock or log and acts
// through lender_ports, whose functions must not call back into the lender.
//
// Invariants:
// - A connection is lent to one borrower at a time, and only while nothing is in progress on it.
// - A connection is lent only to loans of the customer that it was opened for, and to loans for any customer.
// - A connection that is not returned as reusable is closed, which ends its transaction at the database.
// - Requests of a loan whose message does not carry the next number are not sent, because an earlier message
//   was lost.
#pragma once

#include "lending/lender_choice.h"
#include "lending/loan.h"
#include "registry/endpoint_registry.h"
#include "relay/statement.h"

#include <deque>
#include <map>
#include <vector>

namespace mangoquay::lending {

// A transaction may pause for 3 s and a statement may run for 3 s; a borrower from which no message arrives
// for longer than both is considered failed.
inline constexpr core::milliseconds borrower_timeout{7000};

using lender_connection_id = core::strong_value<struct lender_connection_id_tag, std::uint64_t>;

class lender_ports {
public:
    lender_ports() = default;
    virtual ~lender_ports() = default;
    lender_ports(const lender_ports&) = delete;
    lender_ports& operator=(const lender_ports&) = delete;
    lender_ports(lender_ports&&) = delete;
    lender_ports& operator=(lender_ports&&) = delete;

    // Actions on connections to databases.

    // Answered by lender::on_connection_opened() or on_connection_failed(). The database is told the
    // customer's name.
    virtual void open_connection(lender_connection_id connection, const registry::endpoint_report& target,
                                 const std::optional<core::customer_name>& customer) = 0;
    virtual void send(lender_connection_id connection,
                      const std::vector<relay::database_request>& requests) = 0;
    // No event of the connection may follow.
    virtual void close_connection(lender_connection_id connection) = 0;

    // Messages to borrowers. `number` counts the answers of a loan from 0.
    virtual void send_grant(const core::entry_host_id& borrower, loan_id loan, const loan_offer& offer) = 0;
    virtual void send_refusal(const core::entry_host_id& borrower, loan_id loan, loan_refusal reason) = 0;
    virtual void send_answer(const core::entry_host_id& borrower, loan_id loan, std::uint32_t number,
                             const relay::database_answer& answer) = 0;
    virtual void send_loan_lost(const core::entry_host_id& borrower, loan_id loan,
                                const std::string& reason) = 0;
};

// A database whose connections this host lends.
struct lent_endpoint {
    registry::endpoint_report m_report;
    std::uint32_t m_connections = 0; // Number of connections that this host may keep open.
    std::uint32_t m_max_running = 1; // Number of slots: statements of this host's loans that may run at once.
    bool m_by_customer = false;      // Connections are opened for customers when they are needed.

    friend bool operator==(const lent_endpoint&, const lent_endpoint&) = default;
};

// The share of one lender of an endpoint with `lenders` lenders, which may keep `connections` open.
lent_endpoint endpoint_share(const registry::endpoint_report& report, std::uint32_t connections,
                             std::size_t lenders);

struct lender_counters {
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_connections_replaced = 0; // Closed for a connection of another customer.
    std::uint64_t m_granted_idle = 0; // Loans of customers for which an idle connection was found at once.
};

class lender {
public:
    explicit lender(lender_ports& ports) : m_ports(ports) {}

    // Replaces the lent databases. Connections to databases that are no longer listed are closed when their
    // loans have ended.
    void set_endpoints(const std::vector<lent_endpoint>& endpoints, core::time_point now);
    // Refuses waiting and new loan requests from now on. Granted loans continue.
    void stop_lending();

    // Messages from borrowers.

    // `initial_requests` are sent to the database as soon as the loan is granted. If there are any, no grant
    // is sent: the first answer implies it.
    void on_loan_requested(const core::entry_host_id& borrower, loan_id loan,
                           const core::endpoint_id& endpoint, const loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests,
                           core::time_point now);
    void on_requests_received(const core::entry_host_id& borrower, loan_id loan, std::uint32_t number,
                              const std::vector<relay::database_request>& requests, core::time_point now);
    // Also withdraws a loan request that has not been granted.
    void on_loan_ended(const core::entry_host_id& borrower, loan_id loan, const returned_state& state,
                       core::time_point now);
    // The host failed: its connections are closed and its loan requests are dropped.
    void on_host_lost(const core::entry_host_id& host, core::time_point now);

    // Events of connections to databases. `position` is that of the database when the connection
    // was opened, if known. `reason` is that of the database, if it refused the connection.
    void on_connection_opened(lender_connection_id id, std::optional<core::history_position> position,
                              core::time_point now);
    void on_connection_answered(lender_connection_id id, const relay::database_answer& answer,
                                core::time_point now);
    void on_connection_failed(lender_connection_id id, std::optional<relay::refusal> reason,
                              const std::string& text, core::time_point now);

    // Checks deadlines. Must be called periodically.
    void tick(core::time_point now);

    [[nodiscard]] std::size_t loan_count() const { return m_loans.size(); }
    [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }
    [[nodiscard]] const lender_counters& counters() const { return m_counters; }

private:
    using loan_key = std::pair<core::entry_host_id, loan_id>;

    struct pending_loan {
        loan_key m_key;
        loan_terms m_terms;
        std::vector<relay::database_request> m_initial_requests;
        core::time_point m_arrival{};
        core::deadline m_deadline; // Refused as busy after it.
    };
    enum class connection_state : std::uint8_t { opening, idle, lent, cleaning };
    struct connection_record {
        core::endpoint_id m_endpoint;
        std::optional<core::customer_name> m_customer; // Whose work may run on it.
        connection_state m_state = connection_state::opening;
        loan_key m_key;                          // Set while the connection is lent.
        std::uint32_t m_next_request_number = 0; // Number that the borrower's next message must carry.
        std::uint32_t m_next_answer_number = 0;  // Number of the next answer to the borrower.
        // The borrowers have set values or prepared statements since the connection was last reset.
        bool m_has_session_state = false;
        bool m_occupies_slot = false;       // A statement is in transit to the database or runs there.
        std::deque<bool> m_pending_answers; // For each request without an answer, whether it is a statement.
        core::time_point m_last_contact{};  // Time of the last answer of the database.
        core::time_point m_last_used{};     // Time when the last loan ended, or of the opening.
        // For the opening, the borrower's next message or the clean-up, depending on m_state.
        core::deadline m_deadline;
    };
    struct endpoint_record {
        lent_endpoint m_lent;
        bool m_listed = true; // Whether the endpoint is in the list set last; if not, nothing is lent.
        std::uint32_t m_open_count = 0; // Number of connections, including those still being opened.
        std::uint32_t m_opening_count = 0;
        std::uint32_t m_occupied_slots = 0; // Number of connections that occupy a slot.
        core::deadline m_full_until;        // The database had no connection left; none is opened until then.
        core::deadline m_failed_until;      // Opening failed; none is opened until then.
        core::duration m_back_off{};
        std::optional<core::history_position> m_position;
        std::vector<pending_loan> m_queue;
        bool m_has_customers = false; // A connection was opened for a customer and may still be open.
        // When a customer last got a loan, or a connection of another one for it.
        std::map<std::optional<core::customer_name>, core::time_point> m_served_at;
    };

    // Grants waiting loan requests in order while slots and connections are free.
    void serve_queue(const core::endpoint_id& endpoint, core::time_point now);
    // Grants the first waiting loan request that can be granted now. Returns whether there was one.
    bool grant_next(const core::endpoint_id& endpoint, endpoint_record& record, core::time_point now);
    [[nodiscard]] std::optional<lender_connection_id> find_idle_connection(const core::endpoint_id& endpoint,
                                                                           const loan_terms& terms) const;
    void open_connection(const core::endpoint_id& endpoint, endpoint_record& record,
                         const std::optional<core::customer_name>& customer, core::time_point now);
    // Opens connections for the loan requests that found none idle, in the order of the queue.
    void open_missing_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                                  const std::vector<const pending_loan*>& missing, core::time_point now);
    // Closes the idle connection that was used the longest ago, if nothing used it for `unused_time`. Returns
    // whether there was one.
    bool close_unused_connection(const core::endpoint_id& endpoint, core::duration unused_time,
                                 core::time_point now);
    // Closes a connection in favour of the customer's loan request. Returns whether there was one to close.
    bool replace_connection(const core::endpoint_id& endpoint, endpoint_record& record,
                            const std::optional<core::customer_name>& customer, core::time_point now);
    // Closes idle connections that exceed the share of this host, or that no loan may use any more.
    void close_surplus_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                                   core::time_point now);
    // Forgets the customers that were served too long ago to matter.
    static void forget_customers(endpoint_record& record, core::time_point now);
    void preopen_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                             core::time_point now);
    void grant(const pending_loan& pending, lender_connection_id id, core::time_point now);
    void refuse(const pending_loan& refused, loan_refusal reason);
    void refuse_all(endpoint_record& record, loan_refusal reason);
    // Expected time until the requests ahead of `loan` in the queue have been served.
    [[nodiscard]] static core::duration expected_wait(const endpoint_record& record,
                                                      const pending_loan& loan);
    void set_occupies_slot(connection_record& connection, bool occupies);
    // Rolls back an open transaction and resets session values before the connection is lent again.
    void clean_up(lender_connection_id id, const returned_state& state, core::time_point now);
    void end_loan(lender_connection_id id);
    void drop_connection(lender_connection_id id);

    lender_ports& m_ports;
    bool m_stopping = false;
    std::map<core::endpoint_id, endpoint_record> m_endpoints;
    std::map<lender_connection_id, connection_record> m_connections;
    std::map<loan_key, lender_connection_id> m_loans; // Granted loans.
    std::uint64_t m_last_connection = 0;
    lender_counters m_counters;
};

} // namespace mangoquay::lending
