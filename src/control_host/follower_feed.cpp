// Tracks the revisions that each follower has applied and has been sent.
#include "control_host/follower_feed.h"

namespace mangoquay::control_host {

std::vector<feed_request> follower_feed::on_heartbeat(core::time_point now, const core::entry_host_id& host,
                                                      core::revision applied, core::revision committed) {
    follower& cursor = m_followers[host];
    cursor.m_last_contact = now;
    cursor.m_applied = applied;
    if (applied >= committed) {
        cursor.m_sent = std::max(cursor.m_sent, applied);
        return {};
    }
    const bool in_flight = cursor.m_sent >= committed && !cursor.m_resend.passed(now);
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
    for (const auto& [host, cursor] : m_followers) {
        if (cursor.m_sent < committed) {
            requests.push_back({host, std::max(cursor.m_sent, cursor.m_applied)});
        }
    }
    return requests;
}

void follower_feed::on_sent(core::time_point now, const core::entry_host_id& host, core::revision sent) {
    follower& cursor = m_followers[host];
    cursor.m_sent = sent;
    cursor.m_resend = core::deadline_after(now, resend_delay);
}

} // namespace mangoquay::control_host
