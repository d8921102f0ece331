// Loans and the choice of lenders.
#include "lending/borrower.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangoquay::lending {
namespace {

// A lender answers at the latest when the borrower's wait has passed; the rest is the way between two zones.
constexpr core::milliseconds reply_margin{60};
// A lender that did not answer may be frozen or restarting, which takes seconds.
constexpr core::milliseconds avoided_for{700};
// A lender with this much less left of a wait than of the way to it is not asked any more.
constexpr core::milliseconds least_wait{5};

} // namespace

std::optional<core::entry_host_id> borrower::choose(const loan_record& loan, core::time_point now) {
    const auto lenders = m_lenders.find(loan.m_endpoint);
    if (lenders == m_lenders.end()) {
        return std::nullopt;
    }
    std::optional<core::entry_host_id> best;
    std::tuple<std::uint32_t, std::uint64_t> least{};
    ++m_turn;
    for (std::size_t place = 0; place < lenders->second.size(); ++place) {
        const core::entry_host_id& host = lenders->second[place];
        const lender_record& known = m_known[host];
        if (loan.m_tried.contains(host) || !known.m_avoided.passed(now)) {
            continue;
        }
        const std::tuple cost(known.m_waiting + known.m_asked, (place + m_turn) % lenders->second.size());
        if (!best || cost < least) {
            best = host;
            least = cost;
        }
    }
    return best;
}

void borrower::open(relay::connection_id link, const core::endpoint_id& endpoint, const loan_terms& terms,
                    const std::vector<relay::database_request>& first_work, core::time_point now) {
    const loan_id id(++m_last_loan);
    loan_record& loan = m_loans[id];
    loan.m_link = link;
    loan.m_endpoint = endpoint;
    loan.m_terms = terms;
    loan.m_first_work = first_work;
    loan.m_next_work = first_work.empty() ? 0 : 1;
    loan.m_useful_until = core::deadline_after(now, terms.m_wait);
    m_by_link[link] = id;
    ask_next(id, now);
}

void borrower::ask_next(loan_id id, core::time_point now) {
    loan_record& loan = m_loans.at(id);
    loan.m_terms.m_wait = loan.m_useful_until.remaining(now);
    const auto host = loan.m_terms.m_wait < least_wait ? std::nullopt : choose(loan, now);
    if (!host) {
        const relay::connection_id link = loan.m_link;
        const loan_refusal reason = loan.m_refusal;
        forget(id);
        m_ports.refused(link, reason);
        return;
    }
    loan.m_lender = *host;
    loan.m_tried.insert(*host);
    loan.m_reply_by = core::deadline_after(now, loan.m_terms.m_wait + reply_margin);
    ++m_known[*host].m_asked;
    m_ports.ask(*host, id, loan.m_endpoint, loan.m_terms, loan.m_first_work);
}

void borrower::send(relay::connection_id link, const std::vector<relay::database_request>& requests) {
    const loan_id id = m_by_link.at(link);
    loan_record& loan = m_loans.at(id);
    m_ports.work(loan.m_lender, id, loan.m_next_work++, requests);
}

void borrower::give_back(relay::connection_id link, const link_remains& remains) {
    const loan_id id = m_by_link.at(link);
    const core::entry_host_id lender = m_loans.at(id).m_lender;
    forget(id);
    m_ports.end(lender, id, remains);
}

void borrower::close(relay::connection_id link) {
    const loan_id id = m_by_link.at(link);
    const core::entry_host_id lender = m_loans.at(id).m_lender;
    const bool untouched = m_loans.at(id).m_next_work == 0;
    forget(id);
    m_ports.end(lender, id, {.m_reusable = untouched});
}

borrower::loan_record* borrower::find(const core::entry_host_id& lender, loan_id id) {
    const auto found = m_loans.find(id);
    return found == m_loans.end() || found->second.m_lender != lender ? nullptr : &found->second;
}

void borrower::replied(const loan_record& loan) {
    lender_record& known = m_known[loan.m_lender];
    known.m_asked -= known.m_asked > 0 ? 1 : 0;
}

void borrower::forget(loan_id id) {
    const auto found = m_loans.find(id);
    if (!found->second.m_granted && !found->second.m_lender.value().empty()) {
        replied(found->second);
    }
    m_by_link.erase(found->second.m_link);
    m_loans.erase(found);
}

void borrower::granted(const core::entry_host_id& lender, loan_id id, const loan_offer& offer) {
    m_known[lender].m_waiting = offer.m_waiting;
    loan_record* loan = find(lender, id);
    if (loan == nullptr || loan->m_granted) {
        m_ports.end(lender, id, {}); // asked of another lender meanwhile, or given up
        return;
    }
    replied(*loan);
    loan->m_granted = true;
    m_ports.opened(loan->m_link, offer);
}

void borrower::answered(const core::entry_host_id& lender, loan_id id, std::uint32_t number,
                        const relay::database_answer& answer) {
    loan_record* loan = find(lender, id);
    if (loan == nullptr) {
        return;
    }
    if (number != loan->m_next_answer) {
        const relay::connection_id link = loan->m_link;
        forget(id);
        m_ports.end(lender, id, {.m_reusable = false});
        m_ports.lost(link, "an answer of the loan was lost");
        return;
    }
    ++loan->m_next_answer;
    const relay::connection_id link = loan->m_link;
    if (!loan->m_granted) {
        replied(*loan);
        loan->m_granted = true;
        m_ports.opened(link, {.m_position = answer.m_position});
    }
    m_ports.answered(link, answer);
}

void borrower::refused(const core::entry_host_id& lender, loan_id id, loan_refusal reason,
                       core::time_point now) {
    loan_record* loan = find(lender, id);
    if (reason == loan_refusal::not_lending) {
        m_known[lender].m_avoided = core::deadline_after(now, avoided_for);
    }
    if (loan == nullptr || loan->m_granted) {
        return;
    }
    replied(*loan);
    loan->m_lender = {};
    loan->m_refusal = reason;
    ask_next(id, now);
}

void borrower::lost(const core::entry_host_id& lender, loan_id id, const std::string& reason) {
    loan_record* loan = find(lender, id);
    if (loan == nullptr) {
        return;
    }
    const relay::connection_id link = loan->m_link;
    forget(id);
    m_ports.lost(link, reason);
}

void borrower::host_lost(const core::entry_host_id& host, core::time_point now) {
    m_known[host].m_avoided = core::deadline_after(now, avoided_for);
    std::vector<loan_id> affected;
    for (const auto& [id, loan] : m_loans) {
        if (loan.m_lender == host) {
            affected.push_back(id);
        }
    }
    for (const loan_id id : affected) {
        const auto found = m_loans.find(id);
        if (found == m_loans.end()) {
            continue; // ended by what the loss of another one led to
        }
        if (found->second.m_granted) {
            lost(host, id, "the lender of the link is lost");
        } else {
            refused(host, id, loan_refusal::not_lending, now);
        }
    }
}

void borrower::tick(core::time_point now) {
    std::vector<loan_id> overdue;
    for (const auto& [id, loan] : m_loans) {
        if (!loan.m_granted && loan.m_reply_by.passed(now)) {
            overdue.push_back(id);
        }
    }
    for (const loan_id id : overdue) {
        if (const auto found = m_loans.find(id); found != m_loans.end()) {
            const core::entry_host_id host = found->second.m_lender;
            m_ports.end(host, id, {.m_reusable = false});
            refused(host, id, loan_refusal::not_lending, now);
        }
    }
}

} // namespace mangoquay::lending
