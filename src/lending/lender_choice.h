// Which entry hosts keep the connections of a database and lend them to the others.
//
// Answers the sizes of a grown deployment: 53 connections before 75 hosts leave less than one each, and one
// host alone would need all of its link for the statements of one database. A few hosts of the database's own
// zone share its connections. Every host computes the same choice from the same list; while lists differ for
// a moment, the database's own limit of connections holds. Pure functions.
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

// Two, so that the loss of one leaves the database in reach; more where the zone has hosts to spare, since
// each carries the bytes of its share: 180 statements/s of 1.4 kB among three are 84 kB/s of a link of 250.
inline constexpr std::size_t min_lenders = 2;
inline constexpr std::size_t max_lenders = 4;

// Links to an endpoint that a host of its zone keeps for its own callers; 0 for other hosts. Three fifths of
// the connections are kept so, because a loan costs several messages at two hosts and most reads stay within
// their zone. Where they do not suffice for one each, some hosts keep one.
std::uint32_t connections_kept_by(const core::entry_host_id& host, const registry::endpoint_report& endpoint,
                                  const hosts_by_zone& hosts, std::uint32_t usable);
// Links to it that each of its lenders may keep: the remaining ones, shared evenly.
std::uint32_t connections_per_lender(const registry::endpoint_report& endpoint, const hosts_by_zone& hosts,
                                     std::uint32_t usable, std::size_t lenders);

// Rendezvous hashing with a bound on the databases of one host: a host that comes or goes moves few others.
lenders_by_endpoint choose_lenders(const hosts_by_zone& hosts,
                                   const std::vector<registry::endpoint_report>& endpoints);

} // namespace mangoquay::lending
