// The list of primaries that a control leader permits, and the messages by which entry hosts lease it.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mangoquay::primary_leases {

// The endpoint that entry hosts may use as the primary of each service. A service without an entry has no
// usable primary.
using primary_list = std::map<core::service_name, core::endpoint_id>;

// Raft term of the leader that issued a list.
using leader_term = core::strong_value<struct leader_term_tag, std::uint64_t>;
// Counts the lists of one leader.
using list_number = core::strong_value<struct list_number_tag, std::uint64_t>;
// Counts the lease requests of one process, from a random number on; 0 in a grant that answers no request.
using request_number = core::strong_value<struct request_number_tag, std::uint64_t>;

// Orders lists: that of a later leader wins, then the later one of the same leader.
struct list_version {
    leader_term m_term;
    list_number m_number;

    friend auto operator<=>(const list_version&, const list_version&) = default;
    friend bool operator==(const list_version&, const list_version&) = default;
};

struct lease_request {
    request_number m_number;
    list_version m_applied; // The list that the sender applies.
};

struct lease_grant {
    request_number m_number;
    list_version m_version;
    core::milliseconds m_length{};           // Valid from the time when the request was sent.
    std::optional<primary_list> m_primaries; // Empty if the receiver applies this version already.
};

// Survives the loss of the control leader: two missed renewals, the election of a new leader within about
// 600 ms, and its first grant.
inline constexpr core::milliseconds lease_length{900};
inline constexpr core::milliseconds renewal_period{200};
// Clocks run between 0.9 and 1.1 times as fast as true time. While the slowest clock of a holder measures
// lease_length, at most lease_length * 1.1 / 0.9 pass on the fastest clock of a leader.
inline constexpr core::milliseconds longest_lease{1100};
static_assert(longest_lease.count() * 9 >= lease_length.count() * 11);

} // namespace mangoquay::primary_leases
