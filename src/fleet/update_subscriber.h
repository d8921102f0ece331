// Receives configuration documents and endpoint reports from every control host that this host knows.
//
// Decides which control hosts to query and how often. Owns the set of known control hosts and the registry of
// endpoints. Subscribes to several control hosts at once and merges their updates, so that one that is
// partitioned or out of date does no harm. The owner provides the document handler, because control hosts
// receive documents through their log instead.
#pragma once

#include "documents/configuration.h"
#include "documents/document_fetch.h"
#include "documents/resume_check.h"
#include "fleet/control_host_list.h"
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

// The id of a host is its IP address, because nothing else about a host is known in advance.
core::entry_host_id host_id(const control::socket_address& address);

struct subscriber_identity {
    core::entry_host_id m_self;
    control::socket_address m_peer_address;
    bool m_is_entry = false;
    core::availability_zone m_zone;
};

struct received_document {
    documents::document_version m_version;
    std::string m_bytes;
    core::entry_host_id m_source; // The control host that sent it.
};

// Called on the event loop. The last three functions supply the data of this host for each query.
struct subscriber_handlers {
    std::function<void(const received_document&)> m_document_received;
    std::function<void()> m_endpoints_changed;
    // The number of entry hosts; the highest of the numbers that the control hosts report.
    std::function<void(std::uint32_t)> m_entry_host_count_received;
    // The set of entry hosts that accept callers has changed.
    std::function<void(const lending::hosts_by_zone&)> m_ready_hosts_changed;
    std::function<std::vector<relay::primary_observation>()> m_primary_observations;
    std::function<bool()> m_ready;
    std::function<documents::document_version()> m_document_version;
    // New work that waited since may_start_work() returned false may start now.
    std::function<void()> m_work_resumed = [] {};
};

class update_subscriber {
public:
    update_subscriber(transport::event_loop& loop, transport::message_bus& bus,
                      transport::peer_network& network, subscriber_identity identity,
                      subscriber_handlers handlers);

    // Whether new work may rely on the document in force. False for a limited time after the process has not
    // run for a while. A subscriber whose work relies on documents must call this before it starts new work,
    // and at least every 100 ms.
    bool may_start_work();

    // Starts the periodic queries.
    void start(const std::vector<control::socket_address>& known_control);
    // Queries all known control hosts now.
    void query_control_hosts();
    // Ignores this host itself and hosts that are known already.
    void add_control_host(const core::entry_host_id& host);

    [[nodiscard]] registry::endpoint_registry& endpoints() { return m_registry; }
    [[nodiscard]] const registry::endpoint_registry& endpoints() const { return m_registry; }
    [[nodiscard]] const std::set<core::entry_host_id>& control_hosts() const {
        return m_control_hosts.hosts();
    }
    // The entry hosts that accept callers, by availability zone.
    [[nodiscard]] const lending::hosts_by_zone& ready_hosts() const { return m_ready_hosts; }
    // When any control host last sent an update.
    [[nodiscard]] std::optional<core::time_point> last_contact() const { return m_last_contact; }

private:
    void tick();
    void log_contact_change(core::time_point now);
    [[nodiscard]] bool may_rely_on_document() const;
    void await_confirmation();
    // Calls m_work_resumed if work has waited and may start now.
    void resume_work_if_allowed();
    void update_control_hosts(core::time_point now);
    [[nodiscard]] wire::fleet_followT make_query() const;
    // Requests an announced document from one control host, if a fetch is due.
    void fetch_document();
    void on_document_received(const core::entry_host_id& from, const wire::fleet_updateT& update);
    void on_ready_hosts_received(const core::entry_host_id& from, const wire::fleet_updateT& update);
    // Union of the lists that control hosts confirmed within ready_list_lifetime.
    [[nodiscard]] lending::hosts_by_zone merged_ready_hosts(core::time_point now) const;
    void on_update_received(const core::entry_host_id& from, const wire::fleet_updateT& update);

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    subscriber_identity m_identity;
    subscriber_handlers m_handlers;
    control_host_list m_control_hosts;
    std::set<core::entry_host_id> m_unknown_senders; // Logged once each.
    // Digest of the list of control hosts that each of them sent last.
    std::map<core::entry_host_id, std::uint64_t> m_control_lists;
    std::map<core::entry_host_id, std::uint32_t> m_entry_host_counts; // As counted by each control host.
    struct ready_list {
        std::uint64_t m_digest = 0;
        core::time_point m_confirmed{};
        lending::hosts_by_zone m_hosts;
    };
    std::map<core::entry_host_id, ready_list> m_ready_lists; // By control host.
    lending::hosts_by_zone m_ready_hosts;
    registry::endpoint_registry m_registry;
    documents::document_fetch m_fetch;
    documents::resume_check m_resume_check;
    bool m_work_waits = false; // m_work_resumed is to be called.
    bool m_fetch_timer_set = false;
    std::optional<core::time_point> m_last_contact;
    bool m_logged_silent = false;
};

} // namespace mangoquay::fleet
