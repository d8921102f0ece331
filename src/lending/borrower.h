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
    virtual void ask(const core::entry_host_id& lender, loan_id loan, const core::endpoint_id& endpoint,
                     const loan_terms& terms, const std::vector<relay::database_request>& first_work) = 0;
    virtual void work(const core::entry_host_id& lender, loan_id loan, std::uint32_t number,
                      const std::vector<relay::database_request>& requests) = 0;
    virtual void end(const core::entry_host_id& lender, loan_id loan, const link_remains& remains) = 0;

    // To the user of the link.
    virtual void opened(relay::connection_id link, const loan_offer& offer) = 0;
    virtual void answered(relay::connection_id link, const relay::database_answer& answer) = 0;
    // Nothing was lent.
    virtual void refused(relay::connection_id link, loan_refusal reason) = 0;
    // The link is gone; nothing follows.
    virtual void lost(relay::connection_id link, const std::string& reason) = 0;
};

class borrower {
public:
    // Loan numbers start after `base`; a restarted host takes another one.
    borrower(borrower_ports& ports, std::uint64_t base) : m_ports(ports), m_last_loan(base) {}

    void lenders_changed(lenders_by_endpoint lenders) { m_lenders = std::move(lenders); }

    // `first_work` goes to the database as soon as the link is lent.
    void open(relay::connection_id link, const core::endpoint_id& endpoint, const loan_terms& terms,
              const std::vector<relay::database_request>& first_work, core::time_point now);
    void send(relay::connection_id link, const std::vector<relay::database_request>& requests);
    void give_back(relay::connection_id link, const link_remains& remains);
    // Whatever is in progress ends with the connection to the database.
    void close(relay::connection_id link);
    [[nodiscard]] bool holds(relay::connection_id link) const { return m_by_link.contains(link); }

    void granted(const core::entry_host_id& lender, loan_id loan, const loan_offer& offer);
    void answered(const core::entry_host_id& lender, loan_id loan, std::uint32_t number,
                  const relay::database_answer& answer);
    void refused(const core::entry_host_id& lender, loan_id loan, loan_refusal reason, core::time_point now);
    void lost(const core::entry_host_id& lender, loan_id loan, const std::string& reason);
    void host_lost(const core::entry_host_id& host, core::time_point now);

    void tick(core::time_point now);

private:
    struct loan_record {
        relay::connection_id m_link;
        core::endpoint_id m_endpoint;
        core::entry_host_id m_lender;
        loan_terms m_terms;
        std::vector<relay::database_request> m_first_work;
        bool m_granted = false;
        std::uint32_t m_next_work = 0;
        std::uint32_t m_next_answer = 0;
        core::deadline m_useful_until; // as a loan that is not granted yet
        core::deadline m_reply_by;     // the lender is taken for dead after it
        std::set<core::entry_host_id> m_tried;
        loan_refusal m_refusal = loan_refusal::not_lending; // the last
    };
    struct lender_record {
        core::deadline m_avoided;    // it does not answer or does not lend
        std::uint32_t m_waiting = 0; // as it said last
        std::uint32_t m_asked = 0;   // loans that it has neither granted nor refused
    };

    [[nodiscard]] std::optional<core::entry_host_id> choose(const loan_record& loan, core::time_point now);
    // Asks the next lender, or reports that none lends.
    void ask_next(loan_id id, core::time_point now);
    loan_record* find(const core::entry_host_id& lender, loan_id id);
    void forget(loan_id id);
    void replied(const loan_record& loan);

    borrower_ports& m_ports;
    std::uint64_t m_last_loan;
    std::uint64_t m_turn = 0; // takes lenders in turn when they are equal
    lenders_by_endpoint m_lenders;
    std::map<loan_id, loan_record> m_loans;
    std::map<relay::connection_id, loan_id> m_by_link;
    std::map<core::entry_host_id, lender_record> m_known;
};

} // namespace mangoquay::lending
