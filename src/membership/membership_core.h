// The control leader's registry of proxies and endpoints: leases, expiry and the choice of owners.
//
// Receives heartbeats, renewals and probe results; returns proposals, lease grants and probe requests. Owns
// volatile state only: after an election control_host calls on_elected(), and everything is rebuilt from the
// replicated state and new reports.
#pragma once

#include "core/clock.h"
#include "membership/lease_table.h"
#include "membership/owner_choice.h"
#include "membership/reports.h"

#include <map>
#include <string>

namespace mangoquay::membership {

// An endpoint announces itself every second, so it does not expire when two announcements are lost.
inline constexpr core::milliseconds endpoint_lifetime{3000};
// An endpoint moves to another owner after its owner has not reached it for this long. Longer than a
// reconnect (12 ms) and the loss of a few heartbeats; shorter than the failover target of 3 s.
inline constexpr core::milliseconds unreachable_before_move{1000};
inline constexpr core::milliseconds probe_period{500};
// After such a move the endpoint keeps its owner for this long. Returning it to its zone immediately would
// repeat the outage every second while the fault lasts.
inline constexpr core::milliseconds stay_after_move{30000};
// An older probe result of another proxy is not used as a reason for a move.
inline constexpr core::milliseconds probe_result_lifetime{1000};
// A proposal that is not reflected in the state is repeated after this time, because it may have been lost or
// refused.
inline constexpr core::milliseconds proposal_retry{500};
inline constexpr std::size_t proxies_probed_at_once = 2;
// A longer gap between two ticks means that the leader was paused. Heartbeats received in the meantime are
// still unread, so no proxy is retired and no endpoint expires for one lease period. Otherwise a pause of the
// leader would take all endpoints of the fleet from their owners.
inline constexpr core::milliseconds max_tick_gap{500};

class membership_core {
public:
    // See lease_table::on_elected.
    void on_elected(core::time_point now, const control::control_state& state);

    actions on_heartbeat(core::time_point now, const control::control_state& state, const heartbeat& beat,
                         bool may_grant);
    // Postpones the expiry of the endpoint by endpoint_lifetime.
    void on_endpoint_renewed(core::time_point now, const core::endpoint_id& endpoint);
    void on_probe_result(core::time_point now, const probe_result& result);
    // Called about every 100 ms.
    actions tick(core::time_point now, const control::control_state& state);

    [[nodiscard]] lease_table& leases() { return m_leases; }
    [[nodiscard]] const lease_table& leases() const { return m_leases; }

private:
    struct endpoint_view {
        core::deadline m_expires;
        core::time_point m_unreachable_since; // Valid only while m_reachable is false.
        bool m_reachable = true;              // Last report of its owner.
        core::entry_host_id m_reported_by;
        core::deadline m_next_probe;
        core::entry_host_id m_reached_by; // Another proxy that has reached the endpoint.
        core::deadline m_reached_until;
        core::deadline m_pinned_until; // Not moved for balance before this time.
        std::size_t m_next_prober = 0; // Rotates over the candidates.
    };
    struct last_heartbeat {
        core::incarnation m_incarnation;
        std::uint64_t m_number = 0;
    };

    void record_health(core::time_point now, const control::control_state& state, const heartbeat& beat);
    void retire_expired_proxies(core::time_point now, const control::control_state& state, actions& out);
    void expire_endpoints(core::time_point now, const control::control_state& state, actions& out);
    void assign_owners(core::time_point now, const control::control_state& state, actions& out);
    void probe_unreachable(core::time_point now, const control::control_state& state, actions& out);
    [[nodiscard]] owner_inputs current_inputs(core::time_point now,
                                              const control::control_state& state) const;
    // Returns false when a newer heartbeat of the same incarnation has already been received.
    bool is_newest(const heartbeat& beat);
    // Returns whether a proposal for the subject may be made now, and records it. Returns false when one was
    // made less than proposal_retry ago.
    bool may_propose(core::time_point now, const std::string& subject);

    lease_table m_leases;
    std::map<core::endpoint_id, endpoint_view> m_endpoints;
    std::map<std::string, core::deadline> m_proposed;
    std::map<core::entry_host_id, last_heartbeat> m_last_heartbeats;
    core::time_point m_last_tick;
    core::deadline m_grace_period; // Until then no proxy is retired and no endpoint expires.
};

} // namespace mangoquay::membership
