// Connects the lender and the borrower of this host to peer connections and database connections.
//
// Owns both cores and the database connections that this host lends. Runs on the event loop's thread.
#pragma once

#include "entry/database_connection.h"
#include "lending/borrower.h"
#include "lending/lender.h"
#include "transport/message_bus.h"

#include <functional>
#include <map>
#include <memory>

namespace mangoquay::entry {

// Events of borrowed connections. None is called from inside a call of a loan_exchange function.
struct borrowed_connection_handlers {
    std::function<void(relay::connection_id, const lending::loan_offer&)> m_lent;
    std::function<void(relay::connection_id, const relay::database_answer&)> m_answered;
    std::function<void(relay::connection_id, lending::loan_refusal)> m_refused;
    std::function<void(relay::connection_id, const std::string& reason)> m_lost;
    // A connection of this host to a database, opened for lending, ended.
    std::function<void(const core::endpoint_id&, const std::string& reason)> m_database_lost;
};

class loan_exchange final : private lending::lender_ports, private lending::borrower_ports {
public:
    loan_exchange(transport::event_loop& loop, transport::message_bus& bus, const session_protocol& protocol,
                  borrowed_connection_handlers handlers);
    ~loan_exchange() override;
    loan_exchange(const loan_exchange&) = delete;
    loan_exchange& operator=(const loan_exchange&) = delete;
    loan_exchange(loan_exchange&&) = delete;
    loan_exchange& operator=(loan_exchange&&) = delete;

    // Starts the periodic check of deadlines.
    void start() { tick(); }
    void stop_lending() { m_lender.stop_lending(); }
    // Replaces the endpoints whose connections this host lends.
    void set_lent_endpoints(const std::vector<lending::lent_endpoint>& endpoints) {
        m_lender.set_endpoints(endpoints, core::now());
    }
    // Replaces the lenders of each endpoint.
    void set_lenders(lending::lenders_by_endpoint lenders) { m_borrower.set_lenders(std::move(lenders)); }
    // The peer connection to another host closed.
    void on_host_lost(const core::entry_host_id& host);

    // Requests a loan; a handler reports the result.
    void borrow(relay::connection_id connection, const core::endpoint_id& endpoint,
                const lending::loan_terms& terms,
                const std::vector<relay::database_request>& initial_requests) {
        m_borrower.borrow(connection, endpoint, terms, initial_requests, core::now());
    }
    // Returns false if the connection is not borrowed.
    bool send(relay::connection_id connection, const std::vector<relay::database_request>& requests);
    // Does nothing if the loan has been lost already.
    void return_connection(relay::connection_id connection, const lending::returned_state& state);
    // Ends the loan. The lender reuses the connection only if nothing was sent on it. Returns false if the
    // connection is not borrowed.
    bool close(relay::connection_id connection);

    [[nodiscard]] const lending::lender& lender() const { return m_lender; }

private:
    void open_connection(lending::lender_connection_id connection, const registry::endpoint_report& target,
                         const std::optional<core::customer_name>& customer) override;
    void send(lending::lender_connection_id connection,
              const std::vector<relay::database_request>& requests) override;
    void close_connection(lending::lender_connection_id connection) override;
    void send_grant(const core::entry_host_id& borrower, lending::loan_id loan,
                    const lending::loan_offer& offer) override;
    void send_refusal(const core::entry_host_id& borrower, lending::loan_id loan,
                      lending::loan_refusal reason) override;
    void send_answer(const core::entry_host_id& borrower, lending::loan_id loan, std::uint32_t number,
                     const relay::database_answer& answer) override;
    void send_loan_lost(const core::entry_host_id& borrower, lending::loan_id loan,
                        const std::string& reason) override;

    void send_loan_request(const core::entry_host_id& lender, lending::loan_id loan,
                           const core::endpoint_id& endpoint, const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests) override;
    void send_requests(const core::entry_host_id& lender, lending::loan_id loan, std::uint32_t number,
                       const std::vector<relay::database_request>& requests) override;
    void send_loan_end(const core::entry_host_id& lender, lending::loan_id loan,
                       const lending::returned_state& state) override;
    void on_connection_lent(relay::connection_id connection, const lending::loan_offer& offer) override;
    void on_connection_answered(relay::connection_id connection,
                                const relay::database_answer& answer) override;
    void on_loan_refused(relay::connection_id connection, lending::loan_refusal reason) override;
    void on_loan_lost(relay::connection_id connection, const std::string& reason) override;

    void listen_to_borrowers();
    void listen_to_lenders();
    // Whether a database would read each request as the borrower means it.
    [[nodiscard]] bool can_encode(const std::vector<relay::database_request>& requests) const;
    void tick();

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    const session_protocol& m_protocol;
    borrowed_connection_handlers m_handlers;
    lending::lender m_lender;
    lending::borrower m_borrower;
    std::map<lending::lender_connection_id, std::unique_ptr<database_connection>> m_connections;
};

} // namespace mangoquay::entry
