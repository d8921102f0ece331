// Answers the queries of the subscribers of a control host and pushes changes to them.
//
// Owns the list of subscribers, which is not persisted. Versions of documents are announced to all of them;
// the document itself is sent to a subscriber on request.
#pragma once

#include "core/clock.h"
#include "documents/document_register.h"
#include "documents/resume_check.h"
#include "registry/endpoint_registry.h"
#include "transport/message_bus.h"
#include "transport/peer_network.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangoquay::fleet {

// Identifies an endpoint in observations, which hosts send twice a second. Two endpoints with the same value
// would share their observations.
using endpoint_hash = core::strong_value<struct endpoint_hash_tag, std::uint32_t>;
endpoint_hash hash_of(const core::endpoint_id& endpoint);

// What an entry host last reported about a primary.
struct primary_view {
    bool m_answered = false;
    bool m_failing = false;
};

struct subscriber_record {
    bool m_is_entry = false;
    bool m_ready = false; // Accepts callers.
    core::availability_zone m_zone;
    core::time_point m_last_contact{};
    // The confirmation that the subscriber waits for; 0 if it waits for none.
    documents::confirmation_number m_awaited;
    core::time_point m_waiting_since{}; // Arrival of the first query for that confirmation.
    std::map<endpoint_hash, primary_view> m_primaries;
};

class update_publisher {
public:
    update_publisher(transport::message_bus& bus, transport::peer_network& network,
                     const documents::document_register& documents, registry::endpoint_registry& endpoints);

    // Answers a query. `control_hosts` are the hosts that the subscriber shall know.
    void on_query_received(const core::entry_host_id& from, const wire::fleet_followT& query,
                           const std::set<core::entry_host_id>& control_hosts, core::time_point now);
    // The document is not older than any version that was committed before `as_of`. Notifies the subscribers
    // that wait for this.
    void confirm_document(core::time_point as_of);
    // Whether a subscriber waits for a confirmation as of a later time than the last one.
    [[nodiscard]] bool has_waiting_subscribers() const;
    // Announces the version of the document to all subscribers.
    void announce_document();
    // Publishes a report that was merged on this host. Control hosts receive every report, because they track
    // when an endpoint last reported; entry hosts receive only changes.
    void publish_report(const registry::endpoint_report& report, bool changed);

    [[nodiscard]] const std::map<core::entry_host_id, subscriber_record>& subscribers() const {
        return m_subscribers;
    }
    [[nodiscard]] std::uint32_t entry_host_count() const;

private:
    [[nodiscard]] bool is_waiting(const subscriber_record& subscriber) const;
    [[nodiscard]] bool is_confirmed_for(const subscriber_record& subscriber) const;
    void erase_expired_subscribers(core::time_point now);
    void add_document(wire::fleet_updateT& update);
    // Adds the list of control hosts, unless the subscriber has it already.
    static void add_control_hosts(wire::fleet_updateT& update, const std::set<core::entry_host_id>& hosts,
                                  std::uint64_t known_digest);
    // Adds the list of ready entry hosts, unless the subscriber has it already.
    void add_ready_hosts(wire::fleet_updateT& update, std::uint64_t known_digest, core::time_point now) const;

    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    const documents::document_register& m_documents;
    registry::endpoint_registry& m_registry;
    core::time_point m_start_time = core::now();
    std::map<core::entry_host_id, subscriber_record> m_subscribers;
    std::optional<core::time_point> m_current_as_of; // See confirm_document().
    // The last requested document, compressed once for all subscribers.
    std::string m_deflated;
    documents::document_version m_deflated_version;
};

} // namespace mangoquay::fleet
