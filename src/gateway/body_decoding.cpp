// Decodes the bodies of statements, transaction steps and exports.
#include "gateway/body_decoding.h"

#include "gateway/api_message.h"
#include "gateway/decode_body.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace mangoquay::gateway {
namespace {

using core::json_reader;
using core::statement_kind;

constexpr std::uint64_t max_deadline_ms = 3600000;
constexpr std::uint64_t max_data_age_ms = 86400000;
constexpr std::size_t max_idempotency_key_bytes = 200;
constexpr std::size_t max_routing_key_bytes = 1024;
// Default deadline of an export, which reads a whole business day and serves no interactive user.
constexpr core::milliseconds export_deadline{600000};

std::optional<core::cell> parameter_cell(const nlohmann::json& value) {
    if (value.is_null()) {
        return core::cell{};
    }
    if (value.is_string()) {
        const std::string& text = value.get_ref<const std::string&>();
        return text.find('\0') == std::string::npos ? std::optional<core::cell>(text) : std::nullopt;
    }
    return value.is_primitive() ? std::optional<core::cell>(value.dump()) : std::nullopt;
}

void read_parameters(json_reader& reader, std::vector<core::json_error>& errors,
                     core::statement_request& request) {
    reader.array("params", [&](const nlohmann::json& element, const std::string& pointer) {
        std::optional<core::cell> cell = parameter_cell(element);
        if (cell.has_value()) {
            request.m_parameters.push_back(std::move(*cell));
        } else {
            errors.push_back({pointer, element.is_string() ? "a text with NUL" : "an object or array",
                              "a text without NUL, a number, true, false or null"});
        }
    });
}

void read_sql(json_reader& reader, std::vector<core::json_error>& errors, core::statement_request& request) {
    reader.require("sql", "a text");
    request.m_sql = reader.text("sql", max_body_bytes).value_or("");
    if (request.m_sql.empty() && reader.has("sql")) {
        reader.add_error("sql", "a text that is not empty");
    }
    read_parameters(reader, errors, request);
}

void read_target(json_reader& reader, routing::entry_statement& into) {
    into.m_request.m_group = core::group_id(reader.identifier("group").value_or(""));
    into.m_routing_key = reader.text("key", max_routing_key_bytes);
    if (reader.has("group") && reader.has("key")) {
        reader.add_error("key", "either group or key");
    }
}

void read_day(json_reader& reader, core::statement_request& request) {
    const std::optional<std::string> day = reader.text("business_day");
    if (day.has_value() && !is_business_day(*day)) {
        reader.add_error("business_day", "a date, for example \"2026-12-04\"");
    }
    request.m_business_day = core::business_day(day.value_or(""));
}

void read_timing(json_reader& reader, core::time_point now, routing::entry_statement& into) {
    const auto deadline = reader.integer("deadline_ms", 1, max_deadline_ms);
    into.m_default_deadline = !deadline.has_value();
    into.m_request.m_deadline = core::deadline_after(now, core::milliseconds(deadline.value_or(0)));
    const auto work_class = reader.choice("class", {"short", "long"});
    if (work_class.has_value()) {
        into.m_request.m_class =
            *work_class == 0 ? core::work_class::short_work : core::work_class::long_work;
    }
}

void read_statement_options(json_reader& reader, core::statement_request& request) {
    const bool read = reader.choice("kind", {"read", "write"}).value_or(1) == 0;
    request.m_kind = read ? statement_kind::read : statement_kind::write;
    const auto age = reader.integer("max_age_ms", 0, max_data_age_ms);
    if (age.has_value()) {
        request.m_max_age = core::milliseconds(*age);
    }
    if (age.has_value() && !read) {
        reader.add_error("max_age_ms", "nothing for a write");
    }
    const auto key = reader.text("idempotency_key", max_idempotency_key_bytes);
    request.m_idempotency_key = core::idempotency_key(key.value_or(""));
    if (key.has_value() && (key->empty() || read)) {
        reader.add_error("idempotency_key", "a text of 1 to 200 bytes, for a write only");
    }
    request.m_not_repeatable = reader.boolean("not_repeatable").value_or(false);
}

} // namespace

core::result<routing::entry_statement> decode_statement(statement_body shape, std::string_view body,
                                                        core::time_point now) {
    using routing::entry_statement;
    return decode_body<entry_statement>(body, [shape, now](json_reader& reader, auto& errors) {
        entry_statement decoded;
        const bool has_sql = shape != statement_body::begin && shape != statement_body::end;
        const bool has_target = shape != statement_body::step && shape != statement_body::end;
        read_timing(reader, now, decoded);
        if (has_sql) {
            read_sql(reader, errors, decoded.m_request);
        }
        if (has_target) {
            read_target(reader, decoded);
            read_day(reader, decoded.m_request);
        }
        if (shape == statement_body::statement) {
            read_statement_options(reader, decoded.m_request);
        }
        if (shape == statement_body::export_read) {
            reader.require("business_day", "the business day that the export reads");
            decoded.m_request.m_kind = statement_kind::read;
            decoded.m_request.m_class = core::work_class::long_work;
            decoded.m_export = true;
            if (decoded.m_default_deadline) {
                decoded.m_default_deadline = false;
                decoded.m_request.m_deadline = core::deadline_after(now, export_deadline);
            }
        }
        return decoded;
    });
}

bool is_business_day(std::string_view text) {
    constexpr std::string_view pattern = "dddd-dd-dd";
    if (text.size() != pattern.size()) {
        return false;
    }
    for (std::size_t index = 0; index < pattern.size(); ++index) {
        const bool digit = text[index] >= '0' && text[index] <= '9';
        if (pattern[index] == 'd' ? !digit : text[index] != '-') {
            return false;
        }
    }
    const auto number = [text](std::size_t from, std::size_t length) {
        return std::stoi(std::string(text.substr(from, length)));
    };
    const std::chrono::year_month_day date{std::chrono::year(number(0, 4)),
                                           std::chrono::month(static_cast<unsigned>(number(5, 2))),
                                           std::chrono::day(static_cast<unsigned>(number(8, 2)))};
    return date.ok();
}

} // namespace mangoquay::gateway
