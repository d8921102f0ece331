// Settles closed business days at the control leader.
//
// Receives heartbeats, answers to position reads and ticks; returns position reads and proposals. Owns
// volatile state only: the days to settle are those in phase `closing` in the replicated state, so a new
// leader starts over.
//
// A day is settled in this order:
// 1. The closing is in effect on every live proxy.
// 2. Every live proxy reports no unsettled write of the day, and the owner of each primary holds its lock, so
//    that the database sessions of earlier owners have ended.
// 3. The position of the primary is read under the term of the group.
// 4. A quorum of the group holds that position. Otherwise an unacknowledged write that an export has returned
//    could be lost together with the primary.
// 5. settle_day is proposed.
#pragma once

#include "control/commands.h"
#include "core/clock.h"
#include "failover/endpoint_steps.h"
#include "membership/lease_table.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace mangoquay::settlement {

// A position read without an answer is repeated after this time. Must be longer than failover::read_timeout.
inline constexpr core::milliseconds position_read_retry{400};
inline constexpr core::milliseconds proposal_retry{500};

// The control host runs position reads as it does for the failover core, and passes each answer to the core
// that requested it, because each core numbers its own attempts.
using action = std::variant<failover::read_position, failover::propose>;
using actions = std::vector<action>;

class settlement_core {
public:
    // Discards all progress. Called when this control host becomes the leader.
    void on_elected();
    void on_heartbeat(const membership::heartbeat& beat);
    void on_position_answer(const control::control_state& state, const failover::step_answer& answer);
    // Returns the position reads and proposals that are due. Called about every 100 ms.
    actions tick(core::time_point now, const control::control_state& state, membership::lease_table& leases);

private:
    struct host_report {
        core::incarnation m_incarnation;
        std::uint64_t m_number = 0;
        core::revision m_applied;
        std::map<control::day_key, std::uint32_t> m_unsettled;
        std::set<core::endpoint_id> m_locked; // Endpoints at which the host holds the owner's lock.
    };
    struct position_read {
        std::uint64_t m_attempt = 0;
        core::deadline m_retry;
        bool m_holds_target = false; // For a replica: it holds the target position.
    };
    struct group_progress {
        core::term m_term;
        core::endpoint_id m_primary;
        core::owner_epoch m_epoch;
        core::revision m_owner_assigned_at; // Revision at or after the assignment of the current owner.
        // Position of the primary, read after the writes had drained.
        std::optional<core::history_position> m_target;
        std::map<core::endpoint_id, position_read> m_position_reads;
    };
    struct closing_progress {
        bool m_drained = false;
        std::map<core::group_id, group_progress> m_groups;
        core::deadline m_next_proposal;
    };

    void advance_closing(core::time_point now, const control::control_state& state,
                         membership::lease_table& leases, const control::day_key& key,
                         const control::day_record& day, actions& out);
    static void track_group(const control::control_state& state, const core::group_id& group,
                            group_progress& progress);
    [[nodiscard]] bool drained(core::time_point now, const control::control_state& state,
                               membership::lease_table& leases, const control::day_key& key,
                               const control::day_record& day) const;
    [[nodiscard]] bool owner_established(core::time_point now, const control::control_state& state,
                                         const membership::lease_table& leases,
                                         const group_progress& progress) const;
    void request_positions(core::time_point now, const control::group_record& record,
                           group_progress& progress, actions& out);
    void request_position(core::time_point now, const core::endpoint_id& endpoint, position_read& read,
                          actions& out);
    static bool held_by_quorum(const control::group_record& record, const group_progress& progress);

    std::map<core::entry_host_id, host_report> m_hosts;
    std::map<control::day_key, closing_progress> m_closings;
    std::uint64_t m_last_attempt = 0;
};

} // namespace mangoquay::settlement
