// Simulation of two lenders and one borrower.
#include "support/lending_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

constexpr std::size_t lender_count = 2;
constexpr std::uint64_t connection_ids_per_lender = 1'000'000;
constexpr std::uint64_t connection_ids_per_process = 10'000;
constexpr std::uint64_t messages_per_late_one = 300;
constexpr std::uint64_t loans_per_process = 1'000'000;
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
        : m_simulation(simulation), m_index(index), m_host_id(lender_id(index)),
          m_core(std::make_unique<lending::lender>(*this)) {}

    // Connection numbers of a process differ from those of the processes before it.
    void restart(core::time_point now) {
        const std::set<relay::connection_id> open = std::exchange(m_open, {});
        m_core = std::make_unique<lending::lender>(*this);
        ++m_generation;
        for (const relay::connection_id connection : open) {
            m_simulation.m_environment.m_close_connection(connection);
        }
        m_simulation.announce_to(*this);
        m_core->tick(now);
    }

    relay::connection_id external_id(lending::lender_connection_id connection) const {
        return relay::connection_id((m_index + 1) * connection_ids_per_lender +
                                    m_generation * connection_ids_per_process + connection.value());
    }

    void open_connection(lending::lender_connection_id connection, const registry::endpoint_report& target,
                         const std::optional<core::customer_name>& /*customer*/) override {
        m_open.insert(external_id(connection));
        m_simulation.m_environment.m_open_connection(external_id(connection), target);
    }
    void send(lending::lender_connection_id connection,
              const std::vector<relay::database_request>& requests) override {
        m_simulation.m_environment.m_send_requests(external_id(connection), requests);
    }
    void close_connection(lending::lender_connection_id connection) override {
        m_open.erase(external_id(connection));
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
    std::uint64_t m_generation = 0;
    std::set<relay::connection_id> m_open;
    std::unique_ptr<lending::lender> m_core;
};

class lending_simulation::borrower_host final : public lending::borrower_ports {
public:
    borrower_host(lending_simulation& simulation, std::uint64_t first_loan)
        : m_simulation(simulation), m_core(*this, first_loan) {}

