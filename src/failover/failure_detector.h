// Failure detector: decides whether the primary of one group has failed and must be replaced.
//
// A single observer is never sufficient: for an unreachable primary, the leader's own readings and at least
// one proxy must agree, and no proxy may have reached the primary recently. Owns the recent observations of
// one primary.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "membership/reports.h"

#include <cstddef>
#include <map>

namespace mangoquay::failover {

// Observations older than five heartbeats are ignored.
inline constexpr core::milliseconds observation_lifetime{1000};
// A proxy that reached the primary within the last three heartbeats rules out a failure.
inline constexpr core::milliseconds contrary_observation_lifetime{600};
// An owner that has sent no report for two heartbeats is assumed not to monitor its primary.
inline constexpr core::milliseconds owner_report_timeout{500};
// Consecutive failed readings by the leader; a single lost packet or reconnect is not a failure.
inline constexpr int failed_readings_threshold = 2;
// Time for which writes must have waited for a quorum before stopped replication counts as a failure.
inline constexpr core::milliseconds write_stall_timeout{1000};

class failure_detector {
public:
    void reset(core::time_point now);
    // Report of the primary by its owner.
    void on_owner_report(core::time_point now, const core::entry_host_id& host,
                         const membership::endpoint_report& report);
    // Result of a probe of the primary by a proxy other than its owner.
    void on_proxy_observation(core::time_point now, const core::entry_host_id& host, bool reachable);
    // Reading of the primary by the leader. `usable` is false if it failed or the endpoint is in recovery and
    // therefore accepts no writes.
    void on_leader_reading(core::time_point now, bool usable);
    // Reading of a replica by the leader.
    void on_replica_reading(core::time_point now, const core::endpoint_id& replica, bool streaming);

    // Returns whether there is any sign of a failure, such as a failed probe or missing reports of the owner;
    // the leader then reads the status of the members itself.
    [[nodiscard]] bool failure_suspected(core::time_point now) const;
    // Returns whether enough observers agree on a failure. `blocking_replicas` is the number of replicas that
    // leave the primary without a quorum if they do not stream.
    [[nodiscard]] bool failure_confirmed(core::time_point now, std::size_t blocking_replicas) const;

private:
    struct observation {
        bool m_healthy = true;
        core::time_point m_at;
    };

    [[nodiscard]] bool primary_unreachable(core::time_point now) const;
    [[nodiscard]] bool replication_stopped(core::time_point now, std::size_t blocking_replicas) const;

    std::map<core::entry_host_id, observation> m_proxies; // m_healthy: the proxy reached the primary.
    std::map<core::endpoint_id, observation> m_replicas;  // m_healthy: the replica streams.
    core::time_point m_last_owner_contact;
    int m_failed_readings = 0;
    core::time_point m_last_reading;
    bool m_stalled = false;
    core::time_point m_stalled_since;
};

} // namespace mangoquay::failover
