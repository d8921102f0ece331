// The control leader's registry of proxies and endpoints: leases, expiry, choice of owners.
//
// Receives heartbeats, renewals and probe results; sends proposals, lease grants and probe requests. Owns
// volatile state only: after an election the shell calls elected() and everything is rebuilt from the
// replicated state and new reports.
#pragma once

#include "core/clock.h"
#include "membership/lease_table.h"
#include "membership/owner_choice.h"
#include "membership/reports.h"

#include <map>

namespace mangoquay::membership {

// An endpoint announces itself every second; two lost announcements do not expire it.
inline constexpr core::milliseconds endpoint_lifetime{3000};
// Longer than a reconnect (12 ms) and the loss of a few heartbeats; shorter than the failover target of 3 s.
inline constexpr core::milliseconds unreachable_before_move{1000};
inline constexpr core::milliseconds probe_period{500};
// A result of another proxy older than this no longer speaks for a move.
inline constexpr core::milliseconds probe_result_lifetime{1000};
// A proposal that did not show in the state is repeated: it may have been lost or refused.
inline constexpr core::milliseconds proposal_retry{500};
inline constexpr std::size_t proxies_probed_at_once = 2;

class membership_core {
public:
    // See lease_table::elected.
    void elected(core::time_point now, const control::control_state& state);

    actions on_heartbeat(core::time_point now, const control::control_state& state, const heartbeat& beat,
                         bool may_grant);
    void on_endpoint_renewed(core::time_point now, const core::endpoint_id& endpoint);
    void on_probe_result(core::time_point now, const probe_result& result);
    // About every 100 ms.
    actions tick(core::time_point now, const control::control_state& state);

    [[nodiscard]] lease_table& leases() { return m_leases; }
    [[nodiscard]] const lease_table& leases() const { return m_leases; }

private:
    struct endpoint_view {
        core::deadline m_expires;
        core::time_point m_unreachable_since; // meaningful while !m_reachable
        bool m_reachable = true;              // as its owner last said
        core::entry_host_id m_said_by;
        core::deadline m_next_probe;
        core::entry_host_id m_reached_by; // another proxy that reached it
        core::deadline m_reach_valid;
    };

    void note_health(core::time_point now, const control::control_state& state, const heartbeat& beat);
    void retire_lapsed(core::time_point now, const control::control_state& state, actions& out);
    void expire_endpoints(core::time_point now, const control::control_state& state, actions& out);
    void assign_owners(core::time_point now, const control::control_state& state, actions& out);
    void probe_unreachable(core::time_point now, const control::control_state& state, actions& out);
    // False while the same proposal was made less than proposal_retry ago.
    bool may_propose(core::time_point now, const std::string& subject);

    lease_table m_leases;
    std::map<core::endpoint_id, endpoint_view> m_endpoints;
    std::map<std::string, core::deadline> m_proposed;
};

} // namespace mangoquay::membership
