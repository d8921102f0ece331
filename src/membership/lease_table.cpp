// Tracks lease grants and expiry on the control leader.
#include "membership/lease_table.h"

#include <algorithm>

namespace mangoquay::membership {

void lease_table::on_elected(core::time_point now, const control::control_state& state) {
    m_leases.clear();
    m_required_revision = state.m_revision;
    for (const auto& [host, proxy] : state.m_proxies) {
        lease_entry& entry = m_leases[{host, proxy.m_incarnation}];
        entry.m_assumed_until = core::deadline_after(now, assumed_lease_length);
    }
}

void lease_table::track_proxies(core::time_point now, const control::control_state& state) {
    std::erase_if(m_leases, [&](const auto& lease) {
        const auto proxy = state.m_proxies.find(lease.first.m_host);
        const bool listed =
            proxy != state.m_proxies.end() && proxy->second.m_incarnation == lease.first.m_incarnation;
        return !listed && lease.second.m_assumed_until.passed(now);
    });
    for (const auto& [host, proxy] : state.m_proxies) {
        const auto [position, is_new] = m_leases.try_emplace({host, proxy.m_incarnation});
        if (is_new) {
            position->second.m_first_heartbeat_due = core::deadline_after(now, assumed_lease_length);
        }
    }
}

bool lease_table::on_heartbeat(core::time_point now, const control::control_state& state,
                               const membership::heartbeat& beat, bool may_grant) {
    const auto proxy = state.m_proxies.find(beat.m_host);
    if (proxy == state.m_proxies.end() || proxy->second.m_incarnation != beat.m_incarnation) {
        return false;
    }
    lease_entry& entry = m_leases[{beat.m_host, beat.m_incarnation}];
    entry.m_heartbeat_received = true;
    entry.m_applied = std::max(entry.m_applied, beat.m_applied);
    if (!may_grant || !check_apply_progress(now, state, entry)) {
        return false;
    }
    // A proxy without a lease from this leader may have been ignored when a revision was found to be in
    // effect.
    const bool holds_lease = entry.m_granted_by_this_leader && !entry.m_assumed_until.passed(now);
    if (!holds_lease && entry.m_applied < m_required_revision) {
        return false;
    }
    entry.m_granted_by_this_leader = true;
    entry.m_assumed_until = core::deadline_after(now, assumed_lease_length);
    return true;
}

bool lease_table::check_apply_progress(core::time_point now, const control::control_state& state,
                                       lease_entry& entry) {
    if (entry.m_applied >= entry.m_target_revision) {
        entry.m_target_revision = state.m_revision;
        entry.m_target_set = now;
        return true;
    }
    return now - entry.m_target_set <= max_apply_delay;
}

bool lease_table::may_hold_lease(core::time_point now, const core::entry_host_id& host) const {
    for (auto lease = m_leases.lower_bound({host, core::incarnation{}});
         lease != m_leases.end() && lease->first.m_host == host; ++lease) {
        if (!lease->second.m_assumed_until.passed(now)) {
            return true;
        }
    }
    return false;
}

bool lease_table::is_live(core::time_point now, const control::control_state& state,
                          const core::entry_host_id& host) const {
    const auto proxy = state.m_proxies.find(host);
    if (proxy == state.m_proxies.end()) {
        return false;
    }
    const auto lease = m_leases.find({host, proxy->second.m_incarnation});
    return lease != m_leases.end() && lease->second.m_heartbeat_received &&
           !lease->second.m_assumed_until.passed(now);
}

core::revision lease_table::applied_revision(const core::entry_host_id& host) const {
    core::revision latest;
    for (auto lease = m_leases.lower_bound({host, core::incarnation{}});
         lease != m_leases.end() && lease->first.m_host == host; ++lease) {
        latest = lease->second.m_applied; // Incarnations ascend; the last one is the current process.
    }
    return latest;
}

bool lease_table::applied_by_all_lease_holders(core::time_point now, const control::control_state& state,
                                               core::revision required) {
    const bool in_effect = std::all_of(m_leases.begin(), m_leases.end(), [&](const auto& lease) {
        return lease.second.m_assumed_until.passed(now) || lease.second.m_applied >= required;
    });
    if (in_effect) {
        m_required_revision = std::max(m_required_revision, state.m_revision);
    }
    return in_effect;
}

std::vector<core::entry_host_id>
lease_table::proxies_with_expired_lease(core::time_point now, const control::control_state& state) const {
    std::vector<core::entry_host_id> hosts;
    for (const auto& [host, proxy] : state.m_proxies) {
        const auto lease = m_leases.find({host, proxy.m_incarnation});
        if (lease != m_leases.end() && lease->second.m_assumed_until.passed(now) &&
            lease->second.m_first_heartbeat_due.passed(now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace mangoquay::membership
