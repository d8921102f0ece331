// A lender of one database whose connections belong to customers, with a clock and a database that opens
// connections and answers statements after a fixed time. Checks each connection that the lender uses.
#pragma once

#include "lending/lender.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::test {

using customer_or_none = std::optional<core::customer_name>;

class lender_with_customers final : private lending::lender_ports {
public:
    lender_with_customers(std::uint32_t connections, std::uint32_t slots, bool by_customer = true);

    void set_share(std::uint32_t connections, std::uint32_t slots, bool by_customer = true);
    // Requests a loan for one statement. Returns its number.
    std::uint64_t request(const customer_or_none& customer, bool any_customer = false);
    // Time passes, and what is due happens.
    void advance(core::milliseconds passed);
    // The next attempts to open a connection are answered with TOOMANY, or fail.
    void refuse_openings(bool refuse) { m_refuses_openings = refuse; }
    void fail_openings(bool fail) { m_fails_openings = fail; }
    // The database closes all connections.
    void break_connections();

    [[nodiscard]] bool was_granted(std::uint64_t loan) const { return m_granted_at.contains(loan); }
    [[nodiscard]] bool was_refused(std::uint64_t loan) const { return m_refused.contains(loan); }
    [[nodiscard]] std::size_t open_count() const { return m_connections.size(); }
    [[nodiscard]] std::size_t open_count_of(const customer_or_none& customer) const;
    [[nodiscard]] const lending::lender_counters& counters() const { return m_lender.counters(); }
    // The first broken rule; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }

private:
    void open_connection(lending::lender_connection_id id, const registry::endpoint_report&,
                         const customer_or_none& customer) override;
    void send(lending::lender_connection_id id,
              const std::vector<relay::database_request>& requests) override;
    void close_connection(lending::lender_connection_id id) override;
    void send_grant(const core::entry_host_id&, lending::loan_id, const lending::loan_offer&) override {}
    void send_refusal(const core::entry_host_id&, lending::loan_id loan, lending::loan_refusal) override;
    void send_answer(const core::entry_host_id&, lending::loan_id, std::uint32_t,
                     const relay::database_answer&) override {}
    void send_loan_lost(const core::entry_host_id&, lending::loan_id, const std::string&) override {}
    void after(core::milliseconds delay, std::function<void()> task);

    std::uint32_t m_limit = 0;
    core::time_point m_now{std::chrono::hours(1)};
    std::multimap<core::time_point, std::function<void()>> m_tasks;
    std::map<lending::lender_connection_id, customer_or_none> m_connections;
    std::map<std::uint64_t, lending::loan_terms> m_terms;
    std::map<std::uint64_t, core::time_point> m_granted_at;
    std::map<std::uint64_t, bool> m_refused;
    std::uint64_t m_last_loan = 0;
    bool m_refuses_openings = false;
    bool m_fails_openings = false;
    std::string m_violation;
    lending::lender m_lender{*this};
};

} // namespace mangoquay::test
