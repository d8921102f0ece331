// Upper bound of the age of a replica's data. Does not compare the clocks of two hosts.
//
// The primary's position P, reported in answer to a query that was sent at t0, covers everything committed
// before t0. Once the replica is at or past P, its data is as of t0 or later. Owns: the pairs (t0, P) that
// the replica has not reached yet, and the latest t0 that it has reached. Deterministic.
#pragma once

#include "core/clock.h"
#include "core/history_position.h"
#include "replication/contains_position.h"

#include <deque>
#include <optional>

namespace mangoquay::replication {

class data_age_tracker {
public:
    // `queried_at` is the time at which the query was sent, by this host's clock. Ignored unless it is later
    // than the last pending one.
    void on_primary_position(core::time_point queried_at, const core::history_position& position,
                             const fork_positions& forks);
    void on_replica_position(const core::history_position& applied, const fork_positions& forks);
    // Upper bound of the age of the data at `now`; nothing if no bound is known.
    [[nodiscard]] std::optional<core::duration> age_upper_bound(core::time_point now) const;
    // Discards all state. Called when the replica was replaced or rewound, because no earlier bound holds
    // then.
    void reset();

private:
    struct primary_query {
        core::time_point m_queried_at;
        core::history_position m_position;
    };

    void update_data_as_of(const fork_positions& forks);

    std::deque<primary_query> m_pending; // In order of m_queried_at.
    std::optional<core::history_position> m_applied;
    std::optional<core::time_point> m_data_as_of; // The replica has everything committed before this time.
};

} // namespace mangoquay::replication
