// Messages of primary leases, and how they pass hosts on the way between an entry host and the leader.
#pragma once

#include "core/ids.h"
#include "primary_leases/primary_list.h"
#include "wire/mangoquay_generated.h"

#include <vector>

namespace mangoquay::fleet {

// A request may pass another entry host and a control host that does not lead.
inline constexpr std::size_t max_forwarding_hosts = 2;

wire::primary_lease_requestT to_wire(const primary_leases::lease_request& request);
primary_leases::lease_request from_wire(const wire::primary_lease_requestT& message);
wire::primary_lease_grantT to_wire(const primary_leases::lease_grant& grant);
primary_leases::lease_grant from_wire(const wire::primary_lease_grantT& message);

// The request to pass on, or nothing if it has passed enough hosts.
std::optional<wire::primary_lease_requestT> forwarded_request(const core::entry_host_id& from,
                                                              const wire::primary_lease_requestT& request);
// The host that the grant passes next, and the grant to send to it. Nothing if it has arrived.
struct forwarded_grant {
    core::entry_host_id m_to;
    wire::primary_lease_grantT m_grant;
};
std::optional<forwarded_grant> next_hop(const wire::primary_lease_grantT& grant);

} // namespace mangoquay::fleet
