// Conversions to and from the wire format. Received enumeration values are checked.
#include "lending/lending_wire.h"

#include "wire/positions.h"

#include <algorithm>
#include <utility>

namespace mangoquay::lending {
namespace {

constexpr auto last_refusal = relay::refusal::unauthorized;
constexpr auto last_state = relay::transaction_state::failed;

// Whether a borrower may send the request; promotion steps are reserved for control hosts.
bool may_be_lent(std::uint8_t kind) {
    return kind <= static_cast<std::uint8_t>(relay::request_kind::rollback) ||
           kind == static_cast<std::uint8_t>(relay::request_kind::deallocate);
}

template <class Enumeration>
bool in_range(std::uint8_t value, Enumeration last) {
    return value <= static_cast<std::uint8_t>(last);
}

std::vector<std::unique_ptr<wire::link_requestT>>
to_wire(const std::vector<relay::database_request>& requests) {
    std::vector<std::unique_ptr<wire::link_requestT>> encoded;
    encoded.reserve(requests.size());
    for (const relay::database_request& request : requests) {
        auto item = std::make_unique<wire::link_requestT>();
        item->kind = static_cast<std::uint8_t>(request.m_kind);
        item->id = request.m_id;
        item->least_position = wire::to_wire(request.m_min_position);
        item->name = request.m_name;
        item->argument = request.m_argument;
        item->access = static_cast<std::uint8_t>(request.m_access);
        encoded.push_back(std::move(item));
    }
    return encoded;
}

} // namespace

wire::loan_requestT to_wire(loan_id loan, const core::endpoint_id& endpoint, const loan_terms& terms,
                            const std::vector<relay::database_request>& initial_requests) {
    wire::loan_requestT message;
    message.loan = loan.value();
    message.endpoint = endpoint.value();
    message.urgent = terms.m_urgent;
    message.needs_slot = terms.m_needs_slot;
    message.expected_us =
        static_cast<std::uint32_t>(std::clamp(terms.m_expected_run_ms, 0.0, 60'000.0) * 1000.0);
    message.wait_us =
        static_cast<std::uint32_t>(std::chrono::duration_cast<core::microseconds>(terms.m_max_wait).count());
    message.first_work = to_wire(initial_requests);
    message.customer = terms.m_customer ? terms.m_customer->value() : std::string();
    message.any_customer = terms.m_any_customer;
    return message;
}

loan_terms from_wire(const wire::loan_requestT& message) {
    return {message.urgent,
            message.needs_slot,
            static_cast<double>(message.expected_us) / 1000.0,
            core::microseconds(message.wait_us),
            message.customer.empty() ? std::nullopt : std::optional(core::customer_name(message.customer)),
            message.any_customer};
}

wire::loan_grantT to_wire(loan_id loan, const loan_offer& offer) {
    wire::loan_grantT message;
    message.loan = loan.value();
    message.silent_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<core::milliseconds>(offer.m_since_last_contact).count());
    message.position = wire::to_wire(offer.m_position);
    message.waiting = offer.m_queue_length;
    return message;
}

loan_offer from_wire(const wire::loan_grantT& message) {
    return {core::milliseconds(message.silent_ms), wire::position_from_wire(message.position.get()),
            message.waiting};
}

wire::loan_workT to_wire(loan_id loan, std::uint32_t number,
                         const std::vector<relay::database_request>& requests) {
    wire::loan_workT message;
    message.loan = loan.value();
    message.number = number;
    message.requests = to_wire(requests);
    return message;
}

wire::loan_endT to_wire(loan_id loan, const returned_state& state) {
    wire::loan_endT message;
    message.loan = loan.value();
    message.reusable = state.m_reusable;
    message.holds_values = state.m_has_session_values;
    message.in_transaction = state.m_in_transaction;
    return message;
}

returned_state from_wire(const wire::loan_endT& message) {
    return {message.reusable, message.holds_values, message.in_transaction};
}

std::optional<std::vector<relay::database_request>>
from_wire(const std::vector<std::unique_ptr<wire::link_requestT>>& encoded) {
    std::vector<relay::database_request> requests;
    requests.reserve(encoded.size());
    for (const auto& item : encoded) {
        if (!may_be_lent(item->kind) || !in_range(item->access, relay::access_kind::write)) {
            return std::nullopt;
        }
        requests.push_back({.m_kind = static_cast<relay::request_kind>(item->kind),
                            .m_id = item->id,
                            .m_min_position = wire::position_from_wire(item->least_position.get()),
                            .m_name = item->name,
                            .m_argument = item->argument,
                            .m_access = static_cast<relay::access_kind>(item->access)});
    }
    return requests;
}

wire::loan_answerT to_wire(loan_id loan, std::uint32_t number, const relay::database_answer& answer) {
    wire::loan_answerT message;
    message.loan = loan.value();
    message.number = number;
    message.rows = answer.m_rows;
    message.has_refusal = answer.m_refusal.has_value();
    message.refusal = static_cast<std::uint8_t>(answer.m_refusal.value_or(relay::refusal::busy));
    message.text = answer.m_text;
    message.state = static_cast<std::uint8_t>(answer.m_state);
    message.position = wire::to_wire(answer.m_position);
    return message;
}

std::optional<relay::database_answer> from_wire(const wire::loan_answerT& message) {
    if (!in_range(message.refusal, last_refusal) || !in_range(message.state, last_state)) {
        return std::nullopt;
    }
    relay::database_answer answer;
    answer.m_rows = message.rows;
    if (message.has_refusal) {
        answer.m_refusal = static_cast<relay::refusal>(message.refusal);
    }
    answer.m_text = message.text;
    answer.m_state = static_cast<relay::transaction_state>(message.state);
    answer.m_position = wire::position_from_wire(message.position.get());
    return answer;
}

} // namespace mangoquay::lending
