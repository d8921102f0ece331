// Contents of the updates for subscribers.
#include "fleet/update_publisher.h"

#include "core/deflate.h"
#include "registry/registry_wire.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangoquay::fleet {
namespace {

// Subscribers query every 500 ms. A subscriber that has not queried keeps its share of the connections for
// some seconds, because a host that is partitioned from this one may still use it.
constexpr core::milliseconds subscriber_lifetime{10000};
// A host that accepts callers reports so every 500 ms.
constexpr core::milliseconds ready_lifetime{1600};
// After a start, the list of hosts is complete once each host has had the time for two queries.
constexpr core::milliseconds list_completion_time{1200};

} // namespace

// FNV-1a, 32 bits: the same in every build.
endpoint_hash hash_of(const core::endpoint_id& endpoint) {
    constexpr std::uint32_t offset = 2166136261U;
    constexpr std::uint32_t prime = 16777619U;
    std::uint32_t value = offset;
    for (const char byte : endpoint.value()) {
        value = (value ^ static_cast<unsigned char>(byte)) * prime;
    }
    return endpoint_hash(value);
}

update_publisher::update_publisher(transport::message_bus& bus, transport::peer_network& network,
                                   const documents::document_register& documents,
                                   registry::endpoint_registry& endpoints)
    : m_bus(bus), m_network(network), m_documents(documents), m_registry(endpoints) {}

std::uint32_t update_publisher::entry_host_count() const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(m_subscribers, [](const auto& one) { return one.second.m_is_entry; }));
}

void update_publisher::erase_expired_subscribers(core::time_point now) {
    std::erase_if(m_subscribers,
                  [now](const auto& one) { return one.second.m_last_contact + subscriber_lifetime < now; });
}

void update_publisher::on_query_received(const core::entry_host_id& from, const wire::fleet_followT& query,
                                         const std::set<core::entry_host_id>& control_hosts,
                                         core::time_point now) {
    erase_expired_subscribers(now);
    if (!m_subscribers.contains(from)) {
        m_network.set_address(from, {query.peer_host, query.peer_port});
    }
    subscriber_record& subscriber = m_subscribers[from];
    subscriber.m_is_entry = query.is_entry;
    subscriber.m_ready = query.ready;
    subscriber.m_zone = core::availability_zone(query.zone);
    subscriber.m_last_contact = now;
    const documents::confirmation_number awaited(query.confirmation);
    if (subscriber.m_awaited != awaited) {
        subscriber.m_awaited = awaited;
        subscriber.m_waiting_since = now;
    }
    subscriber.m_primaries.clear();
    for (const auto& view : query.primaries) {
        subscriber.m_primaries[hash_of(core::endpoint_id(view->endpoint))] = {view->answered, view->failing};
    }
    for (const wire::primary_sighting& seen : query.sightings) {
        subscriber.m_primaries[endpoint_hash(seen.endpoint())] = {seen.answered(), seen.failing()};
    }
    wire::fleet_updateT update;
    add_control_hosts(update, control_hosts, query.control_hosts_digest);
    update.entry_hosts = entry_host_count();
    update.document_version = m_documents.version().value();
    update.confirmed = is_confirmed_for(subscriber) ? subscriber.m_awaited.value() : 0;
    if (query.wants_document && query.document_version < update.document_version) {
        add_document(update);
    }
    if (query.registry_digest != m_registry.digest()) {
        for (const auto& [id, entry] : m_registry.entries()) {
            update.endpoints.push_back(
                std::make_unique<wire::endpoint_entryT>(registry::to_wire(entry.m_report)));
        }
    }
    if (query.is_entry) {
        add_ready_hosts(update, query.ready_hosts_digest, now);
    }
    m_bus.send(from, std::move(update));
}

