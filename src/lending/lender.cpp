// Links to databases and loans from their start to their end. The queue is in lender_queue.cpp.
#include "lending/lender.h"

#include <algorithm>
#include <utility>

namespace mangoquay::lending {
namespace {

// A new connection takes about 12 ms (sheet); a lost opening packet is repeated only after a second.
constexpr core::milliseconds opening_limit{700};
// Other lenders give connections back within this time, and a database drops those of a lost host after 3 s
// (sheet).
constexpr core::milliseconds full_pause{200};
constexpr core::milliseconds least_back_off{100};
constexpr core::milliseconds largest_back_off{1600};
// Beyond its share of the slots: a place is also held while messages of its loan are on their way, and a
// lender whose borrowers are busier than those of others uses what these leave.
constexpr std::uint32_t places_beyond_share = 3;
// A rollback or reset needs no slot, so a database that is reached answers within a round trip.
constexpr core::milliseconds clean_up_limit{400};

bool is_statement(const relay::database_request& request) {
    return request.m_kind == relay::request_kind::forward || request.m_kind == relay::request_kind::execute;
}

} // namespace

lent_endpoint share_of(const registry::endpoint_report& report, std::uint32_t links, std::size_t lenders) {
    const auto slots = static_cast<std::uint32_t>((report.m_slots + lenders - 1) / lenders);
    return {report, links, slots + places_beyond_share};
}

void lender::assign(const std::vector<lent_endpoint>& endpoints, core::time_point now) {
    for (auto& [id, record] : m_endpoints) {
        record.m_listed = false;
    }
    for (const lent_endpoint& one : endpoints) {
        endpoint_record& record = m_endpoints[one.m_report.m_id];
        if (record.m_lent.m_report.m_started_ms != one.m_report.m_started_ms) {
            record.m_failed = {};
            record.m_failed_step = {};
        }
        record.m_lent = one;
        record.m_listed = true;
    }
    std::vector<lender_link_id> unused;
    for (const auto& [id, on] : m_links) {
        if (on.m_state == link_state::idle && !m_endpoints.at(on.m_endpoint).m_listed) {
            unused.push_back(id);
        }
    }
    std::ranges::for_each(unused, [this](lender_link_id id) { drop_link(id); });
    for (auto& [id, record] : m_endpoints) {
        if (!record.m_listed) {
            refuse_all(record, loan_refusal::not_lending);
        } else {
            open_links_ahead(id, record, now);
        }
    }
    std::erase_if(m_endpoints,
                  [](const auto& one) { return !one.second.m_listed && one.second.m_open == 0; });
}

void lender::stop_lending() {
    m_stopping = true;
    for (auto& [id, record] : m_endpoints) {
        refuse_all(record, loan_refusal::not_lending);
    }
}

// As many as may run at once, so that the first borrowers do not wait for them.
void lender::open_links_ahead(const core::endpoint_id& endpoint, endpoint_record& record,
                              core::time_point now) {
    for (std::uint32_t open = record.m_open; open < record.m_lent.m_running; ++open) {
        open_link(endpoint, record, now);
    }
}

void lender::open_link(const core::endpoint_id& endpoint, endpoint_record& record, core::time_point now) {
    if (m_stopping || record.m_open >= record.m_lent.m_links || !record.m_full.passed(now) ||
        !record.m_failed.passed(now)) {
        return;
    }
    const lender_link_id id(++m_last_link);
    link_record opened;
    opened.m_endpoint = endpoint;
    opened.m_limit = core::deadline_after(now, opening_limit);
    m_links.emplace(id, std::move(opened));
    ++record.m_open;
    ++record.m_opening;
    ++m_counters.m_links_opened;
    m_ports.open_link(id, record.m_lent.m_report);
}

void lender::set_takes_place(link_record& on, bool takes) {
    if (on.m_takes_place != takes) {
        on.m_takes_place = takes;
        m_endpoints.at(on.m_endpoint).m_running += takes ? 1 : -1;
    }
}

void lender::worked(const core::entry_host_id& borrower, loan_id loan, std::uint32_t number,
                    const std::vector<relay::database_request>& requests, core::time_point now) {
    const auto found = m_loans.find({borrower, loan});
    if (found == m_loans.end()) {
        m_ports.lost(borrower, loan, "no such loan");
        return;
    }
    const lender_link_id id = found->second;
    link_record& on = m_links.at(id);
    if (number != on.m_next_work) {
        const core::endpoint_id endpoint = on.m_endpoint;
        m_ports.lost(borrower, loan, "a message of the loan was lost");
        end_loan(id);
        drop_link(id);
        serve(endpoint, now);
        return;
    }
    ++on.m_next_work;
    on.m_limit = core::deadline_after(now, silent_borrower_limit);
    for (const relay::database_request& request : requests) {
        on.m_expected.push_back(is_statement(request));
    }
    if (std::ranges::any_of(requests, is_statement)) {
        set_takes_place(on, true);
    }
    m_ports.send(id, requests);
}

void lender::ended(const core::entry_host_id& borrower, loan_id loan, const link_remains& remains,
                   core::time_point now) {
    const loan_key key{borrower, loan};
    const auto found = m_loans.find(key);
    if (found == m_loans.end()) {
        for (auto& [endpoint, record] : m_endpoints) {
            std::erase_if(record.m_waiting, [&key](const pending_loan& one) { return one.m_key == key; });
        }
        return;
    }
    const lender_link_id id = found->second;
    const core::endpoint_id endpoint = m_links.at(id).m_endpoint;
    end_loan(id);
    link_record& on = m_links.at(id);
    if (!remains.m_reusable || !on.m_expected.empty() || !m_endpoints.at(endpoint).m_listed) {
        drop_link(id);
    } else {
        clean(id, remains, now);
    }
    serve(endpoint, now);
}

void lender::clean(lender_link_id id, const link_remains& remains, core::time_point now) {
    link_record& on = m_links.at(id);
    std::vector<relay::database_request> requests;
    if (remains.m_in_transaction) {
        requests.push_back({.m_kind = relay::request_kind::rollback});
    }
    if (remains.m_holds_values) {
        requests.push_back({.m_kind = relay::request_kind::reset});
    }
    on.m_state = requests.empty() ? link_state::idle : link_state::cleaning;
    if (!requests.empty()) {
        on.m_limit = core::deadline_after(now, clean_up_limit);
        on.m_expected.assign(requests.size(), false);
        m_ports.send(id, requests);
    }
}

void lender::host_lost(const core::entry_host_id& host, core::time_point now) {
    std::vector<lender_link_id> lent;
    for (const auto& [key, id] : m_loans) {
        if (key.first == host) {
            lent.push_back(id);
        }
    }
    for (const lender_link_id id : lent) {
        end_loan(id);
        drop_link(id);
    }
    for (auto& [endpoint, record] : m_endpoints) {
        std::erase_if(record.m_waiting, [&host](const pending_loan& one) { return one.m_key.first == host; });
    }
    if (!lent.empty()) {
        tick(now);
    }
}

void lender::link_opened(lender_link_id id, std::optional<core::history_position> position,
                         core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    link_record& on = found->second;
    endpoint_record& record = m_endpoints.at(on.m_endpoint);
    --record.m_opening;
    record.m_failed_step = {};
    on.m_state = link_state::idle;
    on.m_heard = now;
    if (position) {
        record.m_position = position;
    }
    serve(on.m_endpoint, now);
}

void lender::link_answered(lender_link_id id, const relay::database_answer& answer, core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    link_record& on = found->second;
    if (on.m_expected.empty()) {
        link_failed(id, std::nullopt, "unexpected answer", now);
        return;
    }
    const bool was_statement = on.m_expected.front();
    on.m_expected.pop_front();
    on.m_heard = now;
    endpoint_record& record = m_endpoints.at(on.m_endpoint);
    if (answer.m_position) {
        record.m_position = answer.m_position;
    }
    const core::endpoint_id endpoint = on.m_endpoint;
    if (on.m_state == link_state::cleaning) {
        if (answer.m_refusal) {
            drop_link(id);
        } else if (on.m_expected.empty()) {
            on.m_state = link_state::idle;
        }
    } else {
        // Between the answer to a preparation and the statement that it was for, the link keeps its place.
        if (was_statement && std::ranges::find(on.m_expected, true) == on.m_expected.end()) {
            set_takes_place(on, false);
        }
        m_ports.answer(on.m_key.first, on.m_key.second, on.m_next_answer++, answer);
    }
    serve(endpoint, now);
}

void lender::link_failed(lender_link_id id, std::optional<relay::refusal> reason, const std::string& text,
                         core::time_point now) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    const link_record failed = found->second;
    endpoint_record& record = m_endpoints.at(failed.m_endpoint);
    if (failed.m_state == link_state::lent) {
        m_ports.lost(failed.m_key.first, failed.m_key.second, text);
        end_loan(id);
    }
    drop_link(id);
    if (reason == relay::refusal::too_many_connections) {
        record.m_full.m_at = now + full_pause;
    } else if (failed.m_state == link_state::opening) {
        record.m_failed_step =
            std::clamp<core::duration>(record.m_failed_step * 2, least_back_off, largest_back_off);
        record.m_failed.m_at = now + record.m_failed_step;
        if (record.m_open == record.m_opening) {
            refuse_all(record, loan_refusal::unreachable);
        }
    }
    serve(failed.m_endpoint, now);
}

