// Which replica is promoted. Pure.
#pragma once

#include "control/control_state.h"
#include "failover/endpoint_steps.h"

#include <cstddef>
#include <map>
#include <optional>

namespace mangoquay::failover {

// Databases of a group of `members` that hold a write before it is acknowledged, the primary included.
inline std::size_t quorum_size(std::size_t members) {
    return members / 2 + 1;
}

// So many members that every quorum of the old primary contains one of them. Stopping them leaves the old
// primary without a quorum, and one of them holds each acknowledged write: with q of n databases a write is
// on q - 1 of n - 1 replicas, and n - q + 1 of these cannot all miss it.
inline std::size_t replicas_to_stop(std::size_t members) {
    return members - quorum_size(members) + 1;
}

// The position in the history of the replaced term, or nothing when the reported term cannot be trusted: a
// replica whose receiver does not run reports the term of its last checkpoint, which may be too low. A
// position at or before every later fork is common to all these terms and therefore counts.
//   forks {1: 0, 2: 700}, report (term 1, 650)  -> 650 of term 2
//   forks {1: 0, 2: 700}, report (term 1, 800)  -> nothing: a discarded tail, or term 2 reported too low
std::optional<core::history_position> trusted_position(const control::group_record& group,
                                                       core::history_position reported);

// A member that this promotion has already promoted: out of recovery in the new term or a later one.
bool promoted_already(const control::group_record& group, const core::endpoint_id& endpoint,
                      const endpoint_status& status);

struct stopped_member {
    endpoint_status m_status;
    core::term m_seen_term; // highest that its owners have seen while it streamed
    bool m_leaving = false;
};

// The most advanced of the stopped replicas, or nothing while too few have answered. Members that need a
// rewind, left recovery or report a position that cannot be trusted are stopped as well but are not compared.
// Only a replica that has received the latest term may be promoted: PostgreSQL numbers a new timeline after
// those that the replica knows, and two histories of one number could not be told apart; the others still
// count. `old_primary` is its position, when it answers: it then counts for the quorum, and the replica must
// have all it has.
std::optional<core::endpoint_id> most_advanced(const control::group_record& group,
                                               const std::map<core::endpoint_id, stopped_member>& stopped,
                                               const std::optional<core::history_position>& old_primary);

} // namespace mangoquay::failover
