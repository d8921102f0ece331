// Primary leases of a control host: connects the lease authority to the entry hosts and to the Raft log.
//
// A control host that does not lead passes requests and grants on, because an entry host may be cut off from
// the leader only; the time of a lease counts from the request, whichever way it takes. Owns the authority.
// Runs on the event loop's thread.
#pragma once

#include "fleet/lease_messages.h"
#include "primary_leases/lease_authority.h"
#include "transport/message_bus.h"

#include <functional>

namespace mangoquay::fleet {

class lease_service final : private primary_leases::authority_ports {
public:
    // Proposes an assignment to the Raft log.
    using proposer = std::function<void(const core::service_name&, const core::endpoint_id&)>;
    // The Raft term that this host leads, or nothing unless it holds the Raft lease now.
    using lease_check = std::function<std::optional<primary_leases::leader_term>()>;
    // The leader, unless it is unknown or this host itself.
    using leader_source = std::function<std::optional<core::entry_host_id>()>;

    lease_service(transport::message_bus& bus, proposer propose, lease_check holds_lease,
                  leader_source other_leader);

    [[nodiscard]] primary_leases::lease_authority& authority() { return m_authority; }
    [[nodiscard]] const primary_leases::lease_authority& authority() const { return m_authority; }
    [[nodiscard]] std::uint64_t granted_count() const { return m_granted_count; }

private:
    void propose_assignment(const core::service_name& service, const core::endpoint_id& endpoint) override {
        m_propose(service, endpoint);
    }
    void announce_list() override;
    void record_event(const std::string& text) override;

    void on_request_received(const core::entry_host_id& from, const wire::primary_lease_requestT& request);
    void send_grant(const core::entry_host_id& host, const primary_leases::lease_grant& grant);

    transport::message_bus& m_bus;
    proposer m_propose;
    lease_check m_holds_lease;
    leader_source m_other_leader;
    primary_leases::lease_authority m_authority;
    // The hosts that the last request of each host passed, the requesting host first.
    std::map<core::entry_host_id, std::vector<std::string>> m_paths;
    std::uint64_t m_granted_count = 0;
};

} // namespace mangoquay::fleet
