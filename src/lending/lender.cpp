// Life cycle of database connections and loans. The queue is in lender_queue.cpp.
#include "lending/lender.h"

#include <algorithm>
#include <utility>

namespace mangoquay::lending {
namespace {

// A new connection takes about 12 ms; a lost SYN packet is retransmitted only after 1 s.
constexpr core::milliseconds connect_timeout{700};
// Time without new connections after the database had none left: other lenders return theirs within this
// time, and a database drops the connections of a failed host after 3 s.
constexpr core::milliseconds full_back_off{200};
constexpr core::milliseconds min_back_off{100};
constexpr core::milliseconds max_back_off{1600};
// Slots that a lender may occupy beyond its share: a slot is also occupied while messages of its loan are in
// transit, and a lender with busier borrowers than the others uses the slots that these leave free.
constexpr std::uint32_t extra_slots = 3;
// A rollback or reset needs no slot, so a reachable database answers within one round trip.
constexpr core::milliseconds clean_up_timeout{400};

bool changes_session_state(const relay::database_request& request) {
    return request.m_kind == relay::request_kind::set_value || request.m_kind == relay::request_kind::prepare;
}

bool is_statement(const relay::database_request& request) {
    return request.m_kind == relay::request_kind::forward || request.m_kind == relay::request_kind::execute;
}

} // namespace

lent_endpoint endpoint_share(const registry::endpoint_report& report, std::uint32_t connections,
                             std::size_t lenders) {
    const auto slots = static_cast<std::uint32_t>((report.m_slots + lenders - 1) / lenders);
    return {report, connections, slots + extra_slots};
}

void lender::set_endpoints(const std::vector<lent_endpoint>& endpoints, core::time_point now) {
    for (auto& [id, record] : m_endpoints) {
        record.m_listed = false;
    }
    for (const lent_endpoint& endpoint : endpoints) {
        endpoint_record& record = m_endpoints[endpoint.m_report.m_id];
        if (record.m_lent.m_report.m_started_ms != endpoint.m_report.m_started_ms) {
            record.m_failed_until = {};
            record.m_back_off = {};
        }
        record.m_lent = endpoint;
        record.m_listed = true;
    }
    std::vector<lender_connection_id> unused;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_state == connection_state::idle && !m_endpoints.at(connection.m_endpoint).m_listed) {
            unused.push_back(id);
        }
    }
    std::ranges::for_each(unused, [this](lender_connection_id id) { drop_connection(id); });
    for (auto& [id, record] : m_endpoints) {
        if (!record.m_listed) {
            refuse_all(record, loan_refusal::not_lending);
        } else {
            close_surplus_connections(id, record, now);
            preopen_connections(id, record, now);
        }
    }
    std::erase_if(m_endpoints,
                  [](const auto& one) { return !one.second.m_listed && one.second.m_open_count == 0; });
}

void lender::stop_lending() {
    m_stopping = true;
    for (auto& [id, record] : m_endpoints) {
        refuse_all(record, loan_refusal::not_lending);
    }
}

// Opens as many connections as there are slots, so that the first borrowers do not wait for a connection.
// Where connections belong to customers, it is not known yet for whom, and one serves position probes.
void lender::preopen_connections(const core::endpoint_id& endpoint, endpoint_record& record,
                                 core::time_point now) {
    const std::uint32_t wanted = record.m_lent.m_by_customer ? 1 : record.m_lent.m_max_running;
    for (std::uint32_t open = record.m_open_count; open < wanted; ++open) {
        open_connection(endpoint, record, std::nullopt, now);
    }
}

void lender::open_connection(const core::endpoint_id& endpoint, endpoint_record& record,
                             const std::optional<core::customer_name>& customer, core::time_point now) {
    if (m_stopping || record.m_open_count >= record.m_lent.m_connections ||
        !record.m_full_until.passed(now) || !record.m_failed_until.passed(now)) {
        return;
    }
    const lender_connection_id id(++m_last_connection);
    connection_record opened;
    opened.m_endpoint = endpoint;
    opened.m_customer = customer;
    opened.m_deadline = core::deadline_after(now, connect_timeout);
    m_connections.emplace(id, std::move(opened));
    ++record.m_open_count;
    ++record.m_opening_count;
    record.m_has_customers = record.m_has_customers || customer;
    ++m_counters.m_connections_opened;
    m_ports.open_connection(id, record.m_lent.m_report, customer);
}

