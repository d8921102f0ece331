// Tracking of the primary's positions and of the bound that they give.
#include "replication/data_age_tracker.h"

#include <algorithm>
#include <cstddef>

namespace mangoquay::replication {
namespace {

// At one query per 200 ms this covers a replica that lags by up to two minutes. When the limit is exceeded,
// every second entry is dropped, so that a replica that lags further still gets a bound, with less precision.
constexpr std::size_t max_pending_queries = 600;

} // namespace

void data_age_tracker::on_primary_position(core::time_point queried_at,
                                           const core::history_position& position,
                                           const fork_positions& forks) {
    if (!m_pending.empty() && queried_at <= m_pending.back().m_queried_at) {
        return;
    }
    m_pending.push_back({queried_at, position});
    if (m_pending.size() > max_pending_queries) {
        std::size_t index = 0;
        std::erase_if(m_pending, [&index](const primary_query&) { return index++ % 2 == 1; });
    }
    update_data_as_of(forks);
}

void data_age_tracker::on_replica_position(const core::history_position& applied,
                                           const fork_positions& forks) {
    // The applied position decreases only if the replica was rewound or restored.
    if (m_applied && applied.m_position < m_applied->m_position) {
        m_data_as_of.reset();
    }
    m_applied = applied;
    update_data_as_of(forks);
}

std::optional<core::duration> data_age_tracker::age_upper_bound(core::time_point now) const {
    return m_data_as_of ? std::optional(now - *m_data_as_of) : std::nullopt;
}

void data_age_tracker::reset() {
    m_pending.clear();
    m_applied.reset();
    m_data_as_of.reset();
}

void data_age_tracker::update_data_as_of(const fork_positions& forks) {
    if (!m_applied) {
        return;
    }
    // Search backwards: a position of an old term may never be reached although later entries are.
    const auto reached = std::find_if(m_pending.rbegin(), m_pending.rend(), [&](const primary_query& open) {
        return contains_position(*m_applied, open.m_position, forks);
    });
    if (reached != m_pending.rend()) {
        m_data_as_of = reached->m_queried_at;
        m_pending.erase(m_pending.begin(), reached.base());
    }
}

} // namespace mangoquay::replication
