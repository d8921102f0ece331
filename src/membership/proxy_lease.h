// The lease of this proxy. A proxy with a valid lease may acknowledge writes and rely on its view of the
// replicated state.
//
// Owns: the send times of recent heartbeats and the time until which the lease is valid, both by this proxy's
// monotonic clock. The lease of a process that was paused may have expired when it resumes, so the lease must
// be checked immediately before the operation that requires it.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <deque>

namespace mangoquay::membership {

inline constexpr core::milliseconds heartbeat_period{200};
// Five heartbeat periods: after two consecutive lost heartbeats there is still time for a third before the
// lease expires.
inline constexpr core::milliseconds lease_length{1000};

class proxy_lease {
public:
    explicit proxy_lease(core::incarnation incarnation) : m_incarnation(incarnation) {}

    // Records a heartbeat that is sent at `now` and returns its number.
    std::uint64_t record_heartbeat_sent(core::time_point now);

    // Extends the lease to lease_length after the heartbeat was sent, not after the grant was received.
    // Delayed, duplicated and reordered grants therefore never extend it too far. Returns false when nothing
    // changed.
    bool on_lease_granted(core::incarnation incarnation, std::uint64_t number);

    [[nodiscard]] bool valid(core::time_point now) const { return !m_valid_until.passed(now); }
    [[nodiscard]] core::deadline valid_until() const { return m_valid_until; }
    [[nodiscard]] core::incarnation present_incarnation() const { return m_incarnation; }

private:
    struct sent_heartbeat {
        std::uint64_t m_number = 0;
        core::time_point m_at;
    };

    core::incarnation m_incarnation;
    std::uint64_t m_last_number = 0;
    std::deque<sent_heartbeat> m_sent; // Ordered by number; only heartbeats that can still extend the lease.
    core::deadline m_valid_until;
};

} // namespace mangoquay::membership
