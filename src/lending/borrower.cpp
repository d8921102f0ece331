// Life cycle of loans and choice of lenders.
#include "lending/borrower.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangoquay::lending {
namespace {

// Allowance for the message delay between two zones: a lender answers at the latest when the requested wait
// has passed.
constexpr core::milliseconds reply_margin{60};
// A lender that did not answer may be suspended or restarting, which takes seconds.
constexpr core::milliseconds lender_back_off{700};
// A lender that is not the customer's first choice rarely has an idle connection of the customer, and a new
// one occupies a slot for about as long as a statement runs. So the first choice may be this much more
// loaded.
constexpr std::uint32_t max_extra_load_of_first_choice = 6;
// A lender reports its queue only with a grant. A customer whose first choice was loaded and is not asked any
// more hears of no improvement, so the report is ignored after a few times the wait of a statement.
constexpr core::milliseconds queue_length_lifetime{500};
// No lender is asked with less than this left of the wait: the message delay would use it up.
constexpr core::milliseconds min_wait{5};

} // namespace

std::optional<core::entry_host_id> borrower::choose_lender(const loan_record& loan, core::time_point now) {
    const auto lenders = m_lenders.find(loan.m_endpoint);
    if (lenders == m_lenders.end()) {
        return std::nullopt;
    }
    if (loan.m_terms.m_customer) {
        return choose_lender_of_customer(loan, lenders->second, now);
    }
    std::optional<core::entry_host_id> best;
    std::tuple<std::uint32_t, std::uint64_t> lowest_cost{};
    ++m_rotation;
    for (std::size_t index = 0; index < lenders->second.size(); ++index) {
        const core::entry_host_id& host = lenders->second[index];
        const lender_record& record = m_lender_records[host];
        if (loan.m_tried.contains(host) || !record.m_avoided_until.passed(now)) {
            continue;
        }
        const std::tuple cost(record.m_queue_length + record.m_pending_requests,
                              (index + m_rotation) % lenders->second.size());
        if (!best || cost < lowest_cost) {
            best = host;
            lowest_cost = cost;
        }
    }
    return best;
}

std::optional<core::entry_host_id>
borrower::choose_lender_of_customer(const loan_record& loan, const std::vector<core::entry_host_id>& lenders,
                                    core::time_point now) {
    std::optional<core::entry_host_id> best;
    std::uint32_t lowest_cost = 0;
    std::uint32_t rank = 0;
    for (const core::entry_host_id& host :
         rank_for_customer(lenders, loan.m_endpoint, *loan.m_terms.m_customer)) {
        const lender_record& record = m_lender_records[host];
        if (loan.m_tried.contains(host) || !record.m_avoided_until.passed(now)) {
            continue;
        }
        const std::uint32_t queued = record.m_queue_length_until.passed(now) ? 0 : record.m_queue_length;
        const std::uint32_t cost =
            queued + record.m_pending_requests + rank++ * max_extra_load_of_first_choice;
        if (!best || cost < lowest_cost) {
            best = host;
            lowest_cost = cost;
        }
    }
    return best;
}

void borrower::borrow(relay::connection_id connection, const core::endpoint_id& endpoint,
                      const loan_terms& terms, const std::vector<relay::database_request>& initial_requests,
                      core::time_point now) {
    m_latest = now;
    const loan_id id(++m_last_loan);
    loan_record& loan = m_loans[id];
    loan.m_connection = connection;
    loan.m_endpoint = endpoint;
    loan.m_terms = terms;
    loan.m_initial_requests = initial_requests;
    loan.m_next_request_number = initial_requests.empty() ? 0 : 1;
    loan.m_wait_deadline = core::deadline_after(now, terms.m_max_wait);
    m_loan_by_connection[connection] = id;
    request_from_next_lender(id, now);
}

void borrower::request_from_next_lender(loan_id id, core::time_point now) {
    loan_record& loan = m_loans.at(id);
    loan.m_terms.m_max_wait = loan.m_wait_deadline.remaining(now);
    const auto host = loan.m_terms.m_max_wait < min_wait ? std::nullopt : choose_lender(loan, now);
    if (!host) {
        const relay::connection_id connection = loan.m_connection;
        const loan_refusal reason = loan.m_last_refusal;
        remove_loan(id);
        m_ports.on_loan_refused(connection, reason);
        return;
    }
    loan.m_lender = *host;
    loan.m_tried.insert(*host);
    loan.m_reply_deadline = core::deadline_after(now, loan.m_terms.m_max_wait + reply_margin);
    ++m_lender_records[*host].m_pending_requests;
    m_ports.send_loan_request(*host, id, loan.m_endpoint, loan.m_terms, loan.m_initial_requests);
}

void borrower::send(relay::connection_id connection, const std::vector<relay::database_request>& requests) {
    const loan_id id = m_loan_by_connection.at(connection);
    loan_record& loan = m_loans.at(id);
    m_ports.send_requests(loan.m_lender, id, loan.m_next_request_number++, requests);
}

