// Reports about owned endpoints: health in heartbeats, gauges, answers to probes, and position queries.
#include "database/connection.h"
#include "proxy/owned_endpoints.h"
#include "settings/database_credentials.h"
#include "wire/positions.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangoquay::proxy {
namespace {

constexpr core::milliseconds position_query_period{200};
constexpr core::milliseconds probe_timeout{400};
// Queries older than this are discarded, because the data age that their answers prove is too high to be
// useful.
constexpr core::milliseconds position_query_lifetime{5000};

std::string connection_string_field(const std::string& connection_string, const std::string& keyword) {
    const std::size_t start = connection_string.find(keyword + "=");
    if (start == std::string::npos) {
        return "";
    }
    const std::size_t value = start + keyword.size() + 1;
    return connection_string.substr(value, connection_string.find(' ', value) - value);
}

metrics::gauge endpoint_gauge(const char* name, const core::endpoint_id& endpoint, double value) {
    return {name, {{"endpoint", endpoint.value()}}, value};
}

} // namespace

core::endpoint_id owned_endpoints::endpoint_at(const std::string& connection_string) const {
    const std::string host = connection_string_field(connection_string, "host");
    const std::string port = connection_string_field(connection_string, "port");
    for (const auto& [endpoint, record] : m_follower.state().m_endpoints) {
        if (record.m_address.m_host == host && std::to_string(record.m_address.m_port) == port) {
            return endpoint;
        }
    }
    return {};
}

void owned_endpoints::fill_heartbeat(membership::heartbeat& heartbeat) const {
    std::map<control::day_key, std::uint32_t> unsettled;
    const auto add_unsettled = [&unsettled](const ownership::endpoint_owner& owner) {
        for (const auto& day : owner.list_unsettled_writes()) {
            unsettled[{day.m_service, day.m_day}] += day.m_write_count;
        }
    };
    for (const auto& [endpoint, owned] : m_owners) {
        const ownership::owner_health health = owned.m_owner->health();
        const ownership::owner_statistics statistics = owned.m_owner->statistics();
        membership::endpoint_report report;
        report.m_endpoint = endpoint;
        report.m_reachable = health.m_reachable;
        report.m_lock_held = health.m_lock_held;
        report.m_position = health.m_position.value_or(core::history_position{});
        report.m_follows = endpoint_at(health.m_follows);
        report.m_writes_stalled = health.m_writes_stalled;
        report.m_writes_in_flight = static_cast<std::uint32_t>(
            statistics.m_busy_slots + statistics.m_waiting_writes + statistics.m_open_transactions);
        heartbeat.m_health.push_back(std::move(report));
        add_unsettled(*owned.m_owner);
    }
    for (const auto& [number, owner] : m_releasing) {
        add_unsettled(*owner);
    }
    for (const auto& [key, writes] : unsettled) {
        heartbeat.m_unsettled.push_back({key, writes});
    }
}

std::vector<metrics::gauge> owned_endpoints::gauges() const {
    std::vector<metrics::gauge> gauges;
    for (const auto& [endpoint, owned] : m_owners) {
        const ownership::owner_statistics statistics = owned.m_owner->statistics();
        gauges.push_back(
            endpoint_gauge("queue_length", endpoint, static_cast<double>(statistics.m_queue_length)));
        gauges.push_back(
            endpoint_gauge("busy_slots", endpoint, static_cast<double>(statistics.m_busy_slots)));
        gauges.push_back(endpoint_gauge("slots", endpoint, static_cast<double>(statistics.m_slots)));
        gauges.push_back(
            endpoint_gauge("connections", endpoint, static_cast<double>(statistics.m_connections)));
        gauges.push_back(
            endpoint_gauge("statements_dispatched", endpoint, static_cast<double>(statistics.m_dispatched)));
        gauges.push_back(endpoint_gauge("statements_shed", endpoint, static_cast<double>(statistics.m_shed)));
    }
    return gauges;
}