void lender::end_loan(lender_link_id id) {
    link_record& on = m_links.at(id);
    set_takes_place(on, false);
    m_loans.erase(on.m_key);
    on.m_key = {};
}

void lender::drop_link(lender_link_id id) {
    const auto found = m_links.find(id);
    endpoint_record& record = m_endpoints.at(found->second.m_endpoint);
    set_takes_place(found->second, false);
    record.m_opening -= found->second.m_state == link_state::opening ? 1 : 0;
    --record.m_open;
    m_links.erase(found);
    m_ports.close_link(id);
}

void lender::tick(core::time_point now) {
    std::vector<std::pair<lender_link_id, link_state>> overdue;
    for (const auto& [id, on] : m_links) {
        if (on.m_state != link_state::idle && on.m_limit.passed(now)) {
            overdue.emplace_back(id, on.m_state);
        }
    }
    for (const auto& [id, state] : overdue) {
        link_failed(id, std::nullopt,
                    state == link_state::lent ? "the borrower is silent" : "no answer in time", now);
    }
    for (auto& [endpoint, record] : m_endpoints) {
        std::vector<pending_loan> left;
        for (const pending_loan& one : std::exchange(record.m_waiting, {})) {
            if (one.m_limit.passed(now)) {
                refuse(one, loan_refusal::busy);
            } else {
                left.push_back(one);
            }
        }
        record.m_waiting = std::move(left);
        serve(endpoint, now);
    }
}

} // namespace mangoquay::lending
