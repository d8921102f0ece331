// Queue of loan requests: refusals, order and grants.
#include "lending/lender.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangoquay::lending {
namespace {

// An opening connection occupies a slot of the database for about 12 ms, as long as a short statement.
constexpr std::uint32_t max_opening_connections = 2;
// Two customers that take connections from each other would pay an opening for each statement. A connection
// in steady use is used again within a few service times.
constexpr core::milliseconds min_unused_time{100};
// At a lender whose connections are all in steady use, none is unused for that long. A customer that was not
// served for this time replaces one all the same, so that it is not kept out by busier customers.
constexpr core::milliseconds max_time_without_service{500};

auto order_of(bool needs_slot, bool urgent, double expected_ms, core::time_point arrived) {
    return std::tuple(needs_slot, !urgent, expected_ms, arrived);
}

} // namespace

void lender::on_loan_requested(const core::entry_host_id& borrower, loan_id loan,
                               const core::endpoint_id& endpoint, const loan_terms& terms,
                               const std::vector<relay::database_request>& initial_requests,
                               core::time_point now) {
    const pending_loan request{
        {borrower, loan}, terms, initial_requests, now, core::deadline_after(now, terms.m_max_wait)};
    const auto found = m_endpoints.find(endpoint);
    if (m_stopping || found == m_endpoints.end() || !found->second.m_listed) {
        refuse(request, loan_refusal::not_lending);
        return;
    }
    endpoint_record& record = found->second;
    if (record.m_open_count == record.m_opening_count && !record.m_failed_until.passed(now)) {
        refuse(request, loan_refusal::unreachable);
        return;
    }
    if (expected_wait(record, request) > terms.m_max_wait) {
        refuse(request, loan_refusal::busy);
        return;
    }
    record.m_queue.push_back(request);
    serve_queue(endpoint, now);
}

core::duration lender::expected_wait(const endpoint_record& record, const pending_loan& loan) {
    if (record.m_occupied_slots < record.m_lent.m_max_running || !loan.m_terms.m_needs_slot) {
        return {};
    }
    double before_ms = 0.0;
    for (const pending_loan& other : record.m_queue) {
        if (other.m_terms.m_urgent > loan.m_terms.m_urgent ||
            (other.m_terms.m_urgent == loan.m_terms.m_urgent &&
             other.m_terms.m_expected_run_ms <= loan.m_terms.m_expected_run_ms)) {
            before_ms += other.m_terms.m_expected_run_ms;
        }
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(before_ms / std::max(1U, record.m_lent.m_max_running)));
}

void lender::serve_queue(const core::endpoint_id& endpoint, core::time_point now) {
    endpoint_record& record = m_endpoints.at(endpoint);
    close_surplus_connections(endpoint, record, now);
    while (!record.m_queue.empty() && grant_next(endpoint, record, now)) {
    }
}

bool lender::grant_next(const core::endpoint_id& endpoint, endpoint_record& record, core::time_point now) {
    std::vector<const pending_loan*> waiting;
    for (const pending_loan& loan : record.m_queue) {
        waiting.push_back(&loan);
    }
    std::ranges::sort(waiting, {}, [](const pending_loan* loan) {
        return order_of(loan->m_terms.m_needs_slot, loan->m_terms.m_urgent, loan->m_terms.m_expected_run_ms,
                        loan->m_arrival);
    });
    std::vector<const pending_loan*> missing;
    for (const pending_loan* next : waiting) {
        // One slot more for an urgent request, so that it does not wait for statements sent earlier.
        const std::uint32_t slots = record.m_lent.m_max_running + (next->m_terms.m_urgent ? 1 : 0);
        if (next->m_terms.m_needs_slot && record.m_occupied_slots >= slots) {
            break;
        }
        if (const auto id = find_idle_connection(endpoint, next->m_terms)) {
            const pending_loan granted = *next;
            record.m_queue.erase(record.m_queue.begin() + (next - record.m_queue.data()));
            m_counters.m_granted_idle += granted.m_terms.m_customer && granted.m_arrival == now ? 1 : 0;
            grant(granted, *id, now);
            return true;
        }
        missing.push_back(next);
        if (!record.m_lent.m_by_customer) {
            break; // No other request would find one either.
        }
    }
    open_missing_connections(endpoint, record, missing, now);
    return false;
}

