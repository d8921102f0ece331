// Selects the replica to promote. Pure functions.
#pragma once

#include "control/control_state.h"
#include "failover/endpoint_steps.h"

#include <cstddef>
#include <map>
#include <optional>

namespace mangoquay::failover {

// Number of databases, the primary included, that must hold a write before it is acknowledged, in a group of
// `members` databases.
inline std::size_t quorum_size(std::size_t members) {
    return members / 2 + 1;
}

// Number of replicas such that every quorum of the old primary contains at least one of them. Stopping them
// leaves the old primary without a quorum, and at least one of them holds each acknowledged write: with a
// quorum of q out of n databases, a write is on q - 1 of n - 1 replicas, and n - q + 1 of these cannot all
// lack it.
inline std::size_t replicas_to_stop(std::size_t members) {
    return members - quorum_size(members) + 1;
}

// Returns the position in the history of the replaced term, or nothing if the reported term is unreliable: a
// replica whose receiver is not running reports the term of its last checkpoint, which may be too low. A
// position at or before every later fork is common to all these terms and is therefore accepted.
//   forks {1: 0, 2: 700}, report (term 1, 650)  -> 650 of term 2
//   forks {1: 0, 2: 700}, report (term 1, 800)  -> nothing: a discarded tail, or the term is reported too low
std::optional<core::history_position> trusted_position(const control::group_record& group,
                                                       core::history_position reported);

// Returns whether the current promotion has already promoted the member: it is out of recovery in the new
// term or a later one.
bool promoted_already(const control::group_record& group, const core::endpoint_id& endpoint,
                      const endpoint_status& status);

struct stopped_member {
    endpoint_status m_status;
    core::term m_seen_term; // Highest term that its owners have observed while it streamed.
    bool m_leaving = false;
};

// Returns the most advanced of the stopped replicas, or nothing while too few have answered. Members that
// need a rewind, have left recovery or report an unreliable position are stopped as well but are not
// compared. Only a replica that has received the latest term may be promoted: PostgreSQL numbers a new
// timeline after those that the replica knows, and two histories with the same number would be
// indistinguishable. The other replicas still count towards the quorum. `old_primary` is the position of the
// old primary if it answers: it then counts towards the quorum, and the selected replica must hold its entire
// history.
std::optional<core::endpoint_id> most_advanced(const control::group_record& group,
                                               const std::map<core::endpoint_id, stopped_member>& stopped,
                                               const std::optional<core::history_position>& old_primary);

} // namespace mangoquay::failover