void borrower::return_connection(relay::connection_id connection, const returned_state& state) {
    const loan_id id = m_loan_by_connection.at(connection);
    const core::entry_host_id lender = m_loans.at(id).m_lender;
    remove_loan(id);
    m_ports.send_loan_end(lender, id, state);
}

void borrower::close(relay::connection_id connection) {
    const loan_id id = m_loan_by_connection.at(connection);
    const core::entry_host_id lender = m_loans.at(id).m_lender;
    const bool nothing_sent = m_loans.at(id).m_next_request_number == 0;
    remove_loan(id);
    m_ports.send_loan_end(lender, id, {.m_reusable = nothing_sent});
}

borrower::loan_record* borrower::find_loan(const core::entry_host_id& lender, loan_id id) {
    const auto found = m_loans.find(id);
    return found == m_loans.end() || found->second.m_lender != lender ? nullptr : &found->second;
}

void borrower::on_reply(const loan_record& loan) {
    lender_record& record = m_lender_records[loan.m_lender];
    record.m_pending_requests -= record.m_pending_requests > 0 ? 1 : 0;
}

void borrower::remove_loan(loan_id id) {
    const auto found = m_loans.find(id);
    if (!found->second.m_granted && !found->second.m_lender.value().empty()) {
        on_reply(found->second);
    }
    m_loan_by_connection.erase(found->second.m_connection);
    m_loans.erase(found);
}

void borrower::on_loan_granted(const core::entry_host_id& lender, loan_id id, const loan_offer& offer) {
    m_lender_records[lender].m_queue_length = offer.m_queue_length;
    m_lender_records[lender].m_queue_length_until = core::deadline_after(m_latest, queue_length_lifetime);
    loan_record* loan = find_loan(lender, id);
    if (loan == nullptr || loan->m_granted) {
        // The loan was cancelled, or requested from another lender in the meantime.
        m_ports.send_loan_end(lender, id, {});
        return;
    }
    on_reply(*loan);
    loan->m_granted = true;
    m_ports.on_connection_lent(loan->m_connection, offer);
}

void borrower::on_answer_received(const core::entry_host_id& lender, loan_id id, std::uint32_t number,
                                  const relay::database_answer& answer) {
    loan_record* loan = find_loan(lender, id);
    if (loan == nullptr) {
        return;
    }
    if (number != loan->m_next_answer_number) {
        const relay::connection_id connection = loan->m_connection;
        remove_loan(id);
        m_ports.send_loan_end(lender, id, {.m_reusable = false});
        m_ports.on_loan_lost(connection, "an answer of the loan was lost");
        return;
    }
    ++loan->m_next_answer_number;
    const relay::connection_id connection = loan->m_connection;
    if (!loan->m_granted) {
        on_reply(*loan);
        loan->m_granted = true;
        m_ports.on_connection_lent(connection, {.m_position = answer.m_position});
    }
    m_ports.on_connection_answered(connection, answer);
}

void borrower::on_loan_refused(const core::entry_host_id& lender, loan_id id, loan_refusal reason,
                               core::time_point now) {
    loan_record* loan = find_loan(lender, id);
    if (reason == loan_refusal::not_lending) {
        m_lender_records[lender].m_avoided_until = core::deadline_after(now, lender_back_off);
    }
    if (loan == nullptr || loan->m_granted) {
        return;
    }
    on_reply(*loan);
    loan->m_lender = {};
    loan->m_last_refusal = reason;
    request_from_next_lender(id, now);
}

void borrower::on_loan_lost(const core::entry_host_id& lender, loan_id id, const std::string& reason) {
    loan_record* loan = find_loan(lender, id);
    if (loan == nullptr) {
        return;
    }
    const relay::connection_id connection = loan->m_connection;
    remove_loan(id);
    m_ports.on_loan_lost(connection, reason);
}

void borrower::on_host_lost(const core::entry_host_id& host, core::time_point now) {
    m_lender_records[host].m_avoided_until = core::deadline_after(now, lender_back_off);
    std::vector<loan_id> affected;
    for (const auto& [id, loan] : m_loans) {
        if (loan.m_lender == host) {
            affected.push_back(id);
        }
    }
    for (const loan_id id : affected) {
        const auto found = m_loans.find(id);
        if (found == m_loans.end()) {
            continue; // Ended while the loss of an earlier loan was handled.
        }
        if (found->second.m_granted) {
            on_loan_lost(host, id, "the lender of the link is lost");
        } else {
            on_loan_refused(host, id, loan_refusal::not_lending, now);
        }
    }
}

void borrower::tick(core::time_point now) {
    m_latest = now;
    std::vector<loan_id> overdue;
    for (const auto& [id, loan] : m_loans) {
        if (!loan.m_granted && loan.m_reply_deadline.passed(now)) {
            overdue.push_back(id);
        }
    }
    for (const loan_id id : overdue) {
        if (const auto found = m_loans.find(id); found != m_loans.end()) {
            const core::entry_host_id host = found->second.m_lender;
            m_ports.send_loan_end(host, id, {.m_reusable = false});
            on_loan_refused(host, id, loan_refusal::not_lending, now);
        }
    }
}

} // namespace mangoquay::lending