void lender::open_missing_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                                      const std::vector<const pending_loan*>& missing, core::time_point now) {
    if (!record.m_lent.m_by_customer) {
        if (!missing.empty() && record.m_opening_count < record.m_queue.size()) {
            open_connection(endpoint, record, std::nullopt, now);
        }
        return;
    }
    if (m_stopping || !record.m_full_until.passed(now) || !record.m_failed_until.passed(now)) {
        return; // None is closed while none can be opened in its place.
    }
    std::map<std::optional<core::customer_name>, std::uint32_t> opening;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_endpoint == endpoint && connection.m_state == connection_state::opening) {
            ++opening[connection.m_customer];
        }
    }
    for (const pending_loan* loan : missing) {
        std::uint32_t& expected = opening[loan->m_terms.m_customer];
        if (expected > 0) {
            --expected; // A connection that is being opened is for this one.
            continue;
        }
        if (record.m_opening_count >= max_opening_connections) {
            return;
        }
        const bool full = record.m_open_count >= record.m_lent.m_connections;
        if (full && (loan->m_terms.m_any_customer ||
                     !replace_connection(endpoint, record, loan->m_terms.m_customer, now))) {
            continue;
        }
        open_connection(endpoint, record, loan->m_terms.m_customer, now);
    }
}

bool lender::replace_connection(const core::endpoint_id& endpoint, endpoint_record& record,
                                const std::optional<core::customer_name>& customer, core::time_point now) {
    const auto served = record.m_served_at.find(customer);
    const bool served_recently =
        served != record.m_served_at.end() && served->second + max_time_without_service > now;
    if (!close_unused_connection(endpoint, served_recently ? min_unused_time : core::milliseconds(0), now)) {
        return false;
    }
    ++m_counters.m_connections_replaced;
    record.m_served_at[customer] = now;
    return true;
}

bool lender::close_unused_connection(const core::endpoint_id& endpoint, core::duration unused_time,
                                     core::time_point now) {
    std::optional<lender_connection_id> oldest;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_endpoint == endpoint && connection.m_state == connection_state::idle &&
            connection.m_last_used + unused_time <= now &&
            (!oldest || connection.m_last_used < m_connections.at(*oldest).m_last_used)) {
            oldest = id;
        }
    }
    if (!oldest) {
        return false;
    }
    drop_connection(*oldest);
    return true;
}

void lender::close_surplus_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                                       core::time_point now) {
    while (record.m_lent.m_by_customer && record.m_open_count > record.m_lent.m_connections &&
           close_unused_connection(endpoint, core::duration{}, now)) {
    }
    if (record.m_lent.m_by_customer || !record.m_has_customers) {
        return;
    }
    std::vector<lender_connection_id> unusable;
    record.m_has_customers = false;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_endpoint == endpoint && connection.m_customer) {
            record.m_has_customers = true;
            if (connection.m_state == connection_state::idle) {
                unusable.push_back(id);
            }
        }
    }
    std::ranges::for_each(unusable, [this](lender_connection_id id) { drop_connection(id); });
}

void lender::forget_customers(endpoint_record& record, core::time_point now) {
    std::erase_if(record.m_served_at,
                  [now](const auto& entry) { return entry.second + max_time_without_service <= now; });
}

// Prefers the connection with the latest answer, because it is the most likely to be alive.
std::optional<lender_connection_id> lender::find_idle_connection(const core::endpoint_id& endpoint,
                                                                 const loan_terms& terms) const {
    std::optional<lender_connection_id> best;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_endpoint == endpoint && connection.m_state == connection_state::idle &&
            (terms.m_any_customer || connection.m_customer == terms.m_customer) &&
            (!best || m_connections.at(*best).m_last_contact < connection.m_last_contact)) {
            best = id;
        }
    }
    return best;
}

void lender::grant(const pending_loan& pending, lender_connection_id id, core::time_point now) {
    connection_record& connection = m_connections.at(id);
    if (endpoint_record& record = m_endpoints.at(connection.m_endpoint); record.m_lent.m_by_customer) {
        record.m_served_at[connection.m_customer] = now;
    }
    connection.m_state = connection_state::lent;
    connection.m_key = pending.m_key;
    connection.m_next_request_number = 0;
    connection.m_next_answer_number = 0;
    connection.m_deadline = core::deadline_after(now, borrower_timeout);
    set_occupies_slot(connection, pending.m_terms.m_needs_slot);
    m_loans[pending.m_key] = id;
    ++m_counters.m_granted;
    if (!pending.m_initial_requests.empty()) {
        on_requests_received(pending.m_key.first, pending.m_key.second, 0, pending.m_initial_requests, now);
        return;
    }
    const endpoint_record& record = m_endpoints.at(connection.m_endpoint);
    m_ports.send_grant(pending.m_key.first, pending.m_key.second,
                       {now - connection.m_last_contact, record.m_position,
                        static_cast<std::uint32_t>(record.m_queue.size())});
}

void lender::refuse(const pending_loan& refused, loan_refusal reason) {
    ++m_counters.m_refused;
    m_ports.send_refusal(refused.m_key.first, refused.m_key.second, reason);
}

void lender::refuse_all(endpoint_record& record, loan_refusal reason) {
    for (const pending_loan& loan : std::exchange(record.m_queue, {})) {
        refuse(loan, reason);
    }
}

} // namespace mangoquay::lending
