// Simulation of two lenders and one borrower.
#include "support/lending_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

constexpr std::size_t lender_count = 2;
constexpr std::uint64_t connection_ids_per_lender = 1'000'000;
// One of this many messages is lost.
constexpr std::uint64_t messages_per_loss = 300;
const core::entry_host_id borrower_id("10.1.0.100");

core::entry_host_id lender_id(std::size_t index) {
    return core::entry_host_id("10.1.0." + std::to_string(index + 1));
}

} // namespace

class lending_simulation::lender_host final : public lending::lender_ports {
public:
    lender_host(lending_simulation& simulation, std::size_t index)
        : m_simulation(simulation), m_index(index), m_host_id(lender_id(index)), m_core(*this) {}

    relay::connection_id external_id(lending::lender_connection_id connection) const {
        return relay::connection_id((m_index + 1) * connection_ids_per_lender + connection.value());
    }

    void open_connection(lending::lender_connection_id connection,
                         const registry::endpoint_report& target) override {
        m_simulation.m_environment.m_open_connection(external_id(connection), target);
    }
    void send(lending::lender_connection_id connection,
              const std::vector<relay::database_request>& requests) override {
        m_simulation.m_environment.m_send_requests(external_id(connection), requests);
    }
    void close_connection(lending::lender_connection_id connection) override {
        m_simulation.m_environment.m_close_connection(external_id(connection));
    }
    void send_grant(const core::entry_host_id&, lending::loan_id loan,
                    const lending::loan_offer& offer) override;
    void send_refusal(const core::entry_host_id&, lending::loan_id loan,
                      lending::loan_refusal reason) override;
    void send_answer(const core::entry_host_id&, lending::loan_id loan, std::uint32_t number,
                     const relay::database_answer& answer) override;
    void send_loan_lost(const core::entry_host_id&, lending::loan_id loan,
                        const std::string& reason) override;

    lending_simulation& m_simulation;
    std::size_t m_index;
    core::entry_host_id m_host_id;
    lending::lender m_core;
};

class lending_simulation::borrower_host final : public lending::borrower_ports {
public:
    explicit borrower_host(lending_simulation& simulation) : m_simulation(simulation), m_core(*this, 0) {}

    void send_loan_request(const core::entry_host_id& lender, lending::loan_id loan,
                           const core::endpoint_id& endpoint, const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests) override {
        lending::lender& recipient = lender_of(lender);
        m_simulation.deliver(lender, [this, &recipient, loan, endpoint, terms, initial_requests] {
            recipient.on_loan_requested(borrower_id, loan, endpoint, terms, initial_requests,
                                        m_simulation.m_environment.m_now());
        });
    }
    void send_requests(const core::entry_host_id& lender, lending::loan_id loan, std::uint32_t number,
                       const std::vector<relay::database_request>& requests) override {
        lending::lender& recipient = lender_of(lender);
        m_simulation.deliver(lender, [this, &recipient, loan, number, requests] {
            recipient.on_requests_received(borrower_id, loan, number, requests,
                                           m_simulation.m_environment.m_now());
        });
    }
    void send_loan_end(const core::entry_host_id& lender, lending::loan_id loan,
                       const lending::returned_state& state) override {
        lending::lender& recipient = lender_of(lender);
        lending::returned_state reported = state;
        reported.m_has_session_values =
            reported.m_has_session_values && !m_simulation.m_faults.m_hide_session_values;
        reported.m_in_transaction =
            reported.m_in_transaction && !m_simulation.m_faults.m_hide_open_transaction;
        m_simulation.deliver(lender, [this, &recipient, loan, reported] {
            recipient.on_loan_ended(borrower_id, loan, reported, m_simulation.m_environment.m_now());
        });
    }
    void on_connection_lent(relay::connection_id connection, const lending::loan_offer& offer) override {
        m_simulation.m_core->on_connection_lent(connection, offer, m_simulation.m_environment.m_now());
    }
    void on_connection_answered(relay::connection_id connection,
                                const relay::database_answer& answer) override {
        m_simulation.m_core->on_answer_received(connection, answer, m_simulation.m_environment.m_now());
    }
    void on_loan_refused(relay::connection_id connection, lending::loan_refusal reason) override {
        m_simulation.m_environment.m_schedule({}, [this, connection, reason] {
            m_simulation.m_core->on_loan_refused(connection, reason, m_simulation.m_environment.m_now());
        });
    }
    void on_loan_lost(relay::connection_id connection, const std::string& reason) override {
        m_simulation.m_environment.m_schedule({}, [this, connection, reason] {
            m_simulation.m_core->on_loan_lost(connection, reason, m_simulation.m_environment.m_now());
        });
    }

    lending::lender& lender_of(const core::entry_host_id& host) {
        return (*std::ranges::find_if(m_simulation.m_lenders,
                                      [&host](const auto& one) { return one->m_host_id == host; }))
            ->m_core;
    }

    lending_simulation& m_simulation;
    lending::borrower m_core;
};

void lending_simulation::lender_host::send_grant(const core::entry_host_id&, lending::loan_id loan,
                                                 const lending::loan_offer& offer) {
    m_simulation.deliver(m_host_id, [this, loan, offer] {
        m_simulation.m_borrower->m_core.on_loan_granted(m_host_id, loan, offer);
    });
}

