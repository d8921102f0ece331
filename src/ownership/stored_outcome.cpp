// JSON encoding of stored outcomes.
#include "ownership/stored_outcome.h"

#include <nlohmann/json.hpp>

namespace mangoquay::ownership {
namespace {

using nlohmann::json;

json cells_to_json(const std::vector<core::cell>& cells) {
    json list = json::array();
    for (const core::cell& value : cells) {
        list.push_back(value ? json(*value) : json(nullptr));
    }
    return list;
}

std::vector<core::cell> cells_from_json(const json& list) {
    std::vector<core::cell> cells;
    for (const json& value : list) {
        cells.push_back(value.is_null() ? core::cell{} : core::cell{value.get<std::string>()});
    }
    return cells;
}

json identity(const core::statement_request& request) {
    return {{"sql", request.m_sql}, {"parameters", cells_to_json(request.m_parameters)}};
}

// Invalid UTF-8 is replaced, so that the outcome of a committed write can always be encoded.
std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string stored_key(const core::statement_request& request) {
    // The lengths make the key unambiguous: `a/b` + `c` differs from `a` + `b/c`.
    return std::to_string(request.m_service.value().size()) + ':' + request.m_service.value() + '/' +
           std::to_string(request.m_caller.value().size()) + ':' + request.m_caller.value() + '/' +
           request.m_idempotency_key.value();
}

std::string encode_outcome(const core::statement_request& request, const core::statement_answer& answer) {
    json rows = json::array();
    for (const auto& row : answer.m_rows) {
        rows.push_back(cells_to_json(row));
    }
    return dump({{"request", identity(request)},
                 {"columns", answer.m_columns},
                 {"rows", rows},
                 {"rows_affected", answer.m_rows_affected}});
}

std::optional<core::statement_answer> decode_outcome(const core::statement_request& request,
                                                     std::string_view text) {
    const json stored = json::parse(text, nullptr, false);
    // Compared in encoded form, because invalid UTF-8 was replaced when the outcome was stored.
    if (!stored.is_object() || dump(stored.value("request", json())) != dump(identity(request))) {
        return std::nullopt;
    }
    try {
        core::statement_answer answer;
        answer.m_verdict = core::verdict::ran;
        answer.m_columns = stored.at("columns").get<std::vector<std::string>>();
        for (const json& row : stored.at("rows")) {
            answer.m_rows.push_back(cells_from_json(row));
        }
        answer.m_rows_affected = stored.at("rows_affected").get<std::uint64_t>();
        return answer;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace mangoquay::ownership
