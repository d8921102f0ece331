// Encodes requests and decodes answers.
#include "answer.h"

#include <nlohmann/json.hpp>

namespace mangoquay::load {

using nlohmann::json;

std::string encode(const statement_body& body, const stream& options) {
    json made = {{"sql", body.m_sql},
                 {"params", body.m_parameters},
                 {"kind", body.m_write ? "write" : "read"},
                 {"deadline_ms", options.m_deadline_ms}};
    const auto add = [&made](const char* name, const std::string& value) {
        if (!value.empty()) {
            made[name] = value;
        }
    };
    add("key", body.m_key);
    add("group", body.m_group);
    add("class", options.m_class);
    if (body.m_write) {
        add("idempotency_key", body.m_idempotency_key);
        add("business_day", options.m_business_day);
        if (options.m_not_repeatable) {
            made["not_repeatable"] = true;
        }
    } else if (options.m_max_age_ms) {
        made["max_age_ms"] = *options.m_max_age_ms;
    }
    return made.dump();
}

answer decode(const http_answer& received) {
    answer read;
    if (received.m_status == 0) {
        read.m_verdict = received.m_sent ? core::verdict::may_have_run : core::verdict::not_run;
        read.m_reason = "transport_error";
        read.m_message = received.m_error;
        return read;
    }
    try {
        const json body = json::parse(received.m_body);
        read.m_verdict = core::parse_verdict(body.at("verdict").get<std::string>()).value();
        read.m_reason = body.value("reason", "");
        read.m_message = body.value("message", "");
        read.m_endpoint = body.value("endpoint", "");
        if (body.contains("retry_after_ms") && body["retry_after_ms"].is_number()) {
            read.m_retry_after_ms = body["retry_after_ms"].get<std::int64_t>();
        }
        if (body.contains("rows_affected")) {
            read.m_rows_affected = body["rows_affected"].get<std::uint64_t>();
        }
        for (const json& row : body.value("rows", json::array())) {
            auto& cells = read.m_rows.emplace_back();
            for (const json& cell : row) {
                cells.push_back(cell.is_string() ? cell.get<std::string>() : std::string());
            }
        }
    } catch (const std::exception& fault) {
        read = {};
        read.m_reason = "unreadable_answer";
        read.m_message = "status " + std::to_string(received.m_status) + ": " + fault.what();
    }
    return read;
}

} // namespace mangoquay::load