    void send_loan_request(const core::entry_host_id& lender, lending::loan_id loan,
                           const core::endpoint_id& endpoint, const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests) override {
        lender_host& recipient = m_simulation.host_of(lender);
        m_simulation.deliver(
            lender, [simulation = &m_simulation, &recipient, loan, endpoint, terms, initial_requests] {
                recipient.m_core->on_loan_requested(borrower_id, loan, endpoint, terms, initial_requests,
                                                    simulation->m_environment.m_now());
            });
    }
    void send_requests(const core::entry_host_id& lender, lending::loan_id loan, std::uint32_t number,
                       const std::vector<relay::database_request>& requests) override {
        lender_host& recipient = m_simulation.host_of(lender);
        m_simulation.deliver(lender, [simulation = &m_simulation, &recipient, loan, number, requests] {
            recipient.m_core->on_requests_received(borrower_id, loan, number, requests,
                                                   simulation->m_environment.m_now());
        });
    }
    void send_loan_end(const core::entry_host_id& lender, lending::loan_id loan,
                       const lending::returned_state& state) override {
        lender_host& recipient = m_simulation.host_of(lender);
        lending::returned_state reported = state;
        reported.m_has_session_values =
            reported.m_has_session_values && !m_simulation.m_faults.m_hide_session_values;
        reported.m_in_transaction =
            reported.m_in_transaction && !m_simulation.m_faults.m_hide_open_transaction;
        m_simulation.deliver(lender, [simulation = &m_simulation, &recipient, loan, reported] {
            recipient.m_core->on_loan_ended(borrower_id, loan, reported, simulation->m_environment.m_now());
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
        m_simulation.m_environment.m_post([this, connection, reason] {
            m_simulation.m_core->on_loan_refused(connection, reason, m_simulation.m_environment.m_now());
        });
    }
    void on_loan_lost(relay::connection_id connection, const std::string& reason) override {
        m_simulation.m_environment.m_post([this, connection, reason] {
            m_simulation.m_core->on_loan_lost(connection, reason, m_simulation.m_environment.m_now());
        });
    }

    lending_simulation& m_simulation;
    lending::borrower m_core;
};

void lending_simulation::lender_host::send_grant(const core::entry_host_id&, lending::loan_id loan,
                                                 const lending::loan_offer& offer) {
    m_simulation.deliver(m_host_id, [this, loan, offer] {
        m_simulation.m_environment.m_on_host(
            [this, loan, offer] { m_simulation.m_borrower->m_core.on_loan_granted(m_host_id, loan, offer); });
    });
}

void lending_simulation::lender_host::send_refusal(const core::entry_host_id&, lending::loan_id loan,
                                                   lending::loan_refusal reason) {
    m_simulation.deliver(m_host_id, [this, loan, reason] {
        m_simulation.m_environment.m_on_host([this, loan, reason] {
            m_simulation.m_borrower->m_core.on_loan_refused(m_host_id, loan, reason,
                                                            m_simulation.m_environment.m_now());
        });
    });
}

void lending_simulation::lender_host::send_answer(const core::entry_host_id&, lending::loan_id loan,
                                                  std::uint32_t number,
                                                  const relay::database_answer& answer) {
    m_simulation.deliver(m_host_id, [this, loan, number, answer] {
        m_simulation.m_environment.m_on_host([this, loan, number, answer] {
            m_simulation.m_borrower->m_core.on_answer_received(m_host_id, loan, number, answer);
        });
    });
}

void lending_simulation::lender_host::send_loan_lost(const core::entry_host_id&, lending::loan_id loan,
                                                     const std::string& reason) {
    m_simulation.deliver(m_host_id, [this, loan, reason] {
        m_simulation.m_environment.m_on_host(
            [this, loan, reason] { m_simulation.m_borrower->m_core.on_loan_lost(m_host_id, loan, reason); });
    });
}

lending_simulation::lending_simulation(lending_environment environment, lending_faults faults)
    : m_environment(std::move(environment)), m_faults(faults) {
    for (std::size_t index = 0; index < lender_count; ++index) {
        m_lenders.push_back(std::make_unique<lender_host>(*this, index));
    }
    m_borrower = std::make_unique<borrower_host>(*this, 0);
}

lending_simulation::lender_host& lending_simulation::host_of(const core::entry_host_id& lender) {
    return **std::ranges::find_if(m_lenders, [&lender](const auto& one) { return one->m_host_id == lender; });
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
    if (m_faults.m_late_messages && m_environment.m_random_below(messages_per_late_one) == 0) {
        last = m_environment.m_now() + core::milliseconds(m_environment.m_random_below(4000));
    }
    last = std::max(last, m_environment.m_now() + core::milliseconds(m_environment.m_random_below(3)));
    m_environment.m_schedule(last - m_environment.m_now(), std::move(handler));
}

void lending_simulation::announce_endpoints(const std::vector<registry::endpoint_report>& listed) {
    m_listed = listed;
    lending::lenders_by_endpoint hosts;
    std::map<core::endpoint_id, std::uint32_t> kept;
    for (const registry::endpoint_report& report : listed) {
        for (std::size_t index = 0; index < lender_count; ++index) {
            hosts[report.m_id].push_back(lender_id(index));
        }
        kept[report.m_id] = 0;
    }
    for (const auto& lender : m_lenders) {
        announce_to(*lender);
    }
    m_borrower->m_core.set_lenders(std::move(hosts));
    m_core->set_lent_endpoints(kept, m_environment.m_now());
}

void lending_simulation::announce_to(lender_host& lender) {
    std::vector<lending::lent_endpoint> lent;
    for (const registry::endpoint_report& report : m_listed) {
        if (!m_faults.m_differing_lists || m_environment.m_random_below(5) != 0) {
            lent.push_back({report, 3, 2});
        }
    }
    lender.m_core->set_endpoints(lent, m_environment.m_now());
}

void lending_simulation::tick(bool borrower_runs) {
    for (const auto& lender : m_lenders) {
        lender->m_core->tick(m_environment.m_now());
    }
    if (borrower_runs) {
        m_borrower->m_core.tick(m_environment.m_now());
    }
}

void lending_simulation::restart_random_lender() {
    lender_host& restarted = *m_lenders[m_environment.m_random_below(m_lenders.size())];
    restarted.restart(m_environment.m_now());
    m_environment.m_schedule(core::milliseconds(m_environment.m_random_below(3000)), [this, &restarted] {
        m_environment.m_on_host([this, &restarted] {
            m_borrower->m_core.on_host_lost(restarted.m_host_id, m_environment.m_now());
        });
    });
}

void lending_simulation::restart_borrower() {
    m_borrower =
        std::make_unique<borrower_host>(*this, m_environment.m_random_below(1000) * loans_per_process);
    for (const auto& lender : m_lenders) {
        m_environment.m_schedule(
            core::milliseconds(m_environment.m_random_below(3000)),
            [this, host = lender.get()] { host->m_core->on_host_lost(borrower_id, m_environment.m_now()); });
    }
}

void lending_simulation::disconnect_random_lender() {
    lender_host& lost = *m_lenders[m_environment.m_random_below(m_lenders.size())];
    lost.m_core->on_host_lost(borrower_id, m_environment.m_now());
    m_environment.m_on_host(
        [this, &lost] { m_borrower->m_core.on_host_lost(lost.m_host_id, m_environment.m_now()); });
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

// Null if the process that opened the connection has ended.
lending_simulation::lender_host* lending_simulation::owner_of(relay::connection_id connection) const {
    lender_host* const host = m_lenders[connection.value() / connection_ids_per_lender - 1].get();
    return host->m_open.contains(connection) ? host : nullptr;
}

void lending_simulation::on_connection_opened(relay::connection_id connection,
                                              std::optional<core::history_position> position) {
    lender_host* const host = owner_of(connection);
    if (host == nullptr) {
        return;
    }
    host->m_core->on_connection_opened(
        lending::lender_connection_id(connection.value() % connection_ids_per_process), position,
        m_environment.m_now());
}

void lending_simulation::on_connection_answered(relay::connection_id connection,
                                                const relay::database_answer& answer) {
    lender_host* const host = owner_of(connection);
    if (host == nullptr) {
        return;
    }
    host->m_core->on_connection_answered(
        lending::lender_connection_id(connection.value() % connection_ids_per_process), answer,
        m_environment.m_now());
}

void lending_simulation::on_connection_failed(relay::connection_id connection) {
    lender_host* const host = owner_of(connection);
    if (host == nullptr) {
        return;
    }
    host->m_core->on_connection_failed(
        lending::lender_connection_id(connection.value() % connection_ids_per_process), std::nullopt,
        "connection lost", m_environment.m_now());
}

} // namespace mangoquay::test
