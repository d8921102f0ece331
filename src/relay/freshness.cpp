// Keeps few samples: enough that the least covering position is close to the oldest that a reader may see.
#include "relay/freshness.h"

namespace mangoquay::relay {

void freshness::observe(core::time_point asked, const core::history_position& position) {
    if (!m_samples.empty() && asked < m_samples.back().m_asked) {
        return; // answers may arrive out of order; the newer question covers more
    }
    if (m_samples.size() >= 2 && asked - m_samples[m_samples.size() - 2].m_asked < sample_spacing) {
        m_samples.back() = {asked, position};
    } else {
        m_samples.push_back({asked, position});
    }
    while (m_samples.front().m_asked + sample_lifetime < asked) {
        m_samples.pop_front();
    }
}

std::optional<core::history_position> freshness::covering(core::time_point moment) const {
    for (const sample& one : m_samples) {
        if (one.m_asked >= moment) {
            return one.m_position;
        }
    }
    return std::nullopt;
}

std::optional<core::time_point> freshness::newest() const {
    return m_samples.empty() ? std::nullopt : std::optional(m_samples.back().m_asked);
}

} // namespace mangoquay::relay