void lender::set_occupies_slot(connection_record& connection, bool occupies) {
    if (connection.m_occupies_slot != occupies) {
        connection.m_occupies_slot = occupies;
        m_endpoints.at(connection.m_endpoint).m_occupied_slots += occupies ? 1 : -1;
    }
}

void lender::on_requests_received(const core::entry_host_id& borrower, loan_id loan, std::uint32_t number,
                                  const std::vector<relay::database_request>& requests,
                                  core::time_point now) {
    const auto found = m_loans.find({borrower, loan});
    if (found == m_loans.end()) {
        m_ports.send_loan_lost(borrower, loan, "the lender has no such loan");
        return;
    }
    const lender_connection_id id = found->second;
    connection_record& connection = m_connections.at(id);
    if (number != connection.m_next_request_number) {
        const core::endpoint_id endpoint = connection.m_endpoint;
        m_ports.send_loan_lost(borrower, loan, "a message of the loan was lost");
        end_loan(id);
        drop_connection(id);
        serve_queue(endpoint, now);
        return;
    }
    ++connection.m_next_request_number;
    connection.m_deadline = core::deadline_after(now, borrower_timeout);
    for (const relay::database_request& request : requests) {
        connection.m_pending_answers.push_back(is_statement(request));
        connection.m_has_session_state = connection.m_has_session_state || changes_session_state(request);
    }
    if (std::ranges::any_of(requests, is_statement)) {
        set_occupies_slot(connection, true);
    }
    m_ports.send(id, requests);
}

void lender::on_loan_ended(const core::entry_host_id& borrower, loan_id loan, const returned_state& state,
                           core::time_point now) {
    const loan_key key{borrower, loan};
    const auto found = m_loans.find(key);
    if (found == m_loans.end()) {
        for (auto& [endpoint, record] : m_endpoints) {
            std::erase_if(record.m_queue, [&key](const pending_loan& one) { return one.m_key == key; });
        }
        return;
    }
    const lender_connection_id id = found->second;
    const core::endpoint_id endpoint = m_connections.at(id).m_endpoint;
    end_loan(id);
    connection_record& connection = m_connections.at(id);
    connection.m_last_used = now;
    if (!state.m_reusable || !connection.m_pending_answers.empty() || !m_endpoints.at(endpoint).m_listed) {
        drop_connection(id);
    } else {
        clean_up(id, state, now);
    }
    serve_queue(endpoint, now);
}

void lender::clean_up(lender_connection_id id, const returned_state& state, core::time_point now) {
    connection_record& connection = m_connections.at(id);
    std::vector<relay::database_request> requests;
    if (state.m_in_transaction) {
        requests.push_back({.m_kind = relay::request_kind::rollback});
    }
    if (std::exchange(connection.m_has_session_state, false) || state.m_has_session_values) {
        requests.push_back({.m_kind = relay::request_kind::reset});
    }
    connection.m_state = requests.empty() ? connection_state::idle : connection_state::cleaning;
    if (!requests.empty()) {
        connection.m_deadline = core::deadline_after(now, clean_up_timeout);
        connection.m_pending_answers.assign(requests.size(), false);
        m_ports.send(id, requests);
    }
}

void lender::on_host_lost(const core::entry_host_id& host, core::time_point now) {
    std::vector<lender_connection_id> lent;
    for (const auto& [key, id] : m_loans) {
        if (key.first == host) {
            lent.push_back(id);
        }
    }
    for (const lender_connection_id id : lent) {
        end_loan(id);
        drop_connection(id);
    }
    for (auto& [endpoint, record] : m_endpoints) {
        std::erase_if(record.m_queue, [&host](const pending_loan& one) { return one.m_key.first == host; });
    }
    if (!lent.empty()) {
        tick(now);
    }
}

void lender::on_connection_opened(lender_connection_id id, std::optional<core::history_position> position,
                                  core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection_record& connection = found->second;
    endpoint_record& record = m_endpoints.at(connection.m_endpoint);
    --record.m_opening_count;
    record.m_back_off = {};
    connection.m_state = connection_state::idle;
    connection.m_last_contact = now;
    connection.m_last_used = now;
    if (position) {
        record.m_position = position;
    }
    const core::endpoint_id endpoint = connection.m_endpoint; // The connection may be closed again.
    serve_queue(endpoint, now);
}

