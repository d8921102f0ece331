// The simulated database and borrower of a lender.
#include "support/lender_with_customers.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

// A new connection occupies a slot for this long on the target platform; short statements take as long.
constexpr core::milliseconds opening_time{12};
constexpr core::milliseconds answer_time{11};
constexpr core::milliseconds loan_time{12};
constexpr core::milliseconds max_wait{160};
constexpr core::milliseconds tick_period{10};
const core::endpoint_id endpoint("db-1");
const core::entry_host_id borrower("10.1.0.1");

} // namespace

lender_with_customers::lender_with_customers(std::uint32_t connections, std::uint32_t slots,
                                             bool by_customer) {
    set_share(connections, slots, by_customer);
    advance(core::milliseconds(50));
}

void lender_with_customers::set_share(std::uint32_t connections, std::uint32_t slots, bool by_customer) {
    registry::endpoint_report report;
    report.m_id = endpoint;
    report.m_service = core::service_name("ledger");
    report.m_slots = 4;
    m_limit = connections;
    m_lender.set_endpoints({{report, connections, slots, by_customer}}, m_now);
}

std::uint64_t lender_with_customers::request(const customer_or_none& customer, bool any_customer) {
    const std::uint64_t loan = ++m_last_loan;
    lending::loan_terms terms{.m_needs_slot = !any_customer, .m_expected_run_ms = 12, .m_max_wait = max_wait};
    terms.m_customer = customer;
    terms.m_any_customer = any_customer;
    m_terms[loan] = terms;
    m_lender.on_loan_requested(borrower, lending::loan_id(loan), endpoint, terms,
                               {{.m_id = std::to_string(loan), .m_argument = "READ item"}}, m_now);
    return loan;
}

void lender_with_customers::advance(core::milliseconds passed) {
    const core::time_point end = m_now + passed;
    while (m_now < end) {
        const core::time_point next = std::min(end, m_now + tick_period);
        while (!m_tasks.empty() && m_tasks.begin()->first <= next) {
            m_now = m_tasks.begin()->first;
            const auto task = m_tasks.extract(m_tasks.begin());
            task.mapped()();
        }
        m_now = next;
        m_lender.tick(m_now);
    }
}

void lender_with_customers::break_connections() {
    for (const auto& [id, customer] : std::map(m_connections)) {
        m_lender.on_connection_failed(id, std::nullopt, "closed by the database", m_now);
    }
}

std::size_t lender_with_customers::open_count_of(const customer_or_none& customer) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        m_connections, [&](const auto& connection) { return connection.second == customer; }));
}

void lender_with_customers::open_connection(lending::lender_connection_id id,
                                            const registry::endpoint_report&,
                                            const customer_or_none& customer) {
    m_connections[id] = customer;
    if (m_connections.size() > m_limit) {
        m_violation = "a connection beyond the limit was opened";
    }
    after(opening_time, [this, id] {
        if (!m_connections.contains(id)) {
            return;
        }
        if (m_refuses_openings || m_fails_openings) {
            const auto reason = m_refuses_openings ? std::optional(relay::refusal::too_many_connections)
                                                   : std::optional<relay::refusal>();
            m_lender.on_connection_failed(id, reason, "refused", m_now);
        } else {
            m_lender.on_connection_opened(id, std::nullopt, m_now);
        }
    });
}

void lender_with_customers::send(lending::lender_connection_id id,
                                 const std::vector<relay::database_request>& requests) {
    const std::uint64_t loan = std::stoull(requests.front().m_id);
    const lending::loan_terms& terms = m_terms.at(loan);
    m_granted_at[loan] = m_now;
    if (!terms.m_any_customer && m_connections.at(id) != terms.m_customer) {
        m_violation = "a loan was granted on a connection of another customer";
    }
    after(answer_time, [this, id] {
        if (m_connections.contains(id)) {
            m_lender.on_connection_answered(id, {}, m_now);
        }
    });
    after(loan_time, [this, loan] { m_lender.on_loan_ended(borrower, lending::loan_id(loan), {}, m_now); });
}

void lender_with_customers::close_connection(lending::lender_connection_id id) {
    m_connections.erase(id);
}

void lender_with_customers::send_refusal(const core::entry_host_id&, lending::loan_id loan,
                                         lending::loan_refusal) {
    m_refused[loan.value()] = true;
}

void lender_with_customers::after(core::milliseconds delay, std::function<void()> task) {
    m_tasks.emplace(m_now + delay, std::move(task));
}

} // namespace mangoquay::test
