// Questions to control hosts and the merge of their answers.
#include "fleet/news_follower.h"

#include "core/deflate.h"
#include "core/log.h"
#include "registry/registry_wire.h"

#include <algorithm>
#include <utility>

namespace mangoquay::fleet {
namespace {

// Changes are pushed; this period only repairs what a lost link dropped.
constexpr core::milliseconds ask_period{500};
// Until a first configuration has arrived.
constexpr core::milliseconds first_ask_period{100};
// A control host that is no member any more and has not answered for this long is forgotten.
constexpr core::milliseconds forget_after{20000};
// Each control host confirms its list twice a second; one that is silent for longer may be cut off with a
// list that is out of date.
constexpr core::milliseconds list_lifetime{2000};

} // namespace

core::entry_host_id host_id(const control::socket_address& address) {
    return core::entry_host_id(address.m_host);
}

news_follower::news_follower(transport::event_loop& loop, transport::message_bus& bus,
                             transport::peer_network& network, follower_identity identity,
                             follower_handlers handlers)
    : m_loop(loop), m_bus(bus), m_network(network), m_identity(std::move(identity)),
      m_handlers(std::move(handlers)), m_fetch(m_identity.m_self) {
    m_bus.set_handler<wire::fleet_updateT>(
        [this](const auto& from, const auto& news) { updated(from, news); });
}

void news_follower::start(const std::vector<control::socket_address>& known_control) {
    for (const control::socket_address& address : known_control) {
        add_control_host(host_id(address));
    }
    tick();
}

void news_follower::add_control_host(const core::entry_host_id& host) {
    if (host == m_identity.m_self || !m_control_hosts.insert(host).second) {
        return;
    }
    m_answered[host] = core::now();
    // Ports are the same on all hosts of a fleet.
    m_network.set_address(host, {host.value(), m_identity.m_peer_address.m_port});
    core::log_line(core::log_level::info, "fleet", "control host known host=" + host.value());
}

void news_follower::tick() {
    const core::time_point now = core::now();
    std::erase_if(m_control_hosts, [&](const core::entry_host_id& host) {
        const bool forgotten = m_control_hosts.size() > 1 && m_answered[host] + forget_after < now;
        if (forgotten) {
            core::log_line(core::log_level::info, "fleet", "control host forgotten host=" + host.value());
            m_fetch.forget(host);
            m_ready_lists.erase(host);
        }
        return forgotten;
    });
    m_registry.forget_old(now);
    ask();
    const bool knows = m_handlers.m_version().value() > 0;
    m_loop.run_after(knows ? ask_period : first_ask_period, [this] { tick(); });
}

wire::fleet_followT news_follower::question() const {
    wire::fleet_followT question;
    question.is_entry = m_identity.m_is_entry;
    question.ready = m_handlers.m_ready();
    question.peer_host = m_identity.m_peer_address.m_host;
    question.peer_port = m_identity.m_peer_address.m_port;
    question.zone = m_identity.m_zone.value();
    question.document_version = m_handlers.m_version().value();
    question.registry_digest = m_registry.digest();
    for (const relay::primary_observation& seen : m_handlers.m_sightings()) {
        auto view = std::make_unique<wire::primary_viewT>();
        view->endpoint = seen.m_endpoint.value();
        view->answered = seen.m_answered;
        view->failing = seen.m_failing;
        question.primaries.push_back(std::move(view));
    }
    return question;
}

void news_follower::ask() {
    wire::fleet_followT asked = question();
    for (const core::entry_host_id& host : m_control_hosts) {
        const auto known = m_ready_lists.find(host);
        asked.ready_hosts_digest = known == m_ready_lists.end() ? 0 : known->second.m_digest;
        m_bus.send(host, asked);
    }
    fetch();
}

void news_follower::fetch() {
    const core::time_point now = core::now();
    if (const auto host = m_fetch.next(m_handlers.m_version(), now)) {
        wire::fleet_followT asked = question();
        asked.wants_document = true;
        m_bus.send(*host, std::move(asked));
    }
    const core::deadline again = m_fetch.again(m_handlers.m_version());
    if (again.m_at != core::time_point::max() && !std::exchange(m_fetch_timer, true)) {
        m_loop.run_at(again.m_at, [this] {
            m_fetch_timer = false;
            fetch();
        });
    }
}

void news_follower::document_arrived(const wire::fleet_updateT& news) {
    const documents::document_version version(news.document_version);
    const auto inflated =
        core::inflate(std::string(news.document.begin(), news.document.end()), news.document_bytes);
    if (!inflated) {
        core::log_line(core::log_level::error, "fleet",
                       "configuration cannot be inflated version=" + std::to_string(version.value()) +
                           " reason=" + inflated.reason());
        return;
    }
    m_fetch.arrived(core::now());
    m_handlers.m_document(version, *inflated);
}

void news_follower::ready_hosts_arrived(const core::entry_host_id& from, const wire::fleet_updateT& news) {
    const core::time_point now = core::now();
    ready_list& list = m_ready_lists[from];
    list.m_confirmed = now;
    if (!news.ready_hosts.empty()) {
        list.m_digest = news.ready_hosts_digest;
        list.m_hosts.clear();
        for (const auto& zone : news.ready_hosts) {
            for (const std::string& host : zone->hosts) {
                const core::entry_host_id id(host);
                list.m_hosts[core::availability_zone(zone->zone)].insert(id);
                if (id != m_identity.m_self) {
                    m_network.set_address(id, {host, m_identity.m_peer_address.m_port});
                }
            }
        }
    }
    lending::hosts_by_zone merged = merged_ready_hosts(now);
    if (merged != m_ready_hosts) {
        m_ready_hosts = std::move(merged);
        m_handlers.m_ready_hosts(m_ready_hosts);
    }
}

lending::hosts_by_zone news_follower::merged_ready_hosts(core::time_point now) const {
    lending::hosts_by_zone merged;
    for (const auto& [control, list] : m_ready_lists) {
        if (list.m_confirmed + list_lifetime > now) {
            for (const auto& [zone, hosts] : list.m_hosts) {
                merged[zone].insert(hosts.begin(), hosts.end());
            }
        }
    }
    return merged;
}

void news_follower::updated(const core::entry_host_id& from, const wire::fleet_updateT& news) {
    const core::time_point now = core::now();
    m_heard = now;
    m_answered[from] = now;
    for (const std::string& host : news.control_hosts) {
        add_control_host(core::entry_host_id(host));
    }
    bool changed = false;
    for (const auto& entry : news.endpoints) {
        const registry::endpoint_report report = registry::from_wire(*entry);
        changed = m_registry.merge(report, now) == registry::merge_outcome::changed || changed;
    }
    if (news.entry_hosts > 0) {
        m_entry_hosts[from] = news.entry_hosts;
        const auto largest =
            std::ranges::max_element(m_entry_hosts, {}, [](const auto& one) { return one.second; });
        m_handlers.m_entry_hosts(largest->second);
    }
    if (!news.document.empty()) {
        document_arrived(news);
    }
    if (news.ready_hosts_digest != 0) {
        ready_hosts_arrived(from, news);
    }
    if (changed) {
        m_handlers.m_endpoints_changed();
    }
    m_fetch.announced(from, documents::document_version(news.document_version));
    fetch();
}

} // namespace mangoquay::fleet
