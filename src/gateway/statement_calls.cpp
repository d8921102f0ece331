// Handlers of the calls for statements, transactions and exports.
#include "gateway/api_handlers.h"

#include "gateway/body_decoding.h"

namespace mangoquay::gateway {
namespace {

using core::statement_kind;

nlohmann::json json_rows(const std::vector<std::vector<core::cell>>& rows) {
    nlohmann::json encoded = nlohmann::json::array();
    for (const auto& row : rows) {
        nlohmann::json cells = nlohmann::json::array();
        for (const core::cell& cell : row) {
            cells.push_back(cell.has_value() ? nlohmann::json(*cell) : nlohmann::json());
        }
        encoded.push_back(std::move(cells));
    }
    return encoded;
}

api_response response_of(const routing::entry_answer& entry) {
    const core::statement_answer& answer = entry.m_answer;
    api_response response;
    response.m_status = http_status(answer.m_verdict, answer.m_reason);
    response.m_session_token = entry.m_session_token;
    response.m_json["verdict"] = core::to_string(answer.m_verdict);
    response.m_json["reason"] = core::to_string(answer.m_reason);
    if (!answer.m_message.empty()) {
        response.m_json["message"] = answer.m_message;
    }
    if (answer.m_retry_after.has_value()) {
        response.m_json["retry_after_ms"] = answer.m_retry_after->count();
    }
    if (!entry.m_transaction.value().empty()) {
        response.m_json["transaction"] = entry.m_transaction.value();
    }
    if (answer.m_verdict == core::verdict::ran) {
        response.m_json["columns"] = answer.m_columns;
        response.m_json["rows"] = json_rows(answer.m_rows);
        response.m_json["rows_affected"] = answer.m_rows_affected;
        response.m_json["endpoint"] = answer.m_endpoint.value();
    }
    return response;
}

// Decodes and executes a statement. Without `kind`, the kind is taken from the body.
api_response run(const api_call& call, statement_body shape, std::optional<statement_kind> kind) {
    auto decoded = decode_statement(shape, call.m_request.m_body, core::now());
    if (!decoded) {
        return refusal_response(core::reason::malformed_request, decoded.reason());
    }
    routing::entry_statement& statement = *decoded;
    statement.m_request.m_service = core::service_name(call.m_path_ids.front());
    statement.m_request.m_caller = call.m_caller.m_caller;
    statement.m_request.m_kind = kind.value_or(statement.m_request.m_kind);
    statement.m_session_token = call.m_request.m_session_token;
    if (shape == statement_body::step || shape == statement_body::end) {
        statement.m_request.m_transaction = core::transaction_id(call.m_path_ids.back());
    }
    return response_of(call.m_backend.execute(statement));
}

} // namespace

api_response run_statement(const api_call& call) {
    return run(call, statement_body::statement, std::nullopt);
}

api_response run_export(const api_call& call) {
    return run(call, statement_body::export_read, statement_kind::read);
}

api_response begin_transaction(const api_call& call) {
    return run(call, statement_body::begin, statement_kind::begin);
}

api_response run_transaction_statement(const api_call& call) {
    return run(call, statement_body::step, statement_kind::in_transaction);
}

api_response commit_transaction(const api_call& call) {
    return run(call, statement_body::end, statement_kind::commit);
}

api_response roll_back_transaction(const api_call& call) {
    return run(call, statement_body::end, statement_kind::rollback);
}

} // namespace mangoquay::gateway
