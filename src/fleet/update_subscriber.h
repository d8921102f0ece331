// Follows every control host that this host knows: configuration documents and endpoint reports.
//
// Decides: whom to ask, how often. Owns: the known control hosts and the registry of endpoints. Several hosts
// are followed at once, because what they say is merged: one that is cut off or stale does no harm. The shell
// provides the document handler, since control hosts take documents from their log instead.
#pragma once

#include "documents/configuration.h"
#include "documents/document_fetch.h"
#include "lending/lender_choice.h"
#include "registry/endpoint_registry.h"
#include "relay/relay_core.h"
#include "transport/message_bus.h"
#include "transport/peer_network.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace mangoquay::fleet {

// Hosts are named by their IP numbers, because nothing else about them is known in advance.
core::entry_host_id host_id(const control::socket_address& address);

struct subscriber_identity {
    core::entry_host_id m_self;
    control::socket_address m_peer_address;
    bool m_is_entry = false;
    core::availability_zone m_zone;
};

struct subscriber_handlers {
    std::function<void(documents::document_version, const std::string& bytes)> m_document_received;
    std::function<void()> m_endpoints_changed;
    std::function<void(std::uint32_t)> m_entry_host_count;
    // The entry hosts that take callers have changed.
    std::function<void(const lending::hosts_by_zone&)> m_ready_hosts;
    std::function<std::vector<relay::primary_observation>()> m_primary_observations;
    std::function<bool()> m_ready;
    std::function<documents::document_version()> m_document_version;
};

class update_subscriber {
public:
    update_subscriber(transport::event_loop& loop, transport::message_bus& bus, transport::peer_network& network,
                  subscriber_identity identity, subscriber_handlers handlers);

    void start(const std::vector<control::socket_address>& known_control);
    // Asks all known control hosts now.
    void query_control_hosts();
    void add_control_host(const core::entry_host_id& host);

    [[nodiscard]] registry::endpoint_registry& endpoints() { return m_registry; }
    [[nodiscard]] const registry::endpoint_registry& endpoints() const { return m_registry; }
    [[nodiscard]] const std::set<core::entry_host_id>& control_hosts() const { return m_control_hosts; }
    // When a control host last answered.
    [[nodiscard]] std::optional<core::time_point> last_contact() const { return m_last_contact; }

private:
    void tick();
    [[nodiscard]] wire::fleet_followT make_query() const;
    // Asks one control host for a document that it announced, when it is time to.
    void fetch_document();
    void on_document_received(const wire::fleet_updateT& update);
    void on_ready_hosts_received(const core::entry_host_id& from, const wire::fleet_updateT& update);
    // What the control hosts that answered of late say together.
    [[nodiscard]] lending::hosts_by_zone merged_ready_hosts(core::time_point now) const;
    void on_update_received(const core::entry_host_id& from, const wire::fleet_updateT& update);

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    subscriber_identity m_identity;
    subscriber_handlers m_handlers;
    std::set<core::entry_host_id> m_control_hosts;
    std::map<core::entry_host_id, core::time_point> m_last_answers;
    std::map<core::entry_host_id, std::uint32_t> m_entry_host_counts; // as each control host counts them
    struct ready_list {
        std::uint64_t m_digest = 0;
        core::time_point m_confirmed{};
        lending::hosts_by_zone m_hosts;
    };
    std::map<core::entry_host_id, ready_list> m_ready_lists; // by control host
    lending::hosts_by_zone m_ready_hosts;
    registry::endpoint_registry m_registry;
    documents::document_fetch m_fetch;
    bool m_fetch_timer_set = false;
    std::optional<core::time_point> m_last_contact;
};

} // namespace mangoquay::fleet
