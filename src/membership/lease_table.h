// The control leader's record of the proxies' leases and of the revision that each proxy has applied.
//
// Decides: which heartbeats extend a lease, and whether a revision is in effect on all proxies. Owns volatile
// state only; a new leader starts with on_elected(). Invariant: while a proxy holds a valid lease by its own
// clock, may_hold_lease() returns true here.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "membership/reports.h"

#include <compare>
#include <map>
#include <vector>

namespace mangoquay::membership {

// Time for which the leader assumes that a granted lease is held: lease_length plus 10 %, because the clock
// rates of two hosts may differ by up to 10 %.
inline constexpr core::milliseconds assumed_lease_length{1100};
// A proxy loses its lease when it has not applied a revision this long after the leader learned that it is
// committed. A change is therefore in effect on every live proxy within 3 s + 1.1 s + one heartbeat period,
// which is below the limit of 6 s.
inline constexpr core::milliseconds max_apply_delay{3000};

class lease_table {
public:
    // Called after the leader has applied an entry of its own Raft term, so that `state` contains everything
    // that earlier leaders committed. Earlier leaders may have granted leases, so all proxies are assumed to
    // hold a lease for assumed_lease_length.
    void on_elected(core::time_point now, const control::control_state& state);

    // Starts to track proxies that the state lists and drops those that it no longer lists. Called on each
    // tick.
    void track_proxies(core::time_point now, const control::control_state& state);

    // Returns false when the lease is not extended. `may_grant` tells whether the leader's own Raft lease is
    // valid.
    bool on_heartbeat(core::time_point now, const control::control_state& state, const heartbeat& beat,
                      bool may_grant);

    // Returns whether the proxy may hold a valid lease.
    [[nodiscard]] bool may_hold_lease(core::time_point now, const core::entry_host_id& host) const;
    // Returns whether the proxy may hold a valid lease and this leader has received a heartbeat of its
    // registered incarnation.
    [[nodiscard]] bool is_live(core::time_point now, const control::control_state& state,
                               const core::entry_host_id& host) const;
    // Returns the revision that the latest tracked incarnation of the proxy has reported as applied.
    [[nodiscard]] core::revision applied_revision(const core::entry_host_id& host) const;

    // Returns whether every proxy that may hold a lease has applied the `required` revision. After this has
    // returned true, a proxy whose lease had expired gets no new lease until it has applied everything that
    // the leader had applied at that time.
    bool applied_by_all_lease_holders(core::time_point now, const control::control_state& state,
                                      core::revision required);

    // Returns the proxies that the state lists and whose lease has expired.
    [[nodiscard]] std::vector<core::entry_host_id>
    proxies_with_expired_lease(core::time_point now, const control::control_state& state) const;

private:
    // The previous process of a restarted proxy may still run, so each incarnation is tracked separately.
    struct lease_key {
        core::entry_host_id m_host;
        core::incarnation m_incarnation;
        friend auto operator<=>(const lease_key&, const lease_key&) = default;
    };
    struct lease_entry {
        core::deadline m_assumed_until;
        core::deadline m_first_heartbeat_due; // A registered proxy that never sends a heartbeat expires then.
        bool m_granted_by_this_leader = false; // Until then the proxy must reach m_required_revision.
        bool m_heartbeat_received = false;
        core::revision m_applied;
        core::revision m_target_revision; // Committed revision when the proxy was last up to date.
        core::time_point m_target_set;
    };

    static bool check_apply_progress(core::time_point now, const control::control_state& state,
                                     lease_entry& entry);

    std::map<lease_key, lease_entry> m_leases;
    core::revision m_required_revision; // A proxy without a lease must have applied this revision to get one.
};

} // namespace mangoquay::membership
