// Endpoints that come and go, and the links that are kept to them.
#include "relay/relay_core.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mangoquay::relay {
namespace {

// A new connection takes about 12 ms (sheet); a lost opening packet is repeated only after a second.
constexpr core::milliseconds opening_limit{700};
// Links kept open at each endpoint from the start, so that the first statements do not wait for one.
constexpr std::uint32_t links_ahead = 1;
// A host takes at most half of a database's connections.
constexpr std::uint32_t most_of_one_host_divisor = 2;
// Transactions pause on a link, so a host with fewer could not run anything beside one.
constexpr std::uint32_t least_own_links = 1;
// Links beyond the host's share go back when they were not used for this long.
constexpr core::milliseconds extra_idle{400};

} // namespace

std::uint32_t relay_core::usable_connections(const core::service_name& service) const {
    const documents::service_rule* rule = m_configuration.service(service);
    return rule == nullptr || rule->m_connections <= m_limits.m_reserved_connections
               ? 0
               : rule->m_connections - m_limits.m_reserved_connections;
}

std::uint32_t relay_core::links_kept(const core::service_name& service) const {
    return usable_connections(service) / m_limits.m_entry_hosts;
}

bool relay_core::shares_links(const core::service_name& service) const {
    return m_configuration.service(service) != nullptr && links_kept(service) < least_own_links;
}

std::uint32_t relay_core::links_kept(const endpoint_view& view) const {
    return view.m_lent ? view.m_own_kept : links_kept(view.m_report.m_service);
}

void relay_core::lent_endpoints(const std::map<core::endpoint_id, std::uint32_t>& kept,
                                core::time_point now) {
    for (auto& [id, view] : m_endpoints) {
        const auto found = kept.find(id);
        view.m_lent = found != kept.end();
        view.m_own_kept = view.m_lent ? found->second : 0;
    }
    open_links_ahead(now);
}

// Transactions that pause hold a link without using a slot, so the busiest host may need several times its
// share. The database itself refuses a connection beyond its limit, which costs nobody's work.
std::uint32_t relay_core::links_allowed(const core::service_name& service) const {
    const documents::service_rule* rule = m_configuration.service(service);
    const std::uint32_t extra = rule == nullptr || !m_limits.m_rules.m_extra_links
                                    ? 0
                                    : rule->m_connections / most_of_one_host_divisor;
    return std::max({1U, links_kept(service), extra});
}

void relay_core::close_extra_links(core::time_point now) {
    std::vector<link_id> unused;
    std::map<core::endpoint_id, std::uint32_t> left;
    for (const auto& [number, one] : m_links) {
        const endpoint_view& view = m_endpoints.at(one.m_endpoint);
        std::uint32_t& open = left.try_emplace(one.m_endpoint, view.m_links).first->second;
        const bool extra = open > links_kept(view);
        if (extra && !one.m_lent && one.m_phase == link_phase::idle && one.m_heard + extra_idle < now) {
            unused.push_back(number);
            --open;
        }
    }
    for (const link_id number : unused) {
        drop_link(number);
    }
}

void relay_core::open_links(const core::endpoint_id& endpoint, std::uint32_t wanted, core::time_point now) {
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !found->second.m_suspect.passed(now) ||
        !found->second.m_full.passed(now)) {
        return; // tried again when the back-off has ended
    }
    endpoint_view& view = found->second;
    const std::uint32_t allowed = view.m_lent ? view.m_own_kept : links_allowed(view.m_report.m_service);
    for (; wanted > 0 && view.m_links < allowed; --wanted) {
        const link_id number(++m_last_link);
        link opened;
        opened.m_endpoint = endpoint;
        opened.m_answer_by.m_at = now + opening_limit;
        m_links.emplace(number, std::move(opened));
        ++view.m_links;
        ++view.m_opening;
        ++m_counters.m_links_opened;
        m_ports.open_link(number, view.m_report);
    }
}

void relay_core::open_links_ahead(core::time_point now) {
    for (const auto& [id, view] : m_endpoints) {
        const std::uint32_t wanted = std::min(links_ahead, links_kept(view));
        if (view.m_links < wanted && view.m_report.m_state != registry::report_state::gone) {
            open_links(id, wanted - view.m_links, now);
        }
    }
}

void relay_core::endpoints_changed(const std::vector<registry::endpoint_report>& listed,
                                   core::time_point now) {
    std::set<core::endpoint_id> present;
    for (const registry::endpoint_report& report : listed) {
        present.insert(report.m_id);
        endpoint_view& view = m_endpoints[report.m_id];
        const bool restarted =
            !view.m_report.m_id.value().empty() && view.m_report.m_started_ms != report.m_started_ms;
        if (restarted || (!view.m_report.m_is_primary && report.m_is_primary)) {
            view.m_suspect = {};
            view.m_refuted = {};
        }
        view.m_report = report;
    }
    for (auto one = m_endpoints.begin(); one != m_endpoints.end();) {
        // Links that are in use finish their work; the record stays until they are gone.
        if (present.contains(one->first) || one->second.m_busy + one->second.m_loans > 0) {
            if (!present.contains(one->first)) {
                one->second.m_report.m_state = registry::report_state::gone;
                one->second.m_report.m_is_primary = false;
            }
            ++one;
            continue;
        }
        std::vector<link_id> idle;
        for (const auto& [number, link] : m_links) {
            if (link.m_endpoint == one->first) {
                idle.push_back(number);
            }
        }
        for (const link_id number : idle) {
            if (const auto owner = m_links.at(number).m_wanted_by) {
                m_sessions.at(*owner).m_operation->m_loan.reset();
            }
            drop_link(number);
        }
        one = m_endpoints.erase(one);
    }
    open_links_ahead(now);
    dispatch_waiting(now);
}

void relay_core::configure(documents::configuration next, core::time_point now) {
    if (next.m_version <= m_configuration.m_version) {
        return;
    }
    m_configuration = std::move(next);
    m_least_priority = 0;
    for (const documents::route_rule& route : m_configuration.m_routes) {
        m_least_priority = std::max(m_least_priority, route.m_priority);
    }
    open_links_ahead(now);
    dispatch_waiting(now);
}

} // namespace mangoquay::relay
