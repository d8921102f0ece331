// Reads a scenario.
#include "scenario.h"

#include <nlohmann/json.hpp>

#include <map>

namespace mangoquay::load {
namespace {

using nlohmann::json;

operation read_operation(const std::string& name) {
    static const std::map<std::string, operation> names = {{"insert", operation::insert},
                                                           {"update_and_read", operation::update_and_read},
                                                           {"read", operation::read},
                                                           {"sleep", operation::sleep}};
    return names.at(name);
}

stream read_stream(const json& from) {
    stream read;
    read.m_name = from.at("name");
    read.m_operation = read_operation(from.at("operation"));
    for (const json& step : from.value("rates", json::array())) {
        read.m_rates.push_back({step.at("from_s"), step.at("per_s")});
    }
    read.m_clients = from.value("clients", 0U);
    read.m_think = core::milliseconds(from.value("think_ms", 0));
    read.m_class = from.value("class", "");
    if (from.contains("max_age_ms")) {
        read.m_max_age_ms = from.at("max_age_ms").get<std::int64_t>();
    }
    read.m_deadline_ms = from.value("deadline_ms", read.m_deadline_ms);
    read.m_sleep_s = from.value("sleep_s", 0.0);
    read.m_not_repeatable = from.value("not_repeatable", false);
    read.m_idempotency_key = from.value("idempotency_key", false);
    read.m_business_day = from.value("business_day", "");
    read.m_tries = from.value("tries", 1U);
    return read;
}

} // namespace

core::result<scenario> parse_scenario(const std::string& text) {
    try {
        const json from = json::parse(text);
        scenario read;
        read.m_name = from.at("name");
        read.m_service = from.at("service");
        read.m_duration_s = from.value("duration_s", read.m_duration_s);
        read.m_peak_from_s = from.value("peak_from_s", 0.0);
        read.m_peak_to_s = from.value("peak_to_s", 0.0);
        read.m_setup_rows = from.value("setup_rows", 0U);
        for (const json& stream : from.at("streams")) {
            read.m_streams.push_back(read_stream(stream));
        }
        return read;
    } catch (const std::exception& fault) {
        return core::result<scenario>::failure(fault.what());
    }
}

} // namespace mangoquay::load
