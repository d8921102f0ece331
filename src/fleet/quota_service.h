// Shares of the customers' limits on a control host: connects the granter to the entry hosts and to the Raft
// log.
//
// A control host that does not lead passes requests on to the leader, and grants back. Owns the granter. Runs
// on the event loop's thread.
#pragma once

#include "primary_leases/primary_list.h"
#include "quotas/quota_granter.h"
#include "transport/message_bus.h"
#include "wire/mangoquay_generated.h"

#include <functional>
#include <optional>

namespace mangoquay::fleet {

class quota_service final : private quotas::granter_ports {
public:
    // Proposes to the Raft log that a host may hold shares, or that it holds none any more.
    using proposer = std::function<void(const core::entry_host_id&, bool holds)>;
    // The Raft term that this host leads, or nothing unless it holds the Raft lease now. The lease implies
    // that all committed entries are applied.
    using lease_check = std::function<std::optional<primary_leases::leader_term>()>;
    // The leader, unless it is unknown or this host itself.
    using leader_source = std::function<std::optional<core::entry_host_id>()>;

    quota_service(transport::message_bus& bus, quotas::window_tolerance tolerance, proposer propose,
                  lease_check holds_lease, leader_source other_leader);

    // The replicated list of hosts that may hold shares, after each change.
    void set_holders(std::set<core::entry_host_id> holders) { m_granter.set_holders(std::move(holders)); }
    void set_limits(quotas::limits_by_customer limits, core::time_point now) {
        m_granter.set_limits(std::move(limits), now);
    }
    void tick(core::time_point now);

    [[nodiscard]] std::uint64_t granted_count() const { return m_granted_count; }
    [[nodiscard]] const quotas::quota_granter& granter() const { return m_granter; }

private:
    void propose_holder(const core::entry_host_id& host, bool holds) override { m_propose(host, holds); }

    // Whether this host leads now. Begins a term of the granter for each term of the leader.
    bool update_term(core::time_point now);
    void on_request_received(const core::entry_host_id& from, const wire::quota_requestT& message);

    transport::message_bus& m_bus;
    proposer m_propose;
    lease_check m_holds_lease;
    leader_source m_other_leader;
    quotas::quota_granter m_granter;
    std::optional<primary_leases::leader_term> m_term; // The latest term that this host led.
    bool m_assigning = false;
    std::uint64_t m_granted_count = 0;
};

} // namespace mangoquay::fleet
