// Comparison of positions across terms: whether a database that has applied the history of a group up to one
// position holds everything up to another one.
#pragma once

#include "core/history_position.h"
#include "core/ids.h"

#include <map>

namespace mangoquay::replication {

// Start of each term: the log position at which its primary was promoted.
using fork_positions = std::map<core::term, core::log_position>;

// Returns whether a database at `applied` holds the history up to `target`. This differs from the order of
// history_position: a replica that follows term 4 and is at 100, before the fork at 110, has not applied
// position 105 of term 3, although (4, 100) is past (3, 105) in that order. History of an earlier term beyond
// a fork was discarded and need not be held.
bool contains_position(const core::history_position& applied, const core::history_position& target,
                       const fork_positions& forks);

} // namespace mangoquay::replication
