// Choice of lenders by rendezvous hashing within a zone.
#include "lending/lender_choice.h"

#include "membership/owner_choice.h"

#include <algorithm>
#include <utility>

namespace mangoquay::lending {
namespace {

// Fifths of the connections that the hosts of the zone keep for their own callers.
constexpr std::uint32_t kept_fifths = 3;

using host_set = std::set<core::entry_host_id>;

// All hosts, which serve a zone without hosts of its own.
host_set all_hosts(const hosts_by_zone& hosts) {
    host_set all;
    for (const auto& [zone, members] : hosts) {
        all.insert(members.begin(), members.end());
    }
    return all;
}

std::vector<core::entry_host_id> rank_by_score(const host_set& hosts, const core::endpoint_id& endpoint) {
    std::vector<core::entry_host_id> ranked(hosts.begin(), hosts.end());
    std::ranges::sort(ranked, std::greater{}, [&endpoint](const core::entry_host_id& host) {
        return membership::rendezvous_score(host, endpoint);
    });
    return ranked;
}

} // namespace

std::uint32_t connections_kept_by(const core::entry_host_id& host, const registry::endpoint_report& endpoint,
                                  const hosts_by_zone& hosts, std::uint32_t usable) {
    const auto zone_entry = hosts.find(endpoint.m_zone);
    if (zone_entry == hosts.end() || !zone_entry->second.contains(host)) {
        return 0;
    }
    const auto zone_hosts = static_cast<std::uint32_t>(zone_entry->second.size());
    const std::uint32_t kept = usable * kept_fifths / 5;
    const std::vector<core::entry_host_id> ranked = rank_by_score(zone_entry->second, endpoint.m_id);
    const auto rank = static_cast<std::uint32_t>(std::ranges::find(ranked, host) - ranked.begin());
    return kept / zone_hosts + (rank < kept % zone_hosts ? 1 : 0);
}

std::uint32_t connections_per_lender(const registry::endpoint_report& endpoint, const hosts_by_zone& hosts,
                                     std::uint32_t usable, std::size_t lenders) {
    const auto zone_entry = hosts.find(endpoint.m_zone);
    const bool any_kept = zone_entry != hosts.end() && !zone_entry->second.empty();
    const std::uint32_t kept = any_kept ? usable * kept_fifths / 5 : 0;
    return std::max(1U, (usable - kept) / static_cast<std::uint32_t>(std::max<std::size_t>(1, lenders)));
}

std::vector<core::entry_host_id> rank_for_customer(const std::vector<core::entry_host_id>& lenders,
                                                   const core::endpoint_id& endpoint,
                                                   const core::customer_name& customer) {
    // Neither part of the pair can contain a blank.
    const core::endpoint_id pair(endpoint.value() + " " + customer.value());
    return rank_by_score({lenders.begin(), lenders.end()}, pair);
}

lenders_by_endpoint choose_lenders(const hosts_by_zone& hosts,
                                   const std::vector<registry::endpoint_report>& endpoints) {
    std::map<core::availability_zone, std::vector<core::endpoint_id>> by_zone;
    for (const registry::endpoint_report& report : endpoints) {
        by_zone[report.m_zone].push_back(report.m_id);
    }
    lenders_by_endpoint chosen;
    const host_set all = all_hosts(hosts);
    for (auto& [zone, members] : by_zone) {
        std::ranges::sort(members);
        const auto zone_entry = hosts.find(zone);
        const host_set& candidates =
            zone_entry == hosts.end() || zone_entry->second.empty() ? all : zone_entry->second;
        const std::size_t count = std::clamp(candidates.size() / members.size(), min_lenders, max_lenders);
        const std::size_t bound =
            candidates.empty() ? 0 : (count * members.size() + candidates.size() - 1) / candidates.size() + 1;
        std::map<core::entry_host_id, std::size_t> load;
        for (const core::endpoint_id& endpoint : members) {
            std::vector<core::entry_host_id>& lenders = chosen[endpoint];
            for (const core::entry_host_id& host : rank_by_score(candidates, endpoint)) {
                if (lenders.size() < count && load[host] < bound) {
                    ++load[host];
                    lenders.push_back(host);
                }
            }
        }
    }
    return chosen;
}

} // namespace mangoquay::lending
