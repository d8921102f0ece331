// Changes to the list of endpoints, and the connections that are kept open to them.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangoquay::relay {
namespace {

// Opening a connection takes about 12 ms on the target platform; a lost opening packet is repeated only after
// one second.
constexpr core::milliseconds opening_timeout{700};
// Number of connections opened to each endpoint in advance, so that the first statements do not wait for one.
constexpr std::uint32_t preopened_connections = 1;
// A host opens at most this fraction (1/n) of a database's connections.
constexpr std::uint32_t max_host_share_divisor = 2;
// An idle transaction holds its connection, so a host with fewer connections could run nothing beside it.
constexpr std::uint32_t min_own_connections = 1;
// Connections beyond the host's share are closed when they have not been used for this long.
constexpr core::milliseconds extra_connection_idle_timeout{400};

} // namespace

std::uint32_t relay_core::usable_connections(const core::service_name& service) const {
    const documents::service_rule* rule = m_configuration.find_service(service);
    return rule == nullptr || rule->m_max_connections <= m_limits.m_reserved_connections
               ? 0
               : rule->m_max_connections - m_limits.m_reserved_connections;
}

std::uint32_t relay_core::connection_share(const core::service_name& service) const {
    return usable_connections(service) / m_limits.m_entry_hosts;
}

bool relay_core::shares_connections(const core::service_name& service) const {
    return m_configuration.find_service(service) != nullptr &&
           (connections_by_customer() || connection_share(service) < min_own_connections);
}

std::uint32_t relay_core::connection_share(const endpoint_view& view) const {
    return view.m_lent ? view.m_own_connection_share : connection_share(view.m_report.m_service);
}

void relay_core::set_lent_endpoints(const std::map<core::endpoint_id, std::uint32_t>& own_shares,
                                    core::time_point now) {
    m_own_shares = own_shares;
    apply_lent_endpoints();
    preopen_connections(now);
}

void relay_core::apply_lent_endpoints() {
    for (auto& [id, view] : m_endpoints) {
        const auto found = m_own_shares.find(id);
        view.m_lent = found != m_own_shares.end();
        view.m_own_connection_share = view.m_lent ? found->second : 0;
    }
}

// Idle transactions hold a connection without using a slot, so the busiest host may need several times its
// share. The database itself refuses connections beyond its limit, which affects no statement in progress.
std::uint32_t relay_core::max_connections(const core::service_name& service) const {
    const documents::service_rule* rule = m_configuration.find_service(service);
    const std::uint32_t extra = rule == nullptr || !m_limits.m_rules.m_extra_connections
                                    ? 0
                                    : rule->m_max_connections / max_host_share_divisor;
    return std::max({1U, connection_share(service), extra});
}

void relay_core::close_extra_connections(core::time_point now) {
    std::vector<connection_id> unused;
    std::map<core::endpoint_id, std::uint32_t> left;
    for (const auto& [conn_id, conn] : m_connections) {
        const endpoint_view& view = m_endpoints.at(conn.m_endpoint);
        std::uint32_t& open = left.try_emplace(conn.m_endpoint, view.m_connections).first->second;
        const bool extra = open > connection_share(view);
        if (extra && !conn.m_borrowed && conn.m_phase == connection_phase::idle &&
            conn.m_last_contact + extra_connection_idle_timeout < now) {
            unused.push_back(conn_id);
            --open;
        }
    }
    for (const connection_id conn_id : unused) {
        remove_connection(conn_id);
    }
}

void relay_core::open_connections(const core::endpoint_id& endpoint, std::uint32_t requested,
                                  core::time_point now) {
    const auto found = m_endpoints.find(endpoint);
    if (connections_by_customer() || found == m_endpoints.end() ||
        !found->second.m_suspect_until.passed(now) || !found->second.m_full_until.passed(now)) {
        return; // All connections are lent, or it is tried again when the back-off has ended.
    }
    endpoint_view& view = found->second;
    const std::uint32_t allowed =
        view.m_lent ? view.m_own_connection_share : max_connections(view.m_report.m_service);
    for (; requested > 0 && view.m_connections < allowed; --requested) {
        const connection_id conn_id(++m_last_connection);
        connection opened;
        opened.m_endpoint = endpoint;
        opened.m_answer_deadline.m_at = now + opening_timeout;
        m_connections.emplace(conn_id, std::move(opened));
        ++view.m_connections;
        ++view.m_opening;
        ++m_counters.m_connections_opened;
        m_ports.open_connection(conn_id, view.m_report);
    }
}

