// Sends queries to control hosts and merges their updates.
#include "fleet/update_subscriber.h"

#include "core/deflate.h"
#include "core/log.h"
#include "core/process_number.h"
#include "fleet/update_publisher.h"
#include "registry/registry_wire.h"

#include <algorithm>
#include <utility>

namespace mangoquay::fleet {
namespace {

// Changes are pushed. Periodic queries only recover updates that were lost with a peer connection.
constexpr core::milliseconds query_interval{500};
// Interval until the first configuration has arrived.
constexpr core::milliseconds initial_query_interval{100};
// Control hosts answer every query, so a host that has heard nothing for this long is out of contact.
constexpr core::milliseconds logged_silence{2000};
// Each control host confirms its list every 500 ms. One that has not done so for longer may be partitioned,
// and its list out of date.
constexpr core::milliseconds ready_list_lifetime{2000};

} // namespace

core::entry_host_id host_id(const control::socket_address& address) {
    return core::entry_host_id(address.m_host);
}

update_subscriber::update_subscriber(transport::event_loop& loop, transport::message_bus& bus,
                                     transport::peer_network& network, subscriber_identity identity,
                                     subscriber_handlers handlers)
    : m_loop(loop), m_bus(bus), m_network(network), m_identity(std::move(identity)),
      m_handlers(std::move(handlers)), m_control_hosts(m_identity.m_self), m_fetch(m_identity.m_self),
      m_resume_check(documents::confirmation_number(core::random_first_number())) {
    m_bus.set_handler<wire::fleet_updateT>(
        [this](const auto& from, const auto& update) { on_update_received(from, update); });
}

void update_subscriber::start(const std::vector<control::socket_address>& known_control) {
    for (const control::socket_address& address : known_control) {
        add_control_host(host_id(address));
        m_control_hosts.add_seed(host_id(address), core::now());
    }
    tick();
}

void update_subscriber::add_control_host(const core::entry_host_id& host) {
    if (!m_control_hosts.add(host, core::now())) {
        return;
    }
    // All hosts of a fleet use the same peer port.
    m_network.set_address(host, {host.value(), m_identity.m_peer_address.m_port});
    core::log_line(core::log_level::info, "fleet", "control host added host=" + host.value());
}

void update_subscriber::log_contact_change(core::time_point now) {
    const bool is_silent = m_last_contact && *m_last_contact + logged_silence < now;
    if (std::exchange(m_logged_silent, is_silent) != is_silent) {
        core::log_line(core::log_level::info, "fleet",
                       (is_silent ? "no control host answers known=" : "control hosts answer again known=") +
                           std::to_string(m_control_hosts.hosts().size()));
    }
}

void update_subscriber::tick() {
    const core::time_point now = core::now();
    log_contact_change(now);
    update_control_hosts(now);
    m_registry.erase_expired(now);
    query_control_hosts();
    const bool has_document = m_handlers.m_document_version().value() > 0;
    m_loop.run_after(has_document ? query_interval : initial_query_interval, [this] { tick(); });
}

void update_subscriber::update_control_hosts(core::time_point now) {
    const round_changes changes = m_control_hosts.start_round(now);
    for (const core::entry_host_id& host : changes.m_removed) {
        core::log_line(core::log_level::info, "fleet",
                       "control host removed because it does not answer host=" + host.value());
        m_fetch.remove_host(host);
        m_control_lists.clear(); // Lists that name the host are sent again and add it again.
        m_entry_host_counts.erase(host);
        m_ready_lists.erase(host);
    }
    for (const core::entry_host_id& host : changes.m_added) {
        core::log_line(core::log_level::info, "fleet",
                       "control host of the settings added again host=" + host.value());
    }
}

wire::fleet_followT update_subscriber::make_query() const {
    wire::fleet_followT query;
    query.is_entry = m_identity.m_is_entry;
    query.ready = m_handlers.m_ready();
    query.peer_host = m_identity.m_peer_address.m_host;
    query.peer_port = m_identity.m_peer_address.m_port;
    query.zone = m_identity.m_zone.value();
    query.document_version = m_handlers.m_document_version().value();
    const bool needs_confirmation = query.document_version == 0 || m_resume_check.is_awaited();
    query.confirmation = needs_confirmation ? m_resume_check.number().value() : 0;
    query.registry_digest = m_registry.digest();
    for (const relay::primary_observation& seen : m_handlers.m_primary_observations()) {
        if (seen.m_answered || seen.m_failing) {
            query.sightings.emplace_back(hash_of(seen.m_endpoint).value(), seen.m_answered, seen.m_failing);
        }
    }
    return query;
}

void update_subscriber::query_control_hosts() {
    wire::fleet_followT query = make_query();
    for (const core::entry_host_id& host : m_control_hosts.hosts()) {
        const auto known = m_ready_lists.find(host);
        query.ready_hosts_digest = known == m_ready_lists.end() ? 0 : known->second.m_digest;
        const auto list = m_control_lists.find(host);
        query.control_hosts_digest = list == m_control_lists.end() ? 0 : list->second;
        m_bus.send(host, query);
    }
    fetch_document();
}

void update_subscriber::fetch_document() {
    const core::time_point now = core::now();
    if (const auto host = m_fetch.next_host(m_handlers.m_document_version(), now)) {
        wire::fleet_followT query = make_query();
        query.wants_document = true;
        core::log_line(core::log_level::info, "fleet",
                       "configuration requested host=" + host->value() +
                           " announced=" + std::to_string(m_fetch.announced_version(*host).value()) +
                           " held=" + std::to_string(query.document_version));
        m_bus.send(*host, std::move(query));
    }
    const core::deadline next_attempt = m_fetch.next_attempt(m_handlers.m_document_version());
    if (next_attempt.m_at != core::time_point::max() && !std::exchange(m_fetch_timer_set, true)) {
        m_loop.run_at(next_attempt.m_at, [this] {
            m_fetch_timer_set = false;
            fetch_document();
        });
    }
}

void update_subscriber::on_document_received(const core::entry_host_id& from,
                                             const wire::fleet_updateT& update) {
    const documents::document_version version(update.document_version);
    auto inflated =
        core::inflate(std::string(update.document.begin(), update.document.end()), update.document_bytes);
    if (!inflated) {
        core::log_line(core::log_level::error, "fleet",
                       "configuration cannot be decompressed version=" + std::to_string(version.value()) +
                           " reason=" + inflated.reason());
        return;
    }
    m_fetch.on_document_arrived(core::now());
    if (!m_fetch.usable(version, m_handlers.m_document_version())) {
        return;
    }
    m_handlers.m_document_received({version, std::move(*inflated), from});
}

void update_subscriber::on_ready_hosts_received(const core::entry_host_id& from,
                                                const wire::fleet_updateT& update) {
    const core::time_point now = core::now();
    ready_list& list = m_ready_lists[from];
    list.m_confirmed = now;
    if (!update.ready_hosts.empty()) {
        list.m_digest = update.ready_hosts_digest;
        list.m_hosts.clear();
        for (const auto& zone : update.ready_hosts) {
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
        m_handlers.m_ready_hosts_changed(m_ready_hosts);
    }
}

lending::hosts_by_zone update_subscriber::merged_ready_hosts(core::time_point now) const {
    lending::hosts_by_zone merged;
    for (const auto& [control, list] : m_ready_lists) {
        if (list.m_confirmed + ready_list_lifetime > now) {
            for (const auto& [zone, hosts] : list.m_hosts) {
                merged[zone].insert(hosts.begin(), hosts.end());
            }
        }
    }
    return merged;
}

void update_subscriber::on_update_received(const core::entry_host_id& from,
                                           const wire::fleet_updateT& update) {
    const core::time_point now = core::now();
    if (!m_control_hosts.on_answer(from, now)) {
        if (m_unknown_senders.insert(from).second) {
            core::log_line(core::log_level::warning, "fleet",
                           "updates ignored because the sender is not a known control host host=" +
                               from.value());
        }
        return;
    }
    m_last_contact = now;
    for (const std::string& host : update.control_hosts) {
        add_control_host(core::entry_host_id(host));
    }
    if (!update.control_hosts.empty()) {
        m_control_lists[from] = update.control_hosts_digest;
    }
    bool changed = false;
    for (const auto& entry : update.endpoints) {
        const registry::endpoint_report report = registry::from_wire(*entry);
        changed = m_registry.merge(report, now) == registry::merge_outcome::changed || changed;
    }
    if (update.entry_hosts > 0) {
        m_entry_host_counts[from] = update.entry_hosts;
        const auto largest =
            std::ranges::max_element(m_entry_host_counts, {}, [](const auto& one) { return one.second; });
        m_handlers.m_entry_host_count_received(largest->second);
    }
    m_resume_check.on_contact(now);
    const documents::document_version version(update.document_version);
    if (m_resume_check.on_confirmed(documents::confirmation_number(update.confirmed), version)) {
        m_fetch.on_current_version_confirmed(version);
    }
    if (!update.document.empty()) {
        on_document_received(from, update);
    }
    if (update.ready_hosts_digest != 0) {
        on_ready_hosts_received(from, update);
    }
    if (changed) {
        m_handlers.m_endpoints_changed();
    }
    m_fetch.on_version_announced(from, documents::document_version(update.document_version));
    fetch_document();
    resume_work_if_allowed();
}

bool update_subscriber::may_start_work() {
    if (m_resume_check.on_running(core::now())) {
        core::log_line(core::log_level::info, "fleet",
                       "resumed after a pause; new work waits for the current configuration held=" +
                           std::to_string(m_handlers.m_document_version().value()));
        if (!std::exchange(m_work_waits, true)) {
            await_confirmation();
        }
    }
    return may_rely_on_document();
}

// Queries often, because one lost message would use up most of the wait.
void update_subscriber::await_confirmation() {
    resume_work_if_allowed();
    if (m_work_waits) {
        query_control_hosts();
        m_loop.run_after(initial_query_interval, [this] { await_confirmation(); });
    }
}

bool update_subscriber::may_rely_on_document() const {
    return m_resume_check.may_rely_on(m_handlers.m_document_version(), core::now());
}

void update_subscriber::resume_work_if_allowed() {
    if (!m_work_waits || !may_rely_on_document()) {
        return;
    }
    m_work_waits = false;
    core::log_line(
        core::log_level::info, "fleet",
        "new work starts again configuration=" + std::to_string(m_handlers.m_document_version().value()) +
            " confirmed=" + (m_resume_check.is_awaited() ? "no" : "yes"));
    m_handlers.m_work_resumed();
}

} // namespace mangoquay::fleet
