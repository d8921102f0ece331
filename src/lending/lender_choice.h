// Chooses the entry hosts that keep the connections of a database and lend them to the others.
//
// In a large deployment 53 connections shared by 75 hosts are less than one per host, and a single host would
// need its whole network bandwidth for the statements of one database. Therefore a few hosts of the
// database's own zone share its connections. Every host computes the same choice from the same list of hosts;
// while the lists differ for a moment, the connection limit of the database itself still holds. Pure
// functions.
#pragma once

#include "core/ids.h"
#include "registry/endpoint_registry.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace mangoquay::lending {

using hosts_by_zone = std::map<core::availability_zone, std::set<core::entry_host_id>>;
using lenders_by_endpoint = std::map<core::endpoint_id, std::vector<core::entry_host_id>>;

// At least two, so that the database stays reachable when one lender fails. More where the zone has enough
// hosts, because each lender carries the traffic of its share: 180 statements/s of 1.4 kB shared by three
// lenders are 84 kB/s each, on network links of 250 kB/s.
inline constexpr std::size_t min_lenders = 2;
inline constexpr std::size_t max_lenders = 4;

// Number of connections to an endpoint that `host` keeps for its own callers; 0 for hosts of other zones. The
// hosts of the zone keep three fifths of the `usable` connections, because a loan costs several messages at
// two hosts and most reads stay within their zone. If these do not suffice for one connection per host, only
// some hosts keep one.
std::uint32_t connections_kept_by(const core::entry_host_id& host, const registry::endpoint_report& endpoint,
                                  const hosts_by_zone& hosts, std::uint32_t usable);
// Number of connections to the endpoint that each of its lenders may keep open for loans: the remaining ones,
// shared evenly, but at least one.
std::uint32_t connections_per_lender(const registry::endpoint_report& endpoint, const hosts_by_zone& hosts,
                                     std::uint32_t usable, std::size_t lenders);

// The lenders in the order in which a customer's loans are requested from them. Each customer has its own
// order, so that its idle connections are kept at one lender.
std::vector<core::entry_host_id> rank_for_customer(const std::vector<core::entry_host_id>& lenders,
                                                   const core::endpoint_id& endpoint,
                                                   const core::customer_name& customer);

// Rendezvous hashing with a limit on the number of databases per host, so that a host that joins or leaves
// changes few other assignments.
lenders_by_endpoint choose_lenders(const hosts_by_zone& hosts,
                                   const std::vector<registry::endpoint_report>& endpoints);

} // namespace mangoquay::lending