void lender::on_connection_answered(lender_connection_id id, const relay::database_answer& answer,
                                    core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    connection_record& connection = found->second;
    if (connection.m_pending_answers.empty()) {
        on_connection_failed(id, std::nullopt, "unexpected answer", now);
        return;
    }
    const bool was_statement = connection.m_pending_answers.front();
    connection.m_pending_answers.pop_front();
    connection.m_last_contact = now;
    endpoint_record& record = m_endpoints.at(connection.m_endpoint);
    if (answer.m_position) {
        record.m_position = answer.m_position;
    }
    const core::endpoint_id endpoint = connection.m_endpoint;
    if (connection.m_state == connection_state::cleaning) {
        if (answer.m_refusal || answer.m_state != relay::transaction_state::idle) {
            drop_connection(id);
        } else if (connection.m_pending_answers.empty()) {
            connection.m_state = connection_state::idle;
        }
    } else {
        // The connection keeps its slot between the answer to a preparatory request (such as BEGIN) and the
        // statement that follows it.
        if (was_statement &&
            std::ranges::find(connection.m_pending_answers, true) == connection.m_pending_answers.end()) {
            set_occupies_slot(connection, false);
        }
        m_ports.send_answer(connection.m_key.first, connection.m_key.second,
                            connection.m_next_answer_number++, answer);
    }
    serve_queue(endpoint, now);
}

void lender::on_connection_failed(lender_connection_id id, std::optional<relay::refusal> reason,
                                  const std::string& text, core::time_point now) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    const connection_record failed = found->second;
    endpoint_record& record = m_endpoints.at(failed.m_endpoint);
    if (failed.m_state == connection_state::lent) {
        m_ports.send_loan_lost(failed.m_key.first, failed.m_key.second, text);
        end_loan(id);
    }
    drop_connection(id);
    if (reason == relay::refusal::too_many_connections) {
        record.m_full_until.m_at = now + full_back_off;
    } else if (failed.m_state == connection_state::opening) {
        record.m_back_off = std::clamp<core::duration>(record.m_back_off * 2, min_back_off, max_back_off);
        record.m_failed_until.m_at = now + record.m_back_off;
        if (record.m_open_count == record.m_opening_count) {
            refuse_all(record, loan_refusal::unreachable);
        }
    }
    serve_queue(failed.m_endpoint, now);
}

void lender::end_loan(lender_connection_id id) {
    connection_record& connection = m_connections.at(id);
    set_occupies_slot(connection, false);
    m_loans.erase(connection.m_key);
    connection.m_key = {};
}

void lender::drop_connection(lender_connection_id id) {
    const auto found = m_connections.find(id);
    endpoint_record& record = m_endpoints.at(found->second.m_endpoint);
    set_occupies_slot(found->second, false);
    record.m_opening_count -= found->second.m_state == connection_state::opening ? 1 : 0;
    --record.m_open_count;
    m_connections.erase(found);
    m_ports.close_connection(id);
}

void lender::tick(core::time_point now) {
    std::vector<std::pair<lender_connection_id, connection_state>> overdue;
    for (const auto& [id, connection] : m_connections) {
        if (connection.m_state != connection_state::idle && connection.m_deadline.passed(now)) {
            overdue.emplace_back(id, connection.m_state);
        }
    }
    for (const auto& [id, state] : overdue) {
        on_connection_failed(id, std::nullopt,
                             state == connection_state::lent ? "no message from the borrower in time"
                                                             : "no answer in time",
                             now);
    }
    for (auto& [endpoint, record] : m_endpoints) {
        std::vector<pending_loan> left;
        for (const pending_loan& loan : std::exchange(record.m_queue, {})) {
            if (loan.m_deadline.passed(now)) {
                refuse(loan, loan_refusal::busy);
            } else {
                left.push_back(loan);
            }
        }
        record.m_queue = std::move(left);
        forget_customers(record, now);
        serve_queue(endpoint, now);
    }
}

} // namespace mangoquay::lending
