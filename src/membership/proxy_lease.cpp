// Records sent heartbeats and extends the lease on grants.
#include "membership/proxy_lease.h"

#include <algorithm>

namespace mangoquay::membership {

std::uint64_t proxy_lease::record_heartbeat_sent(core::time_point now) {
    while (!m_sent.empty() && m_sent.front().m_at + lease_length <= now) {
        m_sent.pop_front();
    }
    m_sent.push_back({++m_last_number, now});
    return m_last_number;
}

bool proxy_lease::on_lease_granted(core::incarnation incarnation, std::uint64_t number) {
    const auto sent = std::find_if(m_sent.begin(), m_sent.end(), [&](const sent_heartbeat& heartbeat) {
        return heartbeat.m_number == number;
    });
    if (incarnation != m_incarnation || sent == m_sent.end()) {
        return false;
    }
    const core::deadline extended{sent->m_at + lease_length};
    if (extended <= m_valid_until) {
        return false;
    }
    m_valid_until = extended;
    return true;
}

} // namespace mangoquay::membership