void relay_core::preopen_connections(core::time_point now) {
    for (const auto& [id, view] : m_endpoints) {
        const std::uint32_t requested = std::min(preopened_connections, connection_share(view));
        if (view.m_connections < requested && view.m_report.m_state != registry::report_state::removed) {
            open_connections(id, requested - view.m_connections, now);
        }
    }
}

void relay_core::on_endpoints_changed(const std::vector<registry::endpoint_report>& reports,
                                      core::time_point now) {
    std::set<core::endpoint_id> present;
    for (const registry::endpoint_report& report : reports) {
        present.insert(report.m_id);
        endpoint_view& view = m_endpoints[report.m_id];
        const bool restarted =
            !view.m_report.m_id.value().empty() && view.m_report.m_started_ms != report.m_started_ms;
        if (restarted || (!view.m_report.m_is_primary && report.m_is_primary)) {
            view.m_suspect_until = {};
            view.m_not_primary_until = {};
        }
        view.m_report = report;
    }
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
        // Connections in use finish their statements; the view of the endpoint stays until then.
        if (present.contains(it->first) || it->second.m_busy + it->second.m_loans > 0) {
            if (!present.contains(it->first)) {
                it->second.m_report.m_state = registry::report_state::removed;
                it->second.m_report.m_is_primary = false;
            }
            ++it;
            continue;
        }
        std::vector<connection_id> idle;
        for (const auto& [conn_id, conn] : m_connections) {
            if (conn.m_endpoint == it->first) {
                idle.push_back(conn_id);
            }
        }
        for (const connection_id conn_id : idle) {
            if (const auto owner = m_connections.at(conn_id).m_requested_by) {
                m_sessions.at(*owner).m_operation->m_loan.reset();
            }
            remove_connection(conn_id);
        }
        it = m_endpoints.erase(it);
    }
    apply_lent_endpoints();
    apply_primary_leases();
    preopen_connections(now);
    dispatch_waiting(now);
}

bool relay_core::needs_primary_leases() const {
    return std::ranges::any_of(m_configuration.m_services, [this](const documents::service_rule& rule) {
        return documents::needs_primary_lease(rule, m_limits.m_executor_fences);
    });
}

void relay_core::set_primary_leases(const primary_leases::primary_list& primaries, core::deadline lease_end,
                                    core::time_point now) {
    const bool regained = m_primary_lease_end.passed(now) || primaries != m_leased_primaries;
    m_leased_primaries = primaries;
    m_primary_lease_end = lease_end;
    apply_primary_leases();
    if (regained) {
        dispatch_waiting(now);
    }
}

bool relay_core::may_use_primary(const connection& conn, core::time_point now) const {
    return may_act_as_primary(m_endpoints.at(conn.m_endpoint), now);
}

void relay_core::apply_primary_leases() {
    for (auto& [id, view] : m_endpoints) {
        const documents::service_rule* rule = m_configuration.find_service(view.m_report.m_service);
        const auto assigned = m_leased_primaries.find(view.m_report.m_service);
        const bool is_assigned = assigned != m_leased_primaries.end() && assigned->second == id;
        view.m_needs_lease = rule == nullptr
                                 ? !m_limits.m_executor_fences
                                 : documents::needs_primary_lease(*rule, m_limits.m_executor_fences);
        view.m_primary_lease_end = is_assigned ? m_primary_lease_end : core::deadline{};
    }
}

void relay_core::configure(documents::configuration next, core::time_point now) {
    if (next.m_version <= m_configuration.m_version) {
        return;
    }
    m_configuration = std::move(next);
    m_lowest_priority = 0;
    for (const documents::route_rule& route : m_configuration.m_routes) {
        m_lowest_priority = std::max(m_lowest_priority, route.m_priority);
    }
    apply_primary_leases();
    check_identities(now);
    preopen_connections(now);
    dispatch_waiting(now);
}

} // namespace mangoquay::relay
