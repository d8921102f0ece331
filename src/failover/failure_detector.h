// Whether the primary of one group is to be replaced.
//
// A lone view is never enough: the leader's own readings and at least one proxy must agree, and no proxy may
// have reached the primary lately. Owns the recent views of one primary.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "membership/reports.h"

#include <cstddef>
#include <map>

namespace mangoquay::failover {

// Views older than this count for nothing: five heartbeats.
inline constexpr core::milliseconds observation_lifetime{1000};
// A proxy that reached the primary this recently speaks against a failure: three heartbeats.
inline constexpr core::milliseconds contrary_observation_lifetime{600};
// An owner that is not heard for two heartbeats does not watch its primary.
inline constexpr core::milliseconds owner_report_timeout{500};
// Two failed readings in a row by the leader: a single lost packet or reconnect is not a failure.
inline constexpr int failed_readings_threshold = 2;
// Writes that wait for a quorum this long while replication has stopped.
inline constexpr core::milliseconds write_stall_timeout{1000};

class failure_detector {
public:
    void reset(core::time_point now);
    // The owner's report of the primary.
    void on_owner_report(core::time_point now, const core::entry_host_id& host,
                         const membership::endpoint_report& report);
    // Another proxy's.
    void on_proxy_observation(core::time_point now, const core::entry_host_id& host, bool reachable);
    // The leader's own reading of the primary; an endpoint that is in recovery takes no writes.
    void on_leader_reading(core::time_point now, bool usable);
    // The leader's own reading of a replica.
    void on_replica_reading(core::time_point now, const core::endpoint_id& replica, bool streaming);

    // Some proxy sees a fault, or the owner is silent: the leader looks for itself.
    [[nodiscard]] bool failure_suspected(core::time_point now) const;
    // `cut_replicas`: so many replicas that the primary has no quorum when they do not stream.
    [[nodiscard]] bool failure_confirmed(core::time_point now, std::size_t blocking_replicas) const;

private:
    struct observation {
        bool m_healthy = true;
        core::time_point m_at;
    };

    [[nodiscard]] bool primary_unreachable(core::time_point now) const;
    [[nodiscard]] bool replication_stopped(core::time_point now, std::size_t blocking_replicas) const;

    std::map<core::entry_host_id, observation> m_proxies; // m_good: reached the primary
    std::map<core::endpoint_id, observation> m_replicas;  // m_good: streams
    core::time_point m_last_owner_contact;
    int m_failed_readings = 0;
    core::time_point m_last_reading;
    bool m_stalled = false;
    core::time_point m_stalled_since;
};

} // namespace mangoquay::failover
