// Sends the committed control log to the proxies that follow it.
//
// Decides: which entries, or whether the whole state, to send to which proxy. Owns a cursor per proxy,
// volatile. A proxy that missed hundreds of changes gets one batch or one snapshot, not a replay message by
// message.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <vector>

namespace mangoquay::control_host {

// A proxy that has not applied what was sent this long ago is sent it again; links drop frames when they
// fail.
inline constexpr core::milliseconds resend_delay{400};
// Proxies that were not heard for this long are forgotten.
inline constexpr core::milliseconds follower_lifetime{3000};

struct feed_request {
    core::entry_host_id m_host;
    core::revision m_after; // send what follows this revision
};

class follower_feed {
public:
    // A heartbeat says what the proxy has applied. Returns a request when it lags behind.
    std::vector<feed_request> on_heartbeat(core::time_point now, const core::entry_host_id& host,
                                           core::revision applied, core::revision committed);
    // New entries were committed: requests for all followers.
    std::vector<feed_request> on_entries_committed(core::time_point now, core::revision committed);
    // The shell sent everything up to `sent`.
    void on_sent(core::time_point now, const core::entry_host_id& host, core::revision sent);

private:
    struct follower {
        core::time_point m_last_contact;
        core::revision m_applied;
        core::revision m_sent;
        core::deadline m_resend; // while m_applied is behind m_sent
    };

    std::map<core::entry_host_id, follower> m_followers;
};

} // namespace mangoquay::control_host
