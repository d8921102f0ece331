// Messages and connections of loans.
#include "entry/link_exchange.h"

#include "core/log.h"
#include "lending/lending_wire.h"

#include <random>
#include <utility>

namespace mangoquay::entry {
namespace {

// Resolution of the limits of loans.
constexpr core::milliseconds tick_period{20};

std::uint64_t first_loan() {
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) + source();
}

void log_unreadable(const core::entry_host_id& from) {
    core::log_line(core::log_level::warning, "lending", "unreadable message dropped peer=" + from.value());
}

} // namespace

link_exchange::link_exchange(transport::event_loop& loop, transport::message_bus& bus,
                             const session_protocol& protocol, borrowed_link_handlers handlers)
    : m_loop(loop), m_bus(bus), m_protocol(protocol), m_handlers(std::move(handlers)),
      m_lender(static_cast<lending::lender_ports&>(*this)),
      m_borrower(static_cast<lending::borrower_ports&>(*this), first_loan()) {
    listen_to_borrowers();
    listen_to_lenders();
}

link_exchange::~link_exchange() = default;

void link_exchange::listen_to_borrowers() {
    m_bus.set_handler<wire::loan_requestT>([this](const auto& from, const wire::loan_requestT& message) {
        const lending::loan_id loan(message.loan);
        const auto first_work = lending::from_wire(message.first_work);
        if (!first_work) {
            log_unreadable(from);
            send_refusal(from, loan, lending::loan_refusal::not_lending);
            return;
        }
        m_lender.on_loan_requested(from, loan, core::endpoint_id(message.endpoint),
                                   lending::from_wire(message), *first_work, core::now());
    });
    m_bus.set_handler<wire::loan_workT>([this](const auto& from, const wire::loan_workT& message) {
        const lending::loan_id loan(message.loan);
        const auto requests = lending::from_wire(message.requests);
        if (!requests) {
            log_unreadable(from);
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

void link_exchange::listen_to_lenders() {
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
            log_unreadable(from);
            m_borrower.on_loan_lost(from, loan, "unreadable answer");
            return;
        }
        m_borrower.on_answer_received(from, loan, message.number, *answer);
    });
    m_bus.set_handler<wire::loan_lostT>([this](const auto& from, const wire::loan_lostT& message) {
        m_borrower.on_loan_lost(from, lending::loan_id(message.loan), message.text);
    });
}

void link_exchange::tick() {
    const core::time_point now = core::now();
    m_lender.tick(now);
    m_borrower.tick(now);
    m_loop.run_after(tick_period, [this] { tick(); });
}

void link_exchange::host_lost(const core::entry_host_id& host) {
    m_lender.on_host_lost(host, core::now());
    m_borrower.on_host_lost(host, core::now());
}

bool link_exchange::send(relay::connection_id link, const std::vector<relay::database_request>& requests) {
    if (!m_borrower.has_loan(link)) {
        return false;
    }
    m_borrower.send(link, requests);
    return true;
}

void link_exchange::give_back(relay::connection_id link, const lending::returned_state& remains) {
    if (m_borrower.has_loan(link)) { // otherwise its loss is about to be reported
        m_borrower.return_connection(link, remains);
    }
}

bool link_exchange::close(relay::connection_id link) {
    if (!m_borrower.has_loan(link)) {
        return false;
    }
    m_borrower.close(link);
    return true;
}

// Lender's side.

void link_exchange::open_connection(lending::lender_connection_id link,
                                    const registry::endpoint_report& target) {
    database_link_handlers handlers;
    handlers.m_opened = [this, link](std::optional<core::history_position> position) {
        m_lender.on_connection_opened(link, position, core::now());
    };
    handlers.m_answered = [this, link](const relay::database_answer& answer) {
        m_lender.on_connection_answered(link, answer, core::now());
    };
    handlers.m_failed = [this, link, id = target.m_id](std::optional<relay::refusal> reason,
                                                       const std::string& text) {
        const auto failed = std::move(m_links[link]); // outlives the call that ends it
        m_links.erase(link);
        m_handlers.m_database_lost(id, text);
        m_lender.on_connection_failed(link, reason, text, core::now());
    };
    m_links[link] = std::make_unique<database_link>(m_loop, m_protocol, target, std::move(handlers));
}

void link_exchange::send(lending::lender_connection_id link,
                         const std::vector<relay::database_request>& requests) {
    m_links.at(link)->send(requests);
}

void link_exchange::close_connection(lending::lender_connection_id link) {
    m_links.erase(link);
}

void link_exchange::send_grant(const core::entry_host_id& borrower, lending::loan_id loan,
                               const lending::loan_offer& offer) {
    m_bus.send(borrower, lending::to_wire(loan, offer));
}

void link_exchange::send_refusal(const core::entry_host_id& borrower, lending::loan_id loan,
                                 lending::loan_refusal reason) {
    wire::loan_refusalT message;
    message.loan = loan.value();
    message.reason = static_cast<std::uint8_t>(reason);
    m_bus.send(borrower, message);
}

void link_exchange::send_answer(const core::entry_host_id& borrower, lending::loan_id loan,
                                std::uint32_t number, const relay::database_answer& answer) {
    m_bus.send(borrower, lending::to_wire(loan, number, answer));
}

void link_exchange::send_loan_lost(const core::entry_host_id& borrower, lending::loan_id loan,
                                   const std::string& reason) {
    wire::loan_lostT message;
    message.loan = loan.value();
    message.text = reason;
    m_bus.send(borrower, message);
}

// Borrower's side.

void link_exchange::send_loan_request(const core::entry_host_id& lender, lending::loan_id loan,
                                      const core::endpoint_id& endpoint, const lending::loan_terms& terms,
                                      const std::vector<relay::database_request>& first_work) {
    m_bus.send(lender, lending::to_wire(loan, endpoint, terms, first_work));
}

void link_exchange::send_requests(const core::entry_host_id& lender, lending::loan_id loan,
                                  std::uint32_t number,
                                  const std::vector<relay::database_request>& requests) {
    m_bus.send(lender, lending::to_wire(loan, number, requests));
}

void link_exchange::send_loan_end(const core::entry_host_id& lender, lending::loan_id loan,
                                  const lending::returned_state& remains) {
    m_bus.send(lender, lending::to_wire(loan, remains));
}

void link_exchange::on_connection_opened(relay::connection_id link, const lending::loan_offer& offer) {
    m_handlers.m_opened(link, offer);
}

void link_exchange::on_connection_answered(relay::connection_id link, const relay::database_answer& answer) {
    m_handlers.m_answered(link, answer);
}

// A request may be refused, and a link lost, while its user is inside a call of this class.
void link_exchange::on_loan_refused(relay::connection_id link, lending::loan_refusal reason) {
    m_loop.post([this, link, reason] { m_handlers.m_refused(link, reason); });
}

void link_exchange::on_connection_lost(relay::connection_id link, const std::string& reason) {
    m_loop.post([this, link, reason] { m_handlers.m_lost(link, reason); });
}

} // namespace mangoquay::entry
