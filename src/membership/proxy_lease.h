// The lease of this proxy: the right to acknowledge writes and to rely on its view of the shared state.
//
// Owns: the send times of recent heartbeats and the moment up to which the lease is valid, both on this
// proxy's monotonic clock. A process that was frozen finds the deadline passed when it wakes, so the check
// belongs right before the act that needs it.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <deque>

namespace mangoquay::membership {

inline constexpr core::milliseconds heartbeat_period{200};
// Five heartbeats: two lost in a row still leave time for a third before the lease lapses.
inline constexpr core::milliseconds lease_length{1000};

class proxy_lease {
public:
    explicit proxy_lease(core::incarnation incarnation) : m_incarnation(incarnation) {}

    // Number for the heartbeat that is sent at `now`.
    std::uint64_t record_heartbeat_sent(core::time_point now);

    // A grant extends the lease to lease_length after the heartbeat was sent, not after the grant came in:
    // delayed, duplicated and reordered grants therefore never extend it too far. False: nothing changed.
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
    std::deque<sent_heartbeat> m_sent; // ascending; only those that can still extend the lease
    core::deadline m_valid_until;
};

} // namespace mangoquay::membership
