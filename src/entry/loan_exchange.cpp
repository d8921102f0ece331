// Messages and database connections of loans.
#include "entry/loan_exchange.h"

#include "core/log.h"
#include "lending/lending_wire.h"

#include <algorithm>
#include <random>
#include <utility>

namespace mangoquay::entry {
namespace {

// Resolution of the timeouts of loans.
constexpr core::milliseconds tick_period{20};

std::uint64_t random_loan_id() {
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) + source();
}

void log_malformed(const core::entry_host_id& from) {
    core::log_line(core::log_level::warning, "lending", "malformed message dropped peer=" + from.value());
}

} // namespace

loan_exchange::loan_exchange(transport::event_loop& loop, transport::message_bus& bus,
                             const session_protocol& protocol, borrowed_connection_handlers handlers)
    : m_loop(loop), m_bus(bus), m_protocol(protocol), m_handlers(std::move(handlers)),
      m_lender(static_cast<lending::lender_ports&>(*this)),
      m_borrower(static_cast<lending::borrower_ports&>(*this), random_loan_id()) {
    listen_to_borrowers();
    listen_to_lenders();
}

loan_exchange::~loan_exchange() = default;

void loan_exchange::listen_to_borrowers() {
    m_bus.set_handler<wire::loan_requestT>([this](const auto& from, const wire::loan_requestT& message) {
        const lending::loan_id loan(message.loan);
        const auto initial_requests = lending::from_wire(message.first_work);
        if (!initial_requests || !can_encode(*initial_requests)) {
            log_malformed(from);
            send_refusal(from, loan, lending::loan_refusal::not_lending);
            return;
        }
        m_lender.on_loan_requested(from, loan, core::endpoint_id(message.endpoint),
                                   lending::from_wire(message), *initial_requests, core::now());
    });
    m_bus.set_handler<wire::loan_workT>([this](const auto& from, const wire::loan_workT& message) {
        const lending::loan_id loan(message.loan);
        const auto requests = lending::from_wire(message.requests);
        if (!requests || !can_encode(*requests)) {
            log_malformed(from);
            m_lender.on_loan_ended(from, loan, {.m_reusable = false}, core::now());
            return;
        }
        m_lender.on_requests_received(from, loan, message.number, *requests, core::now());
    });
    m_bus.set_handler<wire::loan_endT>([this](const auto& from, const wire::loan_endT& message) {
        m_lender.on_loan_ended(from, lending::loan_id(message.loan), lending::from_wire(message),
                               core::now());
    });
}

void loan_exchange::listen_to_lenders() {
    m_bus.set_handler<wire::loan_grantT>([this](const auto& from, const wire::loan_grantT& message) {
        m_borrower.on_loan_granted(from, lending::loan_id(message.loan), lending::from_wire(message));
    });
    m_bus.set_handler<wire::loan_refusalT>([this](const auto& from, const wire::loan_refusalT& message) {
        const bool known = message.reason <= static_cast<std::uint8_t>(lending::loan_refusal::unreachable);
        m_borrower.on_loan_refused(from, lending::loan_id(message.loan),
                                   known ? static_cast<lending::loan_refusal>(message.reason)
                                         : lending::loan_refusal::not_lending,
                                   core::now());
    });
    m_bus.set_handler<wire::loan_answerT>([this](const auto& from, const wire::loan_answerT& message) {
        const lending::loan_id loan(message.loan);
        const auto answer = lending::from_wire(message);
        if (!answer) {
            log_malformed(from);
            m_borrower.on_loan_lost(from, loan, "malformed answer from the lender");
            return;
        }
        m_borrower.on_answer_received(from, loan, message.number, *answer);
    });
    m_bus.set_handler<wire::loan_lostT>([this](const auto& from, const wire::loan_lostT& message) {
        m_borrower.on_loan_lost(from, lending::loan_id(message.loan), message.text);
    });
}

void loan_exchange::tick() {
    const core::time_point now = core::now();
    m_lender.tick(now);
    m_borrower.tick(now);
    m_loop.run_after(tick_period, [this] { tick(); });
}

void loan_exchange::on_host_lost(const core::entry_host_id& host) {
    m_lender.on_host_lost(host, core::now());
    m_borrower.on_host_lost(host, core::now());
}

bool loan_exchange::can_encode(const std::vector<relay::database_request>& requests) const {
    return std::ranges::all_of(
        requests, [this](const relay::database_request& request) { return m_protocol.can_encode(request); });
}

