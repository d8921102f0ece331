// The control leader's count of the proxies' leases and of the revision each proxy has applied.
//
// Decides: which heartbeats are granted, and whether a revision is in force everywhere. Owns volatile state
// only; a new leader starts with on_elected(). Invariant: while a proxy may hold a valid lease on its own clock,
// may_hold_lease() is true here.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "membership/reports.h"

#include <compare>
#include <map>
#include <vector>

namespace mangoquay::membership {

// lease_length plus 10 %: clocks of two hosts may differ in rate by up to 10 % between them.
inline constexpr core::milliseconds assumed_lease_length{1100};
// A proxy that has not applied a revision this long after the leader knew it as committed loses its lease, so
// that a change is in force on every live proxy within the limit of 6 s: 3 s + 1.1 s + a heartbeat.
inline constexpr core::milliseconds max_apply_delay{3000};

class lease_table {
public:
    // Called once the leader has applied an entry of its own Raft term, so that `state` holds everything that
    // earlier leaders committed. Earlier leaders may have granted leases: all proxies count as leased for a
    // full period.
    void on_elected(core::time_point now, const control::control_state& state);

    // Starts to watch proxies that the state lists and forgets those it no longer lists; part of each tick.
    void track_proxies(core::time_point now, const control::control_state& state);

    // False: the lease is not extended. The shell passes may_grant: its own leader lease is valid.
    bool on_heartbeat(core::time_point now, const control::control_state& state, const heartbeat& beat,
                   bool may_grant);

    // The proxy may hold a valid lease.
    [[nodiscard]] bool may_hold_lease(core::time_point now, const core::entry_host_id& host) const;
    // It may hold one, and this leader has heard it under its registered incarnation.
    [[nodiscard]] bool is_live(core::time_point now, const control::control_state& state,
                            const core::entry_host_id& host) const;
    [[nodiscard]] core::revision applied_revision(const core::entry_host_id& host) const;

    // Every proxy whose lease counts has applied `wanted`. Once this has been true, a proxy whose lease had
    // lapsed by then gets no new lease before it has applied all that the leader has applied by now.
    bool applied_by_all_lease_holders(core::time_point now, const control::control_state& state,
                                      core::revision required);

    // Proxies whose lease has lapsed although the state lists them.
    [[nodiscard]] std::vector<core::entry_host_id> proxies_with_expired_lease(core::time_point now,
                                                          const control::control_state& state) const;

private:
    // A restarted proxy's earlier process may still run, so each incarnation is counted on its own.
    struct lease_key {
        core::entry_host_id m_host;
        core::incarnation m_incarnation;
        friend auto operator<=>(const lease_key&, const lease_key&) = default;
    };
    struct lease_entry {
        core::deadline m_assumed_until;
        core::deadline m_first_heartbeat_due; // a proxy that registered and is never heard lapses then
        bool m_granted_by_this_leader = false;          // by this leader; before that the proxy must reach m_floor
        bool m_heartbeat_received = false;
        core::revision m_applied;
        core::revision m_target_revision; // committed when it was last found up to date
        core::time_point m_target_set;
    };

    static bool check_apply_progress(core::time_point now, const control::control_state& state, lease_entry& entry);

    std::map<lease_key, lease_entry> m_leases;
    core::revision m_required_revision; // a proxy without a lease must have applied this to get one
};

} // namespace mangoquay::membership
