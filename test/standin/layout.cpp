// Parses the JSON configuration of the stand-in.
#include "layout.h"

#include <nlohmann/json.hpp>

namespace mangoquay::standin {
namespace {

using nlohmann::json;

timing read_timing(const json& from, timing read) {
    const auto microseconds = [&from](const char* name, core::microseconds& target) {
        target = core::microseconds(from.value(name, static_cast<std::int64_t>(target.count())));
    };
    microseconds("connect_us", read.m_connect_duration);
    microseconds("statement_us", read.m_statement_duration);
    microseconds("receive_us", read.m_receive_delay);
    microseconds("lag_us", read.m_apply_delay);
    microseconds("promotion_us", read.m_promotion_duration);
    read.m_stragglers.m_text = from.value("straggler_text", read.m_stragglers.m_text);
    read.m_stragglers.m_every = from.value("straggler_every", read.m_stragglers.m_every);
    read.m_stragglers.m_factor = from.value("straggler_factor", read.m_stragglers.m_factor);
    return read;
}

endpoint_layout read_endpoint(const json& from, const std::string& group, const timing& defaults) {
    endpoint_layout read;
    read.m_id = from.at("id");
    read.m_group = group;
    read.m_zone = from.value("zone", "");
    read.m_host = from.value("host", read.m_host);
    read.m_port = from.value("port", read.m_port);
    read.m_slots = from.value("slots", read.m_slots);
    read.m_connections = from.value("connections", read.m_connections);
    read.m_timing = read_timing(from.value("timing", json::object()), defaults);
    return read;
}

layout read_layout(const json& from) {
    layout read;
    read.m_password = from.value("password", "");
    read.m_client_zones = from.value("client_zones", std::map<std::string, std::string>{});
    read.m_zone_latency = core::microseconds(from.value("zone_latency_us", 0));
    const json control = from.value("control", json::object());
    read.m_control_host = control.value("host", read.m_control_host);
    read.m_control_port = control.value("port", read.m_control_port);
    const json announce = from.value("announce", json::object());
    read.m_announce.m_addresses = announce.value("to", std::vector<std::string>{});
    read.m_announce.m_key = announce.value("key", "");
    read.m_announce.m_interval = core::milliseconds(announce.value("interval_ms", 1000));
    const timing defaults = read_timing(from.value("timing", json::object()), {});
    for (const json& group : from.at("groups")) {
        bool first = true;
        for (const json& endpoint : group.at("endpoints")) {
            read.m_endpoints.push_back(read_endpoint(endpoint, group.at("id"), defaults));
            read.m_endpoints.back().m_primary = first;
            first = false;
        }
    }
    return read;
}

} // namespace

core::result<layout> parse_layout(const std::string& text) {
    try {
        return read_layout(json::parse(text));
    } catch (const json::exception& fault) {
        return core::result<layout>::failure(fault.what());
    }
}

} // namespace mangoquay::standin
