// News for followers.
#include "fleet/update_publisher.h"

#include "core/deflate.h"
#include "registry/registry_wire.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangoquay::fleet {
namespace {

// Followers ask every half a second. Their share of connections is kept for some seconds after they fall
// silent, because a host that is cut off from here may still use it.
constexpr core::milliseconds follower_lifetime{10000};
// A host that takes callers says so every half a second.
constexpr core::milliseconds ready_lifetime{1600};
// After a start it takes two questions of each host until the list of hosts is complete.
constexpr core::milliseconds complete_after{1200};

} // namespace

update_publisher::update_publisher(transport::message_bus& bus, transport::peer_network& network,
                         const documents::document_register& documents,
                         registry::endpoint_registry& endpoints)
    : m_bus(bus), m_network(network), m_documents(documents), m_registry(endpoints) {}

std::uint32_t update_publisher::entry_hosts() const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_followers, [](const auto& one) { return one.second.m_is_entry; }));
}

void update_publisher::forget_silent(core::time_point now) {
    std::erase_if(m_followers,
                  [now](const auto& one) { return one.second.m_last_contact + follower_lifetime < now; });
}

void update_publisher::asked(const core::entry_host_id& from, const wire::fleet_followT& question,
                        const std::set<core::entry_host_id>& control_hosts, core::time_point now) {
    forget_silent(now);
    if (!m_followers.contains(from)) {
        m_network.set_address(from, {question.peer_host, question.peer_port});
    }
    subscriber_record& follower = m_followers[from];
    follower.m_is_entry = question.is_entry;
    follower.m_ready = question.ready;
    follower.m_zone = core::availability_zone(question.zone);
    follower.m_last_contact = now;
    follower.m_primaries.clear();
    for (const auto& view : question.primaries) {
        follower.m_primaries[core::endpoint_id(view->endpoint)] = {view->answered, view->failing};
    }
    wire::fleet_updateT news;
    for (const core::entry_host_id& host : control_hosts) {
        news.control_hosts.push_back(host.value());
    }
    news.entry_hosts = entry_hosts();
    news.document_version = m_documents.version().value();
    if (question.wants_document && question.document_version < news.document_version) {
        add_document(news);
    }
    if (question.registry_digest != m_registry.digest()) {
        for (const auto& [id, entry] : m_registry.entries()) {
            news.endpoints.push_back(
                std::make_unique<wire::endpoint_entryT>(registry::to_wire(entry.m_report)));
        }
    }
    if (question.is_entry) {
        add_ready_hosts(news, question.ready_hosts_digest, now);
    }
    m_bus.send(from, std::move(news));
}

void update_publisher::add_ready_hosts(wire::fleet_updateT& news, std::uint64_t known_digest,
                                  core::time_point now) const {
    if (m_started + complete_after > now) {
        return;
    }
    std::map<core::availability_zone, std::vector<std::string>> zones;
    std::string all;
    for (const auto& [host, follower] : m_followers) {
        if (follower.m_is_entry && follower.m_ready && follower.m_last_contact + ready_lifetime > now) {
            zones[follower.m_zone].push_back(host.value());
            all += follower.m_zone.value() + " " + host.value() + "\n";
        }
    }
    news.ready_hosts_digest = std::hash<std::string>{}(all);
    if (news.ready_hosts_digest == known_digest) {
        return;
    }
    for (auto& [zone, hosts] : zones) {
        auto entry = std::make_unique<wire::zone_hostsT>();
        entry->zone = zone.value();
        entry->hosts = std::move(hosts);
        news.ready_hosts.push_back(std::move(entry));
    }
}

// Each follower hears of a change from all control hosts and fetches the document from one: several copies of
// several versions would fill a thin link for seconds.
void update_publisher::document_changed() {
    for (const auto& [host, follower] : m_followers) {
        wire::fleet_updateT news;
        news.document_version = m_documents.version().value();
        m_bus.send(host, std::move(news));
    }
}

void update_publisher::add_document(wire::fleet_updateT& news) {
    if (m_deflated_version != m_documents.version()) {
        m_deflated = core::deflate(m_documents.bytes());
        m_deflated_version = m_documents.version();
    }
    news.document.assign(m_deflated.begin(), m_deflated.end());
    news.document_bytes = static_cast<std::uint32_t>(m_documents.bytes().size());
}

void update_publisher::report_merged(const registry::endpoint_report& report, bool changed) {
    for (const auto& [host, follower] : m_followers) {
        if (changed || !follower.m_is_entry) {
            wire::fleet_updateT news;
            news.endpoints.push_back(std::make_unique<wire::endpoint_entryT>(registry::to_wire(report)));
            m_bus.send(host, std::move(news));
        }
    }
}

} // namespace mangoquay::fleet
