// Comparison of positions across terms.
#include "replication/contains_position.h"

#include <algorithm>

namespace mangoquay::replication {

bool contains_position(const core::history_position& applied, const core::history_position& target,
                       const fork_positions& forks) {
    if (applied.m_term < target.m_term) {
        return false;
    }
    // If no fork is known, the whole position is required. This may be more than needed, but never less.
    core::log_position required = target.m_position;
    for (auto fork = forks.upper_bound(target.m_term); fork != forks.end() && fork->first <= applied.m_term;
         ++fork) {
        required = std::min(required, fork->second);
    }
    return applied.m_position >= required;
}

} // namespace mangoquay::replication
