// Keeps few samples, but enough that the lowest covering position is close to the oldest that a read may use.
#include "relay/position_samples.h"

namespace mangoquay::relay {

void position_samples::add(core::time_point requested_at, const core::history_position& position) {
    if (!m_samples.empty() && requested_at < m_samples.back().m_requested_at) {
        return; // Answers may arrive out of order; the later request covers more commits.
    }
    if (m_samples.size() >= 2 &&
        requested_at - m_samples[m_samples.size() - 2].m_requested_at < min_sample_spacing) {
        m_samples.back() = {requested_at, position};
    } else {
        m_samples.push_back({requested_at, position});
    }
    while (m_samples.front().m_requested_at + sample_lifetime < requested_at) {
        m_samples.pop_front();
    }
}

std::optional<core::history_position> position_samples::position_covering(core::time_point moment) const {
    for (const sample& entry : m_samples) {
        if (entry.m_requested_at >= moment) {
            return entry.m_position;
        }
    }
    return std::nullopt;
}

std::optional<core::time_point> position_samples::last_request_time() const {
    return m_samples.empty() ? std::nullopt : std::optional(m_samples.back().m_requested_at);
}

} // namespace mangoquay::relay
