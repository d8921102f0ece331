// Those that wait for a link to a database: refusals, order and grants.
#include "lending/lender.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangoquay::lending {
namespace {

auto order_of(bool needs_slot, bool urgent, double expected_ms, core::time_point arrived) {
    return std::tuple(needs_slot, !urgent, expected_ms, arrived);
}

} // namespace

void lender::asked(const core::entry_host_id& borrower, loan_id loan, const core::endpoint_id& endpoint,
                   const loan_terms& terms, const std::vector<relay::database_request>& first_work,
                   core::time_point now) {
    const pending_loan wanted{
        {borrower, loan}, terms, first_work, now, core::deadline_after(now, terms.m_wait)};
    const auto found = m_endpoints.find(endpoint);
    if (m_stopping || found == m_endpoints.end() || !found->second.m_listed) {
        refuse(wanted, loan_refusal::not_lending);
        return;
    }
    endpoint_record& record = found->second;
    if (record.m_open == record.m_opening && !record.m_failed.passed(now)) {
        refuse(wanted, loan_refusal::unreachable);
        return;
    }
    if (expected_wait(record, wanted) > terms.m_wait) {
        refuse(wanted, loan_refusal::busy);
        return;
    }
    record.m_waiting.push_back(wanted);
    serve(endpoint, now);
}

core::duration lender::expected_wait(const endpoint_record& record, const pending_loan& one) {
    if (record.m_running < record.m_lent.m_running || !one.m_terms.m_needs_slot) {
        return {};
    }
    double before_ms = 0.0;
    for (const pending_loan& other : record.m_waiting) {
        if (other.m_terms.m_urgent > one.m_terms.m_urgent ||
            (other.m_terms.m_urgent == one.m_terms.m_urgent &&
             other.m_terms.m_expected_ms <= one.m_terms.m_expected_ms)) {
            before_ms += other.m_terms.m_expected_ms;
        }
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(before_ms / std::max(1U, record.m_lent.m_running)));
}

void lender::serve(const core::endpoint_id& endpoint, core::time_point now) {
    endpoint_record& record = m_endpoints.at(endpoint);
    while (!record.m_waiting.empty()) {
        const auto first = std::ranges::min_element(record.m_waiting, {}, [](const pending_loan& one) {
            return order_of(one.m_terms.m_needs_slot, one.m_terms.m_urgent, one.m_terms.m_expected_ms,
                            one.m_arrived);
        });
        // What is urgent does not wait for what was sent before.
        const std::uint32_t places = record.m_lent.m_running + (first->m_terms.m_urgent ? 1 : 0);
        if (first->m_terms.m_needs_slot && record.m_running >= places) {
            return;
        }
        const auto id = idle_link(endpoint);
        if (!id) {
            if (record.m_opening < record.m_waiting.size()) {
                open_link(endpoint, record, now);
            }
            return;
        }
        const pending_loan given = *first;
        record.m_waiting.erase(first);
        grant(given, *id, now);
    }
}

// The one used last: it has most likely not gone silent.
std::optional<lender_link_id> lender::idle_link(const core::endpoint_id& endpoint) const {
    std::optional<lender_link_id> best;
    for (const auto& [id, on] : m_links) {
        if (on.m_endpoint == endpoint && on.m_state == link_state::idle &&
            (!best || m_links.at(*best).m_heard < on.m_heard)) {
            best = id;
        }
    }
    return best;
}

void lender::grant(const pending_loan& given, lender_link_id id, core::time_point now) {
    link_record& on = m_links.at(id);
    on.m_state = link_state::lent;
    on.m_key = given.m_key;
    on.m_next_work = 0;
    on.m_next_answer = 0;
    on.m_limit = core::deadline_after(now, silent_borrower_limit);
    set_takes_place(on, given.m_terms.m_needs_slot);
    m_loans[given.m_key] = id;
    ++m_counters.m_granted;
    if (!given.m_first_work.empty()) {
        worked(given.m_key.first, given.m_key.second, 0, given.m_first_work, now);
        return;
    }
    const endpoint_record& record = m_endpoints.at(on.m_endpoint);
    m_ports.grant(given.m_key.first, given.m_key.second,
                  {now - on.m_heard, record.m_position, static_cast<std::uint32_t>(record.m_waiting.size())});
}

void lender::refuse(const pending_loan& refused, loan_refusal reason) {
    ++m_counters.m_refused;
    m_ports.refuse(refused.m_key.first, refused.m_key.second, reason);
}

void lender::refuse_all(endpoint_record& record, loan_refusal reason) {
    for (const pending_loan& one : std::exchange(record.m_waiting, {})) {
        refuse(one, reason);
    }
}

} // namespace mangoquay::lending
