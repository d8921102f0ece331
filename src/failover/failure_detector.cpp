// Failure detector of the primary of one group.
#include "failover/failure_detector.h"

#include <algorithm>

namespace mangoquay::failover {

void failure_detector::reset(core::time_point now) {
    *this = failure_detector{};
    m_last_owner_contact = now;
}

void failure_detector::on_owner_report(core::time_point now, const core::entry_host_id& host,
                                       const membership::endpoint_report& report) {
    m_last_owner_contact = now;
    m_proxies[host] = {report.m_reachable, now};
    const bool stalled = report.m_reachable && report.m_writes_stalled;
    if (stalled && !m_stalled) {
        m_stalled_since = now;
    }
    m_stalled = stalled;
}

void failure_detector::on_proxy_observation(core::time_point now, const core::entry_host_id& host,
                                            bool reachable) {
    m_proxies[host] = {reachable, now};
}

void failure_detector::on_leader_reading(core::time_point now, bool usable) {
    m_failed_readings = usable ? 0 : m_failed_readings + 1;
    m_last_reading = now;
}

void failure_detector::on_replica_reading(core::time_point now, const core::endpoint_id& replica,
                                          bool streaming) {
    m_replicas[replica] = {streaming, now};
}

bool failure_detector::failure_suspected(core::time_point now) const {
    const bool failure_seen = std::any_of(m_proxies.begin(), m_proxies.end(), [&](const auto& proxy) {
        return !proxy.second.m_healthy && now - proxy.second.m_at <= observation_lifetime;
    });
    return failure_seen || m_stalled || m_failed_readings > 0 ||
           now - m_last_owner_contact > owner_report_timeout;
}

bool failure_detector::failure_confirmed(core::time_point now, std::size_t blocking_replicas) const {
    return primary_unreachable(now) || replication_stopped(now, blocking_replicas);
}

bool failure_detector::primary_unreachable(core::time_point now) const {
    if (m_failed_readings < failed_readings_threshold || now - m_last_reading > observation_lifetime) {
        return false;
    }
    bool agreed = false;
    for (const auto& [host, seen] : m_proxies) {
        if (seen.m_healthy && now - seen.m_at <= contrary_observation_lifetime) {
            return false;
        }
        agreed = agreed || (!seen.m_healthy && now - seen.m_at <= observation_lifetime);
    }
    return agreed;
}

// Stopped replication: the owner reports stalled writes, and the leader has read from the replicas themselves
// that they do not stream.
bool failure_detector::replication_stopped(core::time_point now, std::size_t blocking_replicas) const {
    if (!m_stalled || now - m_stalled_since < write_stall_timeout ||
        now - m_last_owner_contact > observation_lifetime) {
        return false;
    }
    const auto stopped = std::count_if(m_replicas.begin(), m_replicas.end(), [&](const auto& replica) {
        return !replica.second.m_healthy && now - replica.second.m_at <= observation_lifetime;
    });
    return static_cast<std::size_t>(stopped) >= blocking_replicas;
}

} // namespace mangoquay::failover
