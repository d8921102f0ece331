// Decides which committed entries of the control log must be sent to which proxy.
//
// Owns a volatile cursor per proxy; control_host sends the entries, or the whole state if the entries have
// been compacted. A proxy that missed hundreds of changes gets one batch or one snapshot, not a message per
// change.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace mangoquay::control_host {

// Entries that a proxy has not applied after this time are sent again, because a peer connection that fails
// loses frames.
inline constexpr core::milliseconds resend_delay{400};
// A proxy that has sent no heartbeat for this time is no longer sent entries.
inline constexpr core::milliseconds follower_lifetime{3000};

struct feed_request {
    core::entry_host_id m_host;
    core::revision m_after; // Entries above this revision must be sent.
};

class follower_feed {
public:
    // Handles a heartbeat that reports what the proxy has applied. Returns a request if the proxy lags and
    // the missing entries are not in flight.
    std::vector<feed_request> on_heartbeat(core::time_point now, const core::entry_host_id& host,
                                           core::revision applied, core::revision committed);
    // Handles new commits. Returns a request for each follower that has not been sent them.
    std::vector<feed_request> on_entries_committed(core::time_point now, core::revision committed);
    // Records that control_host has sent everything up to revision `sent`.
    void on_sent(core::time_point now, const core::entry_host_id& host, core::revision sent);

private:
    struct follower {
        core::time_point m_last_contact;
        core::revision m_applied;
        core::revision m_sent;
        core::deadline m_resend; // Valid while m_applied is below m_sent.
    };

    std::map<core::entry_host_id, follower> m_followers;
};

} // namespace mangoquay::control_host
