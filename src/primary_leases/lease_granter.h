// The leader's part of primary leases: which endpoint entry hosts may use as the primary of a service, and
// whether any of them may still use one that was withdrawn.
//
// Needed where an old primary goes on accepting writes after another one was promoted: a replica is promoted
// only when no entry host can acknowledge a write of the old primary any more. A host's lease covers all
// services. It ends when its time has passed on the host's own clock, or for one service as soon as the host
// applies a list without it. Deterministic: the caller passes the time in.
//
// Invariants:
// - m_holders contains every host whose lease from this leader may not have ended.
// - A lease of an earlier leader has ended once m_earlier_leases_end has passed, because a leader grants
//   leases only while it holds the Raft lease, which precludes a later leader.
#pragma once

#include "primary_leases/primary_list.h"

#include <set>
#include <vector>

namespace mangoquay::primary_leases {

class lease_granter {
public:
    // This host has become the leader. `assigned` contains every assignment that is committed.
    void start_leading(leader_term term, primary_list assigned, core::time_point now);
    void stop_leading();
    [[nodiscard]] bool leads() const { return m_leads; }

    // The assignment of the service was committed. It is not listed while the service is withdrawn.
    void assign(const core::service_name& service, const core::endpoint_id& endpoint);
    // Removes the service from the list until restore().
    void withdraw(const core::service_name& service);
    void restore(const core::service_name& service);
    // The endpoint confirmed that it is no primary any more. If it is the assigned one, leases on it no
    // longer matter.
    void on_stepped_down(const core::service_name& service, const core::endpoint_id& endpoint);
    [[nodiscard]] std::optional<core::endpoint_id> assigned(const core::service_name& service) const;

    // Whether the service is withdrawn and no host can use its assigned endpoint as a primary any more.
    [[nodiscard]] bool leases_ended(const core::service_name& service, core::time_point now) const;
    // Hosts that may still use the assigned endpoint of a withdrawn service, for the log. Leases of earlier
    // leaders count as one host.
    [[nodiscard]] std::size_t waiting_for(const core::service_name& service, core::time_point now) const;

    // Grants a lease. Empty unless this host leads.
    std::optional<lease_grant> on_request(const core::entry_host_id& host, const lease_request& request,
                                          core::time_point now);
    // The current list without a lease, for the hosts that current_holders() returns.
    [[nodiscard]] lease_grant announcement() const;
    [[nodiscard]] std::vector<core::entry_host_id> current_holders(core::time_point now) const;
    // Whether the host's lease may not have ended yet.
    [[nodiscard]] bool may_hold_lease(const core::entry_host_id& host, core::time_point now) const;
    [[nodiscard]] list_version version() const { return {m_term, m_number}; }

private:
    struct holder {
        core::deadline m_end; // On this host's clock; the lease has ended by then.
        list_number m_applied;
    };
    struct withdrawal {
        list_number m_number; // The first list without the service.
        bool m_stepped_down = false;
    };

    [[nodiscard]] primary_list listed() const;
    void advance_list() { m_number = list_number(m_number.value() + 1); }

    bool m_leads = false;
    leader_term m_term;
    list_number m_number;
    core::deadline m_earlier_leases_end;
    primary_list m_assigned;
    std::map<core::service_name, withdrawal> m_withdrawn;
    std::map<core::entry_host_id, holder> m_holders;
};

} // namespace mangoquay::primary_leases