void update_publisher::add_control_hosts(wire::fleet_updateT& update,
                                         const std::set<core::entry_host_id>& hosts,
                                         std::uint64_t known_digest) {
    std::string all;
    for (const core::entry_host_id& host : hosts) {
        all += host.value() + "\n";
    }
    update.control_hosts_digest = std::hash<std::string>{}(all);
    if (update.control_hosts_digest != known_digest) {
        for (const core::entry_host_id& host : hosts) {
            update.control_hosts.push_back(host.value());
        }
    }
}

void update_publisher::add_ready_hosts(wire::fleet_updateT& update, std::uint64_t known_digest,
                                       core::time_point now) const {
    if (m_start_time + list_completion_time > now) {
        return;
    }
    std::map<core::availability_zone, std::vector<std::string>> zones;
    std::string all;
    for (const auto& [host, subscriber] : m_subscribers) {
        if (subscriber.m_is_entry && subscriber.m_ready && subscriber.m_last_contact + ready_lifetime > now) {
            zones[subscriber.m_zone].push_back(host.value());
            all += subscriber.m_zone.value() + " " + host.value() + "\n";
        }
    }
    update.ready_hosts_digest = std::hash<std::string>{}(all);
    if (update.ready_hosts_digest == known_digest) {
        return;
    }
    for (auto& [zone, hosts] : zones) {
        auto entry = std::make_unique<wire::zone_hostsT>();
        entry->zone = zone.value();
        entry->hosts = std::move(hosts);
        update.ready_hosts.push_back(std::move(entry));
    }
}

// Each subscriber is notified of a change by all control hosts and fetches the document from one. Several
// copies of several versions would saturate a slow network link for seconds.
void update_publisher::announce_document() {
    for (const auto& [host, subscriber] : m_subscribers) {
        wire::fleet_updateT update;
        update.document_version = m_documents.version().value();
        m_bus.send(host, std::move(update));
    }
}

bool update_publisher::is_waiting(const subscriber_record& subscriber) const {
    return subscriber.m_awaited.value() != 0 && !is_confirmed_for(subscriber);
}

bool update_publisher::is_confirmed_for(const subscriber_record& subscriber) const {
    return m_current_as_of && subscriber.m_waiting_since <= *m_current_as_of;
}

bool update_publisher::has_waiting_subscribers() const {
    return std::ranges::any_of(m_subscribers, [this](const auto& one) { return is_waiting(one.second); });
}

// A subscriber that misses the notification is told again by the answer to its next query.
void update_publisher::confirm_document(core::time_point as_of) {
    std::vector<core::entry_host_id> waiting;
    for (const auto& [host, subscriber] : m_subscribers) {
        if (is_waiting(subscriber)) {
            waiting.push_back(host);
        }
    }
    m_current_as_of = std::max(m_current_as_of.value_or(as_of), as_of);
    for (const core::entry_host_id& host : waiting) {
        const subscriber_record& subscriber = m_subscribers.at(host);
        if (is_confirmed_for(subscriber)) {
            wire::fleet_updateT update;
            update.document_version = m_documents.version().value();
            update.confirmed = subscriber.m_awaited.value();
            m_bus.send(host, std::move(update));
        }
    }
}

void update_publisher::add_document(wire::fleet_updateT& update) {
    if (m_deflated_version != m_documents.version()) {
        m_deflated = core::deflate(m_documents.bytes());
        m_deflated_version = m_documents.version();
    }
    update.document.assign(m_deflated.begin(), m_deflated.end());
    update.document_bytes = static_cast<std::uint32_t>(m_documents.bytes().size());
}

void update_publisher::publish_report(const registry::endpoint_report& report, bool changed) {
    for (const auto& [host, subscriber] : m_subscribers) {
        if (changed || !subscriber.m_is_entry) {
            wire::fleet_updateT update;
            update.document_version = m_documents.version().value(); // 0 would mean that there is none.
            update.endpoints.push_back(std::make_unique<wire::endpoint_entryT>(registry::to_wire(report)));
            m_bus.send(host, std::move(update));
        }
    }
}

} // namespace mangoquay::fleet
