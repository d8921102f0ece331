// Borrows links to databases from the hosts that lend them.
//
// Decides: which lender is asked, and when another one is. Owns: the loans of this host and what it knows of
// lenders. Deterministic; it acts through borrower_ports, whose functions must not call back.
//
// Invariants:
// - a loan has one lender at a time, and messages of any other loan number are ignored;
// - answers of a loan reach the link in order without a gap: a gap ends the loan.
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

    // To lenders.
    virtual void send_loan_request(const core::entry_host_id& lender, loan_id loan,
                                   const core::endpoint_id& endpoint, const loan_terms& terms,
                                   const std::vector<relay::database_request>& initial_requests) = 0;
    virtual void send_requests(const core::entry_host_id& lender, loan_id loan, std::uint32_t number,
                               const std::vector<relay::database_request>& requests) = 0;
    virtual void send_loan_end(const core::entry_host_id& lender, loan_id loan,
                               const returned_state& state) = 0;

    // To the user of the link.
    virtual void on_connection_opened(relay::link_id connection, const loan_offer& offer) = 0;
    virtual void on_connection_answered(relay::link_id connection, const relay::database_answer& answer) = 0;
    // Nothing was lent.
    virtual void on_loan_refused(relay::link_id connection, loan_refusal reason) = 0;
    // The link is gone; nothing follows.
    virtual void on_connection_lost(relay::link_id connection, const std::string& reason) = 0;
};

class borrower {
public:
    // Loan numbers start after `base`; a restarted host takes another one.
    borrower(borrower_ports& ports, std::uint64_t base) : m_ports(ports), m_last_loan(base) {}

    void set_lenders(lenders_by_endpoint lenders) { m_lenders = std::move(lenders); }

    // `first_work` goes to the database as soon as the link is lent.
    void borrow(relay::link_id connection, const core::endpoint_id& endpoint, const loan_terms& terms,
                const std::vector<relay::database_request>& initial_requests, core::time_point now);
    void send(relay::link_id connection, const std::vector<relay::database_request>& requests);
    void return_connection(relay::link_id connection, const returned_state& state);
    // Whatever is in progress ends with the connection to the database.
    void close(relay::link_id connection);
    [[nodiscard]] bool has_loan(relay::link_id connection) const {
        return m_loan_by_connection.contains(connection);
    }

    void on_loan_granted(const core::entry_host_id& lender, loan_id loan, const loan_offer& offer);
    void on_answer_received(const core::entry_host_id& lender, loan_id loan, std::uint32_t number,
                            const relay::database_answer& answer);
    void on_loan_refused(const core::entry_host_id& lender, loan_id loan, loan_refusal reason,
                         core::time_point now);
    void on_loan_lost(const core::entry_host_id& lender, loan_id loan, const std::string& reason);
    void on_host_lost(const core::entry_host_id& host, core::time_point now);

    void tick(core::time_point now);

private:
    struct loan_record {
        relay::link_id m_connection;
        core::endpoint_id m_endpoint;
        core::entry_host_id m_lender;
        loan_terms m_terms;
        std::vector<relay::database_request> m_initial_requests;
        bool m_granted = false;
        std::uint32_t m_next_request_number = 0;
        std::uint32_t m_next_answer_number = 0;
        core::deadline m_wait_deadline;  // as a loan that is not granted yet
        core::deadline m_reply_deadline; // the lender is taken for dead after it
        std::set<core::entry_host_id> m_tried;
        loan_refusal m_last_refusal = loan_refusal::not_lending; // the last
    };
    struct lender_record {
        core::deadline m_avoided_until;       // it does not answer or does not lend
        std::uint32_t m_queue_length = 0;     // as it said last
        std::uint32_t m_pending_requests = 0; // loans that it has neither granted nor refused
    };

    [[nodiscard]] std::optional<core::entry_host_id> choose_lender(const loan_record& loan,
                                                                   core::time_point now);
    // Asks the next lender, or reports that none lends.
    void request_from_next_lender(loan_id id, core::time_point now);
    loan_record* find_loan(const core::entry_host_id& lender, loan_id id);
    void remove_loan(loan_id id);
    void on_reply(const loan_record& loan);

    borrower_ports& m_ports;
    std::uint64_t m_last_loan;
    std::uint64_t m_rotation = 0; // takes lenders in turn when they are equal
    lenders_by_endpoint m_lenders;
    std::map<loan_id, loan_record> m_loans;
    std::map<relay::link_id, loan_id> m_loan_by_connection;
    std::map<core::entry_host_id, lender_record> m_lender_records;
};

} // namespace mangoquay::lending