void owned_endpoints::on_probe_received(const core::entry_host_id& from, const wire::probeT& message) {
    const core::endpoint_id endpoint(message.endpoint);
    const auto answer = [this, from, endpoint](bool reachable) {
        wire::probe_answerT reply;
        reply.endpoint = endpoint.value();
        reply.reachable = reachable;
        m_bus.send(from, std::move(reply));
    };
    const auto owned = m_owners.find(endpoint);
    if (owned != m_owners.end()) {
        answer(owned->second.m_owner->health().m_reachable);
        return;
    }
    const auto record = m_follower.state().m_endpoints.find(endpoint);
    if (record == m_follower.state().m_endpoints.end()) {
        answer(false);
        return;
    }
    const std::uint64_t number = ++m_last_number;
    const dialect::connection_settings credentials = settings::database_credentials(m_settings.m_database);
    auto probe = std::make_shared<database::connection>(
        m_loop, m_dialect.connection_parameters(record->second.m_address, credentials,
                                                "mangoquay-probe/" + m_settings.m_host.value()));
    m_probes[number] = probe;
    probe->open(core::deadline_after(transport::event_loop::now(), probe_timeout),
                [this, number, answer](bool opened, const std::string&) {
                    answer(opened);
                    const auto finished = m_probes.extract(number);
                    finished.mapped()->close();
                });
}

void owned_endpoints::query_positions() {
    const auto now = transport::event_loop::now();
    std::erase_if(m_position_queries,
                  [&](const auto& entry) { return now - entry.second > position_query_lifetime; });
    std::set<core::group_id> groups;
    const control::control_state& state = m_follower.state();
    for (const auto& [endpoint, owned] : m_owners) {
        const auto record = state.m_endpoints.find(endpoint);
        if (record != state.m_endpoints.end() && record->second.m_role == control::endpoint_role::replica) {
            groups.insert(record->second.m_group);
        }
    }
    for (const core::group_id& group : groups) {
        const auto record = state.m_groups.find(group);
        const auto primary = record == state.m_groups.end()
                                 ? state.m_endpoints.end()
                                 : state.m_endpoints.find(record->second.m_primary);
        if (primary == state.m_endpoints.end() || primary->second.m_owner.value().empty()) {
            continue;
        }
        wire::position_queryT query;
        query.number = ++m_last_number;
        query.group = group.value();
        query.endpoint = primary->first.value();
        m_position_queries[query.number] = now;
        m_bus.send(primary->second.m_owner, std::move(query));
    }
    m_loop.run_after(position_query_period, [this] { query_positions(); });
}

void owned_endpoints::on_position_queried(const core::entry_host_id& from,
                                          const wire::position_queryT& query) {
    const auto owned = m_owners.find(core::endpoint_id(query.endpoint));
    if (owned == m_owners.end()) {
        return;
    }
    owned->second.m_owner->query_position([this, from, number = query.number, group = query.group](
                                              std::optional<core::history_position> position) {
        if (!position) {
            return;
        }
        wire::position_answerT answer;
        answer.number = number;
        answer.group = group;
        answer.known = true;
        answer.position = wire::to_wire(*position);
        m_bus.send(from, std::move(answer));
    });
}

void owned_endpoints::on_position_answered(const wire::position_answerT& answer) {
    const auto query = m_position_queries.find(answer.number);
    const auto position = wire::position_from_wire(answer.position.get());
    if (query == m_position_queries.end() || !position) {
        return;
    }
    const core::time_point queried_at = query->second;
    m_position_queries.erase(query);
    const control::control_state& state = m_follower.state();
    for (auto& [endpoint, owned] : m_owners) {
        const auto record = state.m_endpoints.find(endpoint);
        if (record != state.m_endpoints.end() && record->second.m_group.value() == answer.group) {
            owned.m_owner->on_primary_position(queried_at, *position);
        }
    }
}

} // namespace mangoquay::proxy
