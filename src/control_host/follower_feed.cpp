// Tracks how far each follower of the log has got.
#include "control_host/follower_feed.h"

namespace mangoquay::control_host {

std::vector<feed_request> follower_feed::on_heartbeat(core::time_point now, const core::entry_host_id& host,
                                                      core::revision applied, core::revision committed) {
    follower& known = m_followers[host];
    known.m_last_contact = now;
    known.m_applied = applied;
    if (applied >= committed) {
        known.m_sent = std::max(known.m_sent, applied);
        return {};
    }
    const bool in_flight = known.m_sent >= committed && !known.m_resend.passed(now);
    if (in_flight) {
        return {};
    }
    return {{host, applied}};
}

std::vector<feed_request> follower_feed::on_entries_committed(core::time_point now,
                                                              core::revision committed) {
    std::vector<feed_request> requests;
    std::erase_if(m_followers,
                  [&](const auto& entry) { return now - entry.second.m_last_contact > follower_lifetime; });
    for (const auto& [host, known] : m_followers) {
        if (known.m_sent < committed) {
            requests.push_back({host, std::max(known.m_sent, known.m_applied)});
        }
    }
    return requests;
}

void follower_feed::on_sent(core::time_point now, const core::entry_host_id& host, core::revision sent) {
    follower& known = m_followers[host];
    known.m_sent = sent;
    known.m_resend = core::deadline_after(now, resend_delay);
}

} // namespace mangoquay::control_host
