// Whether the primary of one group is to be replaced.
#include "failover/suspicion.h"

#include <algorithm>

namespace mangoquay::failover {

void suspicion::reset(core::time_point now) {
    *this = suspicion{};
    m_owner_heard = now;
}

void suspicion::owner_report(core::time_point now, const core::entry_host_id& host,
                             const membership::endpoint_report& report) {
    m_owner_heard = now;
    m_proxies[host] = {report.m_reachable, now};
    const bool stalled = report.m_reachable && report.m_writes_stalled;
    if (stalled && !m_stalled) {
        m_stalled_since = now;
    }
    m_stalled = stalled;
}

void suspicion::proxy_view(core::time_point now, const core::entry_host_id& host, bool reachable) {
    m_proxies[host] = {reachable, now};
}

void suspicion::leader_view(core::time_point now, bool usable) {
    m_failed_readings = usable ? 0 : m_failed_readings + 1;
    m_last_reading = now;
}

void suspicion::replica_view(core::time_point now, const core::endpoint_id& replica, bool streaming) {
    m_replicas[replica] = {streaming, now};
}

bool suspicion::worth_a_look(core::time_point now) const {
    const bool seen = std::any_of(m_proxies.begin(), m_proxies.end(), [&](const auto& proxy) {
        return !proxy.second.m_good && now - proxy.second.m_at <= view_lifetime;
    });
    return seen || m_stalled || m_failed_readings > 0 || now - m_owner_heard > owner_silence;
}

bool suspicion::established(core::time_point now, std::size_t cut_replicas) const {
    return unreachable(now) || cut_from_replicas(now, cut_replicas);
}

bool suspicion::unreachable(core::time_point now) const {
    if (m_failed_readings < failed_readings_needed || now - m_last_reading > view_lifetime) {
        return false;
    }
    bool agreed = false;
    for (const auto& [host, seen] : m_proxies) {
        if (seen.m_good && now - seen.m_at <= contrary_view_lifetime) {
            return false;
        }
        agreed = agreed || (!seen.m_good && now - seen.m_at <= view_lifetime);
    }
    return agreed;
}

// The owner says that writes wait, and the leader itself has read from the replicas that they do not stream.
bool suspicion::cut_from_replicas(core::time_point now, std::size_t cut_replicas) const {
    if (!m_stalled || now - m_stalled_since < stalled_before_suspicion ||
        now - m_owner_heard > view_lifetime) {
        return false;
    }
    const auto cut = std::count_if(m_replicas.begin(), m_replicas.end(), [&](const auto& replica) {
        return !replica.second.m_good && now - replica.second.m_at <= view_lifetime;
    });
    return static_cast<std::size_t>(cut) >= cut_replicas;
}

} // namespace mangoquay::failover
