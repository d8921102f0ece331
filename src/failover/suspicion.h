// Whether the primary of one group is to be replaced.
//
// A lone view is never enough: the leader's own attempts and at least one proxy must agree, and no proxy may
// have reached the primary lately. Owns the recent views of one primary.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "failover/endpoint_steps.h"
#include "membership/reports.h"

#include <map>
#include <set>

namespace mangoquay::failover {

// Views older than this count for nothing: five heartbeats.
inline constexpr core::milliseconds view_lifetime{1000};
// Two failed attempts in a row by the leader: a single lost packet or reconnect is not a failure.
inline constexpr int failed_reads_needed = 2;
// Writes that wait for a quorum this long while replication has stopped.
inline constexpr core::milliseconds stalled_before_suspicion{1000};

class suspicion {
public:
    void reset();
    // The owner's report of the primary.
    void owner_report(core::time_point now, const core::entry_host_id& host,
                      const membership::endpoint_report& report);
    // Another proxy's.
    void proxy_view(core::time_point now, const core::entry_host_id& host, bool reachable);
    // The leader's own reading of the primary; an endpoint that is in recovery takes no writes.
    void leader_view(core::time_point now, bool usable);
    // The leader's own reading of a replica.
    void replica_view(core::time_point now, const core::endpoint_id& replica, bool streaming);

    // Some proxy sees a fault, or the owner is not heard: the leader starts to look for itself.
    [[nodiscard]] bool worth_a_look(core::time_point now) const;
    [[nodiscard]] bool stalled(core::time_point now) const;
    // `quorum_without`: as many replicas as leave the primary without a quorum when they do not stream.
    [[nodiscard]] bool established(core::time_point now, std::size_t quorum_without) const;

private:
    struct view {
        bool m_reachable = true;
        core::time_point m_at;
    };

    [[nodiscard]] bool unreachable(core::time_point now) const;
    [[nodiscard]] bool cut_from_replicas(core::time_point now, std::size_t quorum_without) const;

    std::map<core::entry_host_id, view> m_proxies;
    core::entry_host_id m_owner;
    int m_failed_reads = 0;
    core::time_point m_last_read;
    bool m_stalled = false;
    core::time_point m_stalled_since;
    std::map<core::endpoint_id, view> m_replicas; // m_reachable: streaming
};

} // namespace mangoquay::failover
