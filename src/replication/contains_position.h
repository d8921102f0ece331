// Whether a database that has applied one place of a group's history holds everything up to another.
#pragma once

#include "core/history_position.h"
#include "core/ids.h"

#include <map>

namespace mangoquay::replication {

// Where each term began: the position at which its primary was promoted.
using fork_positions = std::map<core::term, core::log_position>;

// A replica that follows term 4 but has not yet passed the fork at 110 has not applied term 3, position 105,
// although (4, 100) is past (3, 105) in the order of history_position. What lies beyond a fork was discarded
// and need not be held.
bool contains_position(const core::history_position& applied, const core::history_position& wanted,
                       const fork_positions& forks);

} // namespace mangoquay::replication
