// Encodes request bodies and decodes response bodies.
#include "answer.h"

#include <nlohmann/json.hpp>

namespace mangoquay::load {

using nlohmann::json;

std::string encode_request(const statement_body& body, const stream& options) {
    json request = {{"sql", body.m_sql},
                    {"params", body.m_parameters},
                    {"kind", body.m_write ? "write" : "read"},
                    {"deadline_ms", options.m_deadline_ms}};
    const auto add = [&request](const char* name, const std::string& value) {
        if (!value.empty()) {
            request[name] = value;
        }
    };
    add("key", body.m_key);
    add("group", body.m_group);
    add("class", options.m_work_class);
    if (body.m_write) {
        add("idempotency_key", body.m_idempotency_key);
        add("business_day", options.m_business_day);
        if (options.m_not_repeatable) {
            request["not_repeatable"] = true;
        }
    } else if (options.m_max_age_ms) {
        request["max_age_ms"] = *options.m_max_age_ms;
    }
    return request.dump();
}

answer decode_answer(const http_answer& received) {
    answer decoded;
    if (received.m_status == 0) {
        decoded.m_verdict = received.m_sent ? core::verdict::may_have_run : core::verdict::not_run;
        decoded.m_reason = "transport_error";
        decoded.m_message = received.m_error;
        return decoded;
    }
    try {
        const json body = json::parse(received.m_body);
        decoded.m_verdict = core::parse_verdict(body.at("verdict").get<std::string>()).value();
        decoded.m_reason = body.value("reason", "");
        decoded.m_message = body.value("message", "");
        decoded.m_endpoint = body.value("endpoint", "");
        if (body.contains("retry_after_ms") && body["retry_after_ms"].is_number()) {
            decoded.m_retry_after_ms = body["retry_after_ms"].get<std::int64_t>();
        }
        if (body.contains("rows_affected")) {
            decoded.m_rows_affected = body["rows_affected"].get<std::uint64_t>();
        }
        for (const json& row : body.value("rows", json::array())) {
            auto& cells = decoded.m_rows.emplace_back();
            for (const json& cell : row) {
                cells.push_back(cell.is_string() ? cell.get<std::string>() : std::string());
            }
        }
    } catch (const std::exception& error) {
        decoded = {};
        decoded.m_reason = "unreadable_answer";
        decoded.m_message = "status " + std::to_string(received.m_status) + ": " + error.what();
    }
    return decoded;
}

} // namespace mangoquay::load
