// Parses a scenario.
#include "scenario.h"

#include <nlohmann/json.hpp>

#include <map>

namespace mangoquay::load {
namespace {

using nlohmann::json;

operation parse_operation(const std::string& name) {
    static const std::map<std::string, operation> names = {{"insert", operation::insert},
                                                           {"update_and_read", operation::update_and_read},
                                                           {"read", operation::read},
                                                           {"sleep", operation::sleep}};
    return names.at(name);
}

stream parse_stream(const json& object) {
    stream parsed;
    parsed.m_name = object.at("name");
    parsed.m_operation = parse_operation(object.at("operation"));
    for (const json& step : object.value("rates", json::array())) {
        parsed.m_rates.push_back({step.at("from_s"), step.at("per_s")});
    }
    parsed.m_client_count = object.value("clients", 0U);
    parsed.m_think_time = core::milliseconds(object.value("think_ms", 0));
    parsed.m_work_class = object.value("class", "");
    if (object.contains("max_age_ms")) {
        parsed.m_max_age_ms = object.at("max_age_ms").get<std::int64_t>();
    }
    parsed.m_deadline_ms = object.value("deadline_ms", parsed.m_deadline_ms);
    parsed.m_sleep_s = object.value("sleep_s", 0.0);
    parsed.m_not_repeatable = object.value("not_repeatable", false);
    parsed.m_idempotency_key = object.value("idempotency_key", false);
    parsed.m_business_day = object.value("business_day", "");
    parsed.m_max_attempts = object.value("tries", 1U);
    return parsed;
}

} // namespace

core::result<scenario> parse_scenario(const std::string& text) {
    try {
        const json object = json::parse(text);
        scenario parsed;
        parsed.m_name = object.at("name");
        parsed.m_service = object.at("service");
        parsed.m_duration_s = object.value("duration_s", parsed.m_duration_s);
        parsed.m_peak_from_s = object.value("peak_from_s", 0.0);
        parsed.m_peak_to_s = object.value("peak_to_s", 0.0);
        parsed.m_setup_row_count = object.value("setup_rows", 0U);
        for (const json& stream : object.at("streams")) {
            parsed.m_streams.push_back(parse_stream(stream));
        }
        return parsed;
    } catch (const std::exception& error) {
        return core::result<scenario>::failure(error.what());
    }
}

} // namespace mangoquay::load