void lending_simulation::lender_host::send_refusal(const core::entry_host_id&, lending::loan_id loan,
                                                   lending::loan_refusal reason) {
    m_simulation.deliver(m_host_id, [this, loan, reason] {
        m_simulation.m_borrower->m_core.on_loan_refused(m_host_id, loan, reason,
                                                        m_simulation.m_environment.m_now());
    });
}

void lending_simulation::lender_host::send_answer(const core::entry_host_id&, lending::loan_id loan,
                                                  std::uint32_t number,
                                                  const relay::database_answer& answer) {
    m_simulation.deliver(m_host_id, [this, loan, number, answer] {
        m_simulation.m_borrower->m_core.on_answer_received(m_host_id, loan, number, answer);
    });
}

void lending_simulation::lender_host::send_loan_lost(const core::entry_host_id&, lending::loan_id loan,
                                                     const std::string& reason) {
    m_simulation.deliver(m_host_id, [this, loan, reason] {
        m_simulation.m_borrower->m_core.on_loan_lost(m_host_id, loan, reason);
    });
}

lending_simulation::lending_simulation(lending_environment environment, lending_faults faults)
    : m_environment(std::move(environment)), m_faults(faults) {
    for (std::size_t index = 0; index < lender_count; ++index) {
        m_lenders.push_back(std::make_unique<lender_host>(*this, index));
    }
    m_borrower = std::make_unique<borrower_host>(*this);
}

lending_simulation::~lending_simulation() = default;

void lending_simulation::set_core(relay::relay_core& core) {
    m_core = &core;
}

void lending_simulation::deliver(const core::entry_host_id& lender, std::function<void()> handler) {
    if (m_faults.m_lose_messages && m_environment.m_random_below(messages_per_loss) == 0) {
        return;
    }
    core::time_point& last = m_last_arrival[lender];
    last = std::max(last, m_environment.m_now() + core::milliseconds(m_environment.m_random_below(3)));
    m_environment.m_schedule(last - m_environment.m_now(), std::move(handler));
}

void lending_simulation::announce_endpoints(const std::vector<registry::endpoint_report>& listed) {
    std::vector<lending::lent_endpoint> lent;
    lending::lenders_by_endpoint hosts;
    std::map<core::endpoint_id, std::uint32_t> kept;
    for (const registry::endpoint_report& report : listed) {
        lent.push_back({report, 3, 2});
        for (std::size_t index = 0; index < lender_count; ++index) {
            hosts[report.m_id].push_back(lender_id(index));
        }
        kept[report.m_id] = 0;
    }
    for (const auto& lender : m_lenders) {
        lender->m_core.set_endpoints(lent, m_environment.m_now());
    }
    m_borrower->m_core.set_lenders(std::move(hosts));
    m_core->set_lent_endpoints(kept, m_environment.m_now());
}

void lending_simulation::tick() {
    for (const auto& lender : m_lenders) {
        lender->m_core.tick(m_environment.m_now());
    }
    m_borrower->m_core.tick(m_environment.m_now());
}

void lending_simulation::disconnect_random_lender() {
    lender_host& lost = *m_lenders[m_environment.m_random_below(m_lenders.size())];
    lost.m_core.on_host_lost(borrower_id, m_environment.m_now());
    m_borrower->m_core.on_host_lost(lost.m_host_id, m_environment.m_now());
}

void lending_simulation::borrow(relay::connection_id connection, const core::endpoint_id& endpoint,
                                const lending::loan_terms& terms,
                                const std::vector<relay::database_request>& initial_requests) {
    m_borrower->m_core.borrow(connection, endpoint, terms, initial_requests, m_environment.m_now());
}

void lending_simulation::return_connection(relay::connection_id connection,
                                           const lending::returned_state& state) {
    if (m_borrower->m_core.has_loan(connection)) {
        m_borrower->m_core.return_connection(connection, state);
    }
}

bool lending_simulation::send(relay::connection_id connection,
                              const std::vector<relay::database_request>& requests) {
    const bool borrowed = m_borrower->m_core.has_loan(connection);
    if (borrowed) {
        m_borrower->m_core.send(connection, requests);
    }
    return borrowed;
}

bool lending_simulation::close(relay::connection_id connection) {
    const bool borrowed = m_borrower->m_core.has_loan(connection);
    if (borrowed) {
        m_borrower->m_core.close(connection);
    }
    return borrowed;
}

bool lending_simulation::is_lender_connection(relay::connection_id connection) {
    return connection.value() >= connection_ids_per_lender;
}

void lending_simulation::on_connection_opened(relay::connection_id connection,
                                              std::optional<core::history_position> position) {
    m_lenders[connection.value() / connection_ids_per_lender - 1]->m_core.on_connection_opened(
        lending::lender_connection_id(connection.value() % connection_ids_per_lender), position,
        m_environment.m_now());
}

void lending_simulation::on_connection_answered(relay::connection_id connection,
                                                const relay::database_answer& answer) {
    m_lenders[connection.value() / connection_ids_per_lender - 1]->m_core.on_connection_answered(
        lending::lender_connection_id(connection.value() % connection_ids_per_lender), answer,
        m_environment.m_now());
}

void lending_simulation::on_connection_failed(relay::connection_id connection) {
    m_lenders[connection.value() / connection_ids_per_lender - 1]->m_core.on_connection_failed(
        lending::lender_connection_id(connection.value() % connection_ids_per_lender), std::nullopt,
        "connection lost", m_environment.m_now());
}

} // namespace mangoquay::test
