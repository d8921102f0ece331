// Control host of a fleet whose hosts are discovered at run time. It is a member of the Raft cell that stores
// the configuration document, receives endpoint reports and, while it is the leader, orders promotions.
//
// Owns the objects that do this. Runs on the event loop's thread; the HTTP adapter posts its calls to it.
#pragma once

#include "consensus/raft_driver.h"
#include "fleet/lease_service.h"
#include "fleet/promotion_runner.h"
#include "fleet/quota_service.h"
#include "fleet/read_barrier.h"
#include "fleet/registry_store.h"
#include "fleet/replicated_state.h"
#include "fleet/update_publisher.h"
#include "fleet/update_subscriber.h"
#include "settings/fleet_settings.h"

#include <functional>
#include <memory>
#include <string>

namespace mangoquay::fleet {

enum class call_verdict : std::uint8_t {
    done,
    invalid,     // The request is invalid.
    redirected,  // Only the leader can answer.
    unavailable, // No result at present. The caller may retry here or at another host.
};

struct call_outcome {
    call_verdict m_verdict = call_verdict::unavailable;
    std::string m_text;           // The document, or the reason of a failure.
    core::entry_host_id m_leader; // Set if redirected.
};

using call_done = std::function<void(call_outcome)>;

class control_node {
public:
    control_node(transport::event_loop& loop, transport::message_bus& bus, transport::peer_network& network,
                 const settings::fleet_settings& host_settings, documents::document_decoder decoder,
                 const entry::session_protocol& protocol, promotion_executor& executor);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;
    control_node(control_node&&) = delete;
    control_node& operator=(control_node&&) = delete;

    // Starts Raft and loads the persisted endpoints. Fails if Raft cannot start.
    consensus::status start();

    // Commits the document unless its version is not higher than the current one. Must be called on the event
    // loop's thread, as all functions below. Calls `done` once.
    void replace_document(const std::string& bytes, const call_done& done);
    // Reads the committed document. Requires the leader's lease. Calls `done` once.
    void read_document(const call_done& done);
    // Merges a report of an endpoint and publishes it unless it is out of date.
    void merge_report(const registry::endpoint_report& report);
    // Marks an endpoint as removed. `started_ms` identifies the incarnation, if the message states it; an
    // earlier incarnation than the current one is ignored.
    void deregister_endpoint(const core::endpoint_id& endpoint, std::optional<std::int64_t> started_ms);

    // Hands this host's place in the cell to a standby, if there is one, and calls `done` when that is done
    // or its time limit has passed. The host must be stopped then.
    void leave(std::function<void()> done);

    // Metrics of this host in the text exposition format of Prometheus.
    [[nodiscard]] std::string metrics_page() const;

private:
    void tick();
    void log_leader_change();
    void log_member_change();
    void leave_step();
    void join_if_leaderless(core::time_point now);
    void on_join_requested(const core::entry_host_id& from, const wire::cell_joinT& request);
    // Calls `change`, which changes m_state and returns the services that were assigned.
    void on_state_changed(const std::function<std::vector<core::service_name>()>& change);
    void announce_document();
    // Tells the subscribers that wait for their first document whether the one of this host is current.
    void confirm_document(core::time_point now);
    void on_endpoints_changed();
    void run_promotions(core::time_point now);
    [[nodiscard]] std::optional<promotion::fencing_token> next_fencing_token();
    void propose_quota_holder(const core::entry_host_id& host, bool holds);
    // The Raft term that this host leads, or nothing unless it holds the Raft lease now.
    [[nodiscard]] std::optional<primary_leases::leader_term> led_term() const;
    // The leader, unless it is unknown or this host itself.
    [[nodiscard]] std::optional<core::entry_host_id> other_leader() const;
    void propose_copies(const std::vector<promotion::copy_change>& changes);
    void propose_assignment(const core::service_name& service, const core::endpoint_id& endpoint);
    // Services whose primary entry hosts do not use until a new leader has invalidated earlier orders.
    [[nodiscard]] std::set<core::service_name> withheld_services() const;
    [[nodiscard]] call_outcome redirect_to_leader() const;
    subscriber_handlers make_subscriber_handlers();

    transport::event_loop& m_loop;
    transport::message_bus& m_bus;
    transport::peer_network& m_network;
    settings::fleet_settings m_settings;
    core::entry_host_id m_self;
    documents::document_decoder m_decoder;
    replicated_state m_state;
    const documents::document_register& m_documents = m_state.documents();
    std::unique_ptr<consensus::raft_driver> m_raft;
    update_subscriber m_subscriber;
    update_publisher m_publisher;
    read_barrier m_read_barrier;
    lease_service m_leases;
    quota_service m_quotas;
    promotion_runner m_promotions;
    registry_store m_registry_store;
    documents::configuration m_configuration; // The committed document, decoded.
    std::optional<core::entry_host_id> m_logged_leader;
    core::time_point m_leader_last_known{}; // When a leader was last known.
    core::time_point m_next_join{};
    consensus::membership m_logged_members;
    std::function<void()> m_on_left; // Set while this host leaves.
    core::deadline m_leave_deadline;
    bool m_announcement_pending = false;
    std::uint32_t m_term_order_count = 0; // Number of orders in m_token_term.
    std::uint64_t m_total_order_count = 0;
    consensus::raft_term m_token_term;
};

} // namespace mangoquay::fleet
