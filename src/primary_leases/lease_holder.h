// An entry host's part of primary leases: which endpoints it may use as primaries, and until when.
//
// Deterministic: the caller passes the time in. Clocks of different hosts are never compared: a lease is
// valid from the time when this host sent the request that the grant answers.
//
// Invariant: m_version never decreases, so a grant that was delayed does not restore a withdrawn primary.
#pragma once

#include "core/process_number.h"
#include "primary_leases/primary_list.h"

#include <deque>

namespace mangoquay::primary_leases {

class lease_holder {
public:
    // The next request to send; its lease, if granted, is valid from `now` on.
    lease_request next_request(core::time_point now);
    // Returns true if the grant applies a new list or extends the lease.
    bool on_grant(const lease_grant& grant);

    // The endpoints that may be used as primaries until lease_end().
    [[nodiscard]] const primary_list& primaries() const { return m_primaries; }
    [[nodiscard]] core::deadline lease_end() const { return m_lease_end; }
    [[nodiscard]] list_version version() const { return m_version; }

private:
    struct sent_request {
        request_number m_number;
        core::time_point m_at{};
    };

    request_number m_last_number{core::random_first_number()};
    std::deque<sent_request> m_sent; // The latest requests, oldest first.
    list_version m_version;
    primary_list m_primaries;
    core::deadline m_lease_end;
};

} // namespace mangoquay::primary_leases
