// Borrows connections to databases from the hosts that lend them.
//
// Decides which lender is asked, and when the next one is. Owns the loans of this host and the state of the
// lenders as seen from here. Deterministic: it acts through borrower_ports, whose functions must not call
// back into the borrower.
//
// Invariants:
// - A loan has one lender at a time. Messages with an unknown loan number, or from another host than the
//   lender of the loan, change no loan.
// - Answers of a loan are delivered in order and without a gap. A gap ends the loan.
#pragma once

#include "lending/lender_choice.h"
#include "lending/loan.h"
#include "relay/session.h"
#include "relay/statement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::lending {

class borrower_ports {
public:
    borrower_ports() = default;
    virtual ~borrower_ports() = default;
    borrower_ports(const borrower_ports&) = delete;
    borrower_ports& operator=(const borrower_ports&) = delete;
    borrower_ports(borrower_ports&&) = delete;
    borrower_ports& operator=(borrower_ports&&) = delete;

    // Messages to lenders.

    // Requests a loan. The lender sends `initial_requests` to the database as soon as the loan is granted.
    virtual void send_loan_request(const core::entry_host_id& lender, loan_id loan,
                                   const core::endpoint_id& endpoint, const loan_terms& terms,
                                   const std::vector<relay::database_request>& initial_requests) = 0;
    // Sends requests of a granted loan. `number` counts the messages with requests of this loan from 0.
    virtual void send_requests(const core::entry_host_id& lender, loan_id loan, std::uint32_t number,
                               const std::vector<relay::database_request>& requests) = 0;
    // Ends the loan, or withdraws the request for it if it has not been granted.
    virtual void send_loan_end(const core::entry_host_id& lender, loan_id loan,
                               const returned_state& state) = 0;

    // Events for the user of the connection.

    // The loan was granted.
    virtual void on_connection_lent(relay::connection_id connection, const loan_offer& offer) = 0;
    virtual void on_connection_answered(relay::connection_id connection,
                                        const relay::database_answer& answer) = 0;
    // No lender granted the loan. `reason` is that of the last refusal. No event of the connection follows.
    virtual void on_loan_refused(relay::connection_id connection, loan_refusal reason) = 0;
    // The connection is lost. No event of it follows.
    virtual void on_loan_lost(relay::connection_id connection, const std::string& reason) = 0;
};

class borrower {
public:
    // Loan numbers start after `base`, which must differ after each restart of the host.
    borrower(borrower_ports& ports, std::uint64_t base) : m_ports(ports), m_last_loan(base) {}

    void set_lenders(lenders_by_endpoint lenders) { m_lenders = std::move(lenders); }

    // Requests a loan for `connection`. `initial_requests` are sent to the database as soon as the loan is
    // granted. Answered by borrower_ports::on_connection_lent() or on_loan_refused().
    void borrow(relay::connection_id connection, const core::endpoint_id& endpoint, const loan_terms& terms,
                const std::vector<relay::database_request>& initial_requests, core::time_point now);
    // Sends requests on a connection that is borrowed.
    void send(relay::connection_id connection, const std::vector<relay::database_request>& requests);
    // Ends the loan and reports the state of the connection to the lender.
    void return_connection(relay::connection_id connection, const returned_state& state);
    // Ends the loan. The lender closes the connection to the database, which aborts anything in progress,
    // unless nothing was sent on it. A request that has not been granted is withdrawn.
    void close(relay::connection_id connection);
    // Whether a loan for `connection` is requested or granted.
    [[nodiscard]] bool has_loan(relay::connection_id connection) const {
        return m_loan_by_connection.contains(connection);
    }

    // Messages from lenders.
    void on_loan_granted(const core::entry_host_id& lender, loan_id loan, const loan_offer& offer);
    void on_answer_received(const core::entry_host_id& lender, loan_id loan, std::uint32_t number,
                            const relay::database_answer& answer);
    void on_loan_refused(const core::entry_host_id& lender, loan_id loan, loan_refusal reason,
                         core::time_point now);
    void on_loan_lost(const core::entry_host_id& lender, loan_id loan, const std::string& reason);
    // The host failed: its granted loans are lost, and requested ones go to the next lender.
    void on_host_lost(const core::entry_host_id& host, core::time_point now);

    // Checks deadlines. Must be called periodically.
    void tick(core::time_point now);

private:
    struct loan_record {
        relay::connection_id m_connection;
        core::endpoint_id m_endpoint;
        core::entry_host_id m_lender;
        loan_terms m_terms;
        std::vector<relay::database_request> m_initial_requests;
        bool m_granted = false;
        std::uint32_t m_next_request_number = 0;
        std::uint32_t m_next_answer_number = 0;
        core::deadline m_wait_deadline;  // A loan that is not granted by then is of no use.
        core::deadline m_reply_deadline; // A lender without an answer by then is considered failed.
        std::set<core::entry_host_id> m_tried;
        loan_refusal m_last_refusal = loan_refusal::not_lending;
    };
    struct lender_record {
        core::deadline m_avoided_until;       // Not asked until then: it did not answer or does not lend.
        std::uint32_t m_queue_length = 0;     // Number of loan requests waiting at it, as it last reported.
        core::deadline m_queue_length_until;  // The report is out of date after it.
        std::uint32_t m_pending_requests = 0; // Number of loans that it has neither granted nor refused.
    };

    [[nodiscard]] std::optional<core::entry_host_id> choose_lender(const loan_record& loan,
                                                                   core::time_point now);
    [[nodiscard]] std::optional<core::entry_host_id>
    choose_lender_of_customer(const loan_record& loan, const std::vector<core::entry_host_id>& lenders,
                              core::time_point now);
    // Requests the loan from the next lender, or reports a refusal if there is none left.
    void request_from_next_lender(loan_id id, core::time_point now);
    // Null if there is no such loan or `lender` is not its lender.
    loan_record* find_loan(const core::entry_host_id& lender, loan_id id);
    void remove_loan(loan_id id);
    // Removes the loan from the pending requests of its lender, which has replied or is no longer waited for.
    void on_reply(const loan_record& loan);

    borrower_ports& m_ports;
    std::uint64_t m_last_loan;
    core::time_point m_latest{};  // The latest time that was passed in.
    std::uint64_t m_rotation = 0; // Rotates among lenders with equal cost.
    lenders_by_endpoint m_lenders;
    std::map<loan_id, loan_record> m_loans;
    std::map<relay::connection_id, loan_id> m_loan_by_connection;
    std::map<core::entry_host_id, lender_record> m_lender_records;
};

} // namespace mangoquay::lending
