// Conversion of statements and answers to and from wire messages.
#include "ownership/execute_messages.h"

#include "wire/positions.h"

#include <chrono>
#include <memory>

namespace mangoquay::ownership {
namespace {

std::unique_ptr<wire::cellT> cell_to_wire(const core::cell& value) {
    auto message = std::make_unique<wire::cellT>();
    message->is_null = !value.has_value();
    message->text = value.value_or("");
    return message;
}

core::cell cell_from_wire(const wire::cellT& message) {
    return message.is_null ? core::cell{} : core::cell{message.text};
}

} // namespace

wire::executeT to_wire(const core::statement_request& request, core::time_point now) {
    wire::executeT message;
    message.service = request.m_service.value();
    message.group = request.m_group.value();
    message.caller = request.m_caller.value();
    message.kind = static_cast<std::uint8_t>(request.m_kind);
    message.sql = request.m_sql;
    for (const core::cell& parameter : request.m_parameters) {
        message.parameters.push_back(cell_to_wire(parameter));
    }
    message.work_class = static_cast<std::uint8_t>(request.m_class);
    message.remaining_us =
        std::chrono::duration_cast<core::microseconds>(request.m_deadline.remaining(now)).count();
    message.has_max_age = request.m_max_age.has_value();
    message.max_age_ms = request.m_max_age.value_or(core::milliseconds{}).count();
    message.least_position = wire::to_wire(request.m_min_position);
    message.idempotency_key = request.m_idempotency_key.value();
    message.not_repeatable = request.m_not_repeatable;
    message.business_day = request.m_business_day.value();
    message.transaction = request.m_transaction.value();
    return message;
}

core::result<core::statement_request> from_wire(const wire::executeT& message, core::time_point now) {
    using failed = core::result<core::statement_request>;
    if (message.kind > static_cast<std::uint8_t>(core::statement_kind::rollback) ||
        message.work_class > static_cast<std::uint8_t>(core::work_class::long_work)) {
        return failed::failure("unknown statement kind or work class");
    }
    core::statement_request request;
    request.m_service = core::service_name(message.service);
    request.m_group = core::group_id(message.group);
    request.m_caller = core::caller_id(message.caller);
    request.m_kind = static_cast<core::statement_kind>(message.kind);
    request.m_sql = message.sql;
    for (const auto& parameter : message.parameters) {
        request.m_parameters.push_back(cell_from_wire(*parameter));
    }
    request.m_class = static_cast<core::work_class>(message.work_class);
    request.m_deadline = core::deadline_after(now, core::microseconds(message.remaining_us));
    if (message.has_max_age) {
        request.m_max_age = core::milliseconds(message.max_age_ms);
    }
    request.m_min_position = wire::position_from_wire(message.least_position.get());
    request.m_idempotency_key = core::idempotency_key(message.idempotency_key);
    request.m_not_repeatable = message.not_repeatable;
    request.m_business_day = core::business_day(message.business_day);
    request.m_transaction = core::transaction_id(message.transaction);
    return request;
}

wire::execute_answerT to_wire(const core::statement_answer& answer) {
    wire::execute_answerT message;
    message.verdict = static_cast<std::uint8_t>(answer.m_verdict);
    message.reason = static_cast<std::uint8_t>(answer.m_reason);
    message.message = answer.m_message;
    message.has_retry = answer.m_retry_after.has_value();
    message.retry_after_ms = answer.m_retry_after.value_or(core::milliseconds{}).count();
    message.columns = answer.m_columns;
    for (const auto& row : answer.m_rows) {
        auto wire_row = std::make_unique<wire::rowT>();
        for (const core::cell& value : row) {
            wire_row->cells.push_back(cell_to_wire(value));
        }
        message.rows.push_back(std::move(wire_row));
    }
    message.rows_affected = answer.m_rows_affected;
    message.endpoint = answer.m_endpoint.value();
    message.position = wire::to_wire(answer.m_position);
    return message;
}

core::result<core::statement_answer> from_wire(const wire::execute_answerT& message) {
    using failed = core::result<core::statement_answer>;
    if (message.verdict > static_cast<std::uint8_t>(core::verdict::may_have_run) ||
        message.reason > static_cast<std::uint8_t>(core::reason::internal_fault)) {
        return failed::failure("unknown verdict or reason");
    }
    core::statement_answer answer;
    answer.m_verdict = static_cast<core::verdict>(message.verdict);
    answer.m_reason = static_cast<core::reason>(message.reason);
    answer.m_message = message.message;
    if (message.has_retry) {
        answer.m_retry_after = core::milliseconds(message.retry_after_ms);
    }
    answer.m_columns = message.columns;
    for (const auto& wire_row : message.rows) {
        std::vector<core::cell> row;
        for (const auto& value : wire_row->cells) {
            row.push_back(cell_from_wire(*value));
        }
        answer.m_rows.push_back(std::move(row));
    }
    answer.m_rows_affected = message.rows_affected;
    answer.m_endpoint = core::endpoint_id(message.endpoint);
    answer.m_position = wire::position_from_wire(message.position.get());
    return answer;
}

} // namespace mangoquay::ownership