bool loan_exchange::send(relay::connection_id connection,
                         const std::vector<relay::database_request>& requests) {
    if (!m_borrower.has_loan(connection)) {
        return false;
    }
    m_borrower.send(connection, requests);
    return true;
}

void loan_exchange::return_connection(relay::connection_id connection, const lending::returned_state& state) {
    if (m_borrower.has_loan(connection)) { // If not, its loss will be reported by a posted task.
        m_borrower.return_connection(connection, state);
    }
}

bool loan_exchange::close(relay::connection_id connection) {
    if (!m_borrower.has_loan(connection)) {
        return false;
    }
    m_borrower.close(connection);
    return true;
}

// Output of the lender.

void loan_exchange::open_connection(lending::lender_connection_id connection,
                                    const registry::endpoint_report& target,
                                    const std::optional<core::customer_name>& customer) {
    database_connection_handlers handlers;
    handlers.m_opened = [this, connection](std::optional<core::history_position> position) {
        m_lender.on_connection_opened(connection, position, core::now());
    };
    handlers.m_answered = [this, connection](const relay::database_answer& answer) {
        m_lender.on_connection_answered(connection, answer, core::now());
    };
    handlers.m_failed = [this, connection, id = target.m_id](std::optional<relay::refusal> reason,
                                                             const std::string& text) {
        const auto failed = std::move(m_connections[connection]); // Must outlive the handler that runs on it.
        m_connections.erase(connection);
        m_handlers.m_database_lost(id, text);
        m_lender.on_connection_failed(connection, reason, text, core::now());
    };
    m_connections[connection] =
        std::make_unique<database_connection>(m_loop, m_protocol, target, customer, std::move(handlers));
}

void loan_exchange::send(lending::lender_connection_id connection,
                         const std::vector<relay::database_request>& requests) {
    m_connections.at(connection)->send(requests);
}

void loan_exchange::close_connection(lending::lender_connection_id connection) {
    m_connections.erase(connection);
}

void loan_exchange::send_grant(const core::entry_host_id& borrower, lending::loan_id loan,
                               const lending::loan_offer& offer) {
    m_bus.send(borrower, lending::to_wire(loan, offer));
}

void loan_exchange::send_refusal(const core::entry_host_id& borrower, lending::loan_id loan,
                                 lending::loan_refusal reason) {
    wire::loan_refusalT message;
    message.loan = loan.value();
    message.reason = static_cast<std::uint8_t>(reason);
    m_bus.send(borrower, message);
}

void loan_exchange::send_answer(const core::entry_host_id& borrower, lending::loan_id loan,
                                std::uint32_t number, const relay::database_answer& answer) {
    m_bus.send(borrower, lending::to_wire(loan, number, answer));
}

void loan_exchange::send_loan_lost(const core::entry_host_id& borrower, lending::loan_id loan,
                                   const std::string& reason) {
    wire::loan_lostT message;
    message.loan = loan.value();
    message.text = reason;
    m_bus.send(borrower, message);
}

// Output of the borrower.

void loan_exchange::send_loan_request(const core::entry_host_id& lender, lending::loan_id loan,
                                      const core::endpoint_id& endpoint, const lending::loan_terms& terms,
                                      const std::vector<relay::database_request>& initial_requests) {
    m_bus.send(lender, lending::to_wire(loan, endpoint, terms, initial_requests));
}

void loan_exchange::send_requests(const core::entry_host_id& lender, lending::loan_id loan,
                                  std::uint32_t number,
                                  const std::vector<relay::database_request>& requests) {
    m_bus.send(lender, lending::to_wire(loan, number, requests));
}

void loan_exchange::send_loan_end(const core::entry_host_id& lender, lending::loan_id loan,
                                  const lending::returned_state& state) {
    m_bus.send(lender, lending::to_wire(loan, state));
}

void loan_exchange::on_connection_lent(relay::connection_id connection, const lending::loan_offer& offer) {
    m_handlers.m_lent(connection, offer);
}

void loan_exchange::on_connection_answered(relay::connection_id connection,
                                           const relay::database_answer& answer) {
    m_handlers.m_answered(connection, answer);
}

// Refusals and losses are reported from the event loop, because they may occur while the owner is inside a
// call of this class.
void loan_exchange::on_loan_refused(relay::connection_id connection, lending::loan_refusal reason) {
    m_loop.post([this, connection, reason] { m_handlers.m_refused(connection, reason); });
}

void loan_exchange::on_loan_lost(relay::connection_id connection, const std::string& reason) {
    m_loop.post([this, connection, reason] { m_handlers.m_lost(connection, reason); });
}

} // namespace mangoquay::entry
