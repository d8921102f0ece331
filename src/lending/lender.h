// Lends this host's links to databases to the hosts that need them, itself included.
//
// Answers the load pattern of many hosts before few connections: one queue for each database at each of its
// lenders, in the order of priority and then of expected work, with no more statements at the database than
// its slots carry. A transaction that pauses holds a link, but no place among the running ones.
//
// Owns: links, loans and those that wait. Deterministic: no socket, clock or log; it acts through
// lender_ports, whose functions must not call back.
//
// Invariants:
// - a link is lent to one borrower at a time and only while nothing is in progress on it;
// - a link whose loan ends otherwise than reusable is closed, which ends its transaction at the database;
// - work of a loan that does not carry the next number is not sent: a message before it was lost.
#pragma once

#include "lending/lender_choice.h"
#include "lending/loan.h"
#include "registry/endpoint_registry.h"
#include "relay/statement.h"

#include <deque>
#include <map>
#include <vector>

namespace mangoquay::lending {

// A transaction may pause for 3 s and a statement run for as long (sheet); a borrower that is silent for
// longer than both is gone.
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

    // Answered by on_connection_opened() or on_connection_failed().
    virtual void open_connection(lender_connection_id connection,
                                 const registry::endpoint_report& target) = 0;
    virtual void send(lender_connection_id connection,
                      const std::vector<relay::database_request>& requests) = 0;
    // No event of the link follows.
    virtual void close_connection(lender_connection_id connection) = 0;

    virtual void send_grant(const core::entry_host_id& borrower, loan_id loan, const loan_offer& offer) = 0;
    virtual void send_refusal(const core::entry_host_id& borrower, loan_id loan, loan_refusal reason) = 0;
    virtual void send_answer(const core::entry_host_id& borrower, loan_id loan, std::uint32_t number,
                             const relay::database_answer& answer) = 0;
    virtual void send_loan_lost(const core::entry_host_id& borrower, loan_id loan,
                                const std::string& reason) = 0;
};

// A database whose links this host lends.
struct lent_endpoint {
    registry::endpoint_report m_report;
    std::uint32_t m_connections = 0; // that this host may keep open
    std::uint32_t m_max_running = 1; // statements of this host's loans that may be at the database at once

    friend bool operator==(const lent_endpoint&, const lent_endpoint&) = default;
};

// The part of one of `lenders` hosts that lend an endpoint's links, with `links` of them.
lent_endpoint endpoint_share(const registry::endpoint_report& report, std::uint32_t connections,
                             std::size_t lenders);

struct lender_counters {
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_connections_opened = 0;
};

class lender {
public:
    explicit lender(lender_ports& ports) : m_ports(ports) {}

    // Links to databases that are not listed any more are closed when their loans have ended.
    void set_endpoints(const std::vector<lent_endpoint>& endpoints, core::time_point now);
    // New loans are refused from now on; present ones go on.
    void stop_lending();

    // `first_work` is sent as soon as the link is lent; its answers tell the borrower of it.
    void on_loan_requested(const core::entry_host_id& borrower, loan_id loan,
                           const core::endpoint_id& endpoint, const loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests,
                           core::time_point now);
    void on_requests_received(const core::entry_host_id& borrower, loan_id loan, std::uint32_t number,
                              const std::vector<relay::database_request>& requests, core::time_point now);
    // Also withdraws a request that has not been granted.
    void on_loan_ended(const core::entry_host_id& borrower, loan_id loan, const returned_state& state,
                       core::time_point now);
    void on_host_lost(const core::entry_host_id& host, core::time_point now);

    void on_connection_opened(lender_connection_id id, std::optional<core::history_position> position,
                              core::time_point now);
    void on_connection_answered(lender_connection_id id, const relay::database_answer& answer,
                                core::time_point now);
    void on_connection_failed(lender_connection_id id, std::optional<relay::refusal> reason,
                              const std::string& text, core::time_point now);

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
        core::deadline m_deadline;
    };
    enum class connection_state : std::uint8_t { opening, idle, lent, cleaning };
    struct connection_record {
        core::endpoint_id m_endpoint;
        connection_state m_state = connection_state::opening;
        loan_key m_key;                          // while lent
        std::uint32_t m_next_request_number = 0; // number of the borrower's next message
        std::uint32_t m_next_answer_number = 0;  // number of the next one to it
        bool m_occupies_slot = false; // among the running ones: a statement is on its way or at the database
        std::deque<bool> m_pending_answers; // for each request without an answer: whether it is a statement
        core::time_point m_last_contact{};  // the database's last answer
        core::deadline m_deadline;          // of the opening, of a silent borrower, of the clean-up
    };
    struct endpoint_record {
        lent_endpoint m_lent;
        bool m_listed = true;
        std::uint32_t m_open_count = 0; // links, opening ones included
        std::uint32_t m_opening_count = 0;
        std::uint32_t m_occupied_slots = 0; // links that take a place
        core::deadline m_full_until;        // all its connections are taken: none is opened until then
        core::deadline m_failed_until;      // its connections fail
        core::duration m_back_off{};
        std::optional<core::history_position> m_position;
        std::vector<pending_loan> m_queue;
    };

    void serve_queue(const core::endpoint_id& endpoint, core::time_point now);
    [[nodiscard]] std::optional<lender_connection_id>
    find_idle_connection(const core::endpoint_id& endpoint) const;
    void open_connection(const core::endpoint_id& endpoint, endpoint_record& record, core::time_point now);
    void preopen_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                             core::time_point now);
    void grant(const pending_loan& pending, lender_connection_id id, core::time_point now);
    void refuse(const pending_loan& refused, loan_refusal reason);
    void refuse_all(endpoint_record& record, loan_refusal reason);
    // Of what comes before it in the queue.
    [[nodiscard]] static core::duration expected_wait(const endpoint_record& record, const pending_loan& one);
    void set_occupies_slot(connection_record& connection, bool occupies);
    // Of what its borrower left on it.
    void clean_up(lender_connection_id id, const returned_state& state, core::time_point now);
    void end_loan(lender_connection_id id);
    void drop_connection(lender_connection_id id);

    lender_ports& m_ports;
    bool m_stopping = false;
    std::map<core::endpoint_id, endpoint_record> m_endpoints;
    std::map<lender_connection_id, connection_record> m_connections;
    std::map<loan_key, lender_connection_id> m_loans; // granted
    std::uint64_t m_last_connection = 0;
    lender_counters m_counters;
};

} // namespace mangoquay::lending
