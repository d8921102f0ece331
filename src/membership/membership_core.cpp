// Tracks proxies and endpoints on the control leader.
#include "membership/membership_core.h"

#include <algorithm>

namespace mangoquay::membership {
namespace {

// When the table of proposals exceeds this size, its expired entries are removed, which bounds its memory.
constexpr std::size_t proposals_before_cleanup = 4096;

bool promotion_or_hand_over_in_progress(const control::control_state& state,
                                        const control::endpoint_record& endpoint) {
    const auto group = state.m_groups.find(endpoint.m_group);
    return group != state.m_groups.end() &&
           (group->second.m_promotion_in_progress || group->second.m_writes_held);
}

bool is_primary(const control::control_state& state, const core::endpoint_id& id,
                const control::endpoint_record& endpoint) {
    const auto group = state.m_groups.find(endpoint.m_group);
    return group != state.m_groups.end() && group->second.m_primary == id;
}

} // namespace

void membership_core::on_elected(core::time_point now, const control::control_state& state) {
    m_leases.on_elected(now, state);
    m_endpoints.clear();
    m_proposed.clear();
    m_last_heartbeats.clear();
    m_last_tick = now;
    m_grace_period = core::deadline_after(now, assumed_lease_length);
}

actions membership_core::on_heartbeat(core::time_point now, const control::control_state& state,
                                      const heartbeat& beat, bool may_grant) {
    actions out;
    const bool accepted = m_leases.on_heartbeat(now, state, beat, may_grant);
    out.emplace_back(grant_lease{beat.m_host, beat.m_incarnation, beat.m_number, accepted, state.m_revision});
    const auto proxy = state.m_proxies.find(beat.m_host);
    if (proxy == state.m_proxies.end() || proxy->second.m_incarnation != beat.m_incarnation ||
        !is_newest(beat)) {
        return out;
    }
    record_health(now, state, beat);
    for (const core::endpoint_id& endpoint : beat.m_renewed) {
        on_endpoint_renewed(now, endpoint);
    }
    if (beat.m_leaving != proxy->second.m_leaving && may_propose(now, "leaving " + beat.m_host.value())) {
        control::proxy_record record = proxy->second;
        record.m_leaving = beat.m_leaving;
        out.emplace_back(propose{control::register_proxy{beat.m_host, record}});
    }
    return out;
}

bool membership_core::is_newest(const heartbeat& beat) {
    last_heartbeat& last = m_last_heartbeats[beat.m_host];
    if (last.m_incarnation == beat.m_incarnation && beat.m_number <= last.m_number) {
        return false;
    }
    last = {beat.m_incarnation, beat.m_number};
    return true;
}

void membership_core::on_endpoint_renewed(core::time_point now, const core::endpoint_id& endpoint) {
    m_endpoints[endpoint].m_expires = core::deadline_after(now, endpoint_lifetime);
}

void membership_core::on_probe_result(core::time_point now, const probe_result& result) {
    const auto view = m_endpoints.find(result.m_endpoint);
    if (view == m_endpoints.end()) {
        return;
    }
    if (result.m_reachable) {
        view->second.m_reached_by = result.m_host;
        view->second.m_reached_until = core::deadline_after(now, probe_result_lifetime);
    } else if (view->second.m_reached_by == result.m_host) {
        view->second.m_reached_until = core::deadline{};
    }
}

actions membership_core::tick(core::time_point now, const control::control_state& state) {
    if (now - m_last_tick > max_tick_gap) {
        m_grace_period = core::deadline_after(now, assumed_lease_length);
    }
    m_last_tick = now;
    m_leases.track_proxies(now, state);
    std::erase_if(m_endpoints, [&](const auto& view) { return !state.m_endpoints.contains(view.first); });
    for (const auto& [id, endpoint] : state.m_endpoints) {
        const auto [view, is_new] = m_endpoints.try_emplace(id);
        if (is_new || !m_grace_period.passed(now)) {
            view->second.m_expires =
                std::max(view->second.m_expires, core::deadline_after(now, endpoint_lifetime));
        }
    }
    actions out;
    if (!m_grace_period.passed(now)) {
        return out;
    }
    retire_expired_proxies(now, state, out);
    expire_endpoints(now, state, out);
    assign_owners(now, state, out);
    probe_unreachable(now, state, out);
    return out;
}

void membership_core::record_health(core::time_point now, const control::control_state& state,
                                    const heartbeat& beat) {
    for (const endpoint_report& report : beat.m_health) {
        const auto endpoint = state.m_endpoints.find(report.m_endpoint);
        if (endpoint == state.m_endpoints.end() || endpoint->second.m_owner != beat.m_host) {
            continue;
        }
        const auto [position, is_new] = m_endpoints.try_emplace(report.m_endpoint);
        endpoint_view& view = position->second;
        if (is_new) {
            view.m_expires = core::deadline_after(now, endpoint_lifetime);
        }
        if (!report.m_reachable && (view.m_reachable || view.m_reported_by != beat.m_host)) {
            view.m_unreachable_since = now;
        }
        view.m_reachable = report.m_reachable;
        view.m_reported_by = beat.m_host;
    }
}

void membership_core::retire_expired_proxies(core::time_point now, const control::control_state& state,
                                             actions& out) {
    for (const core::entry_host_id& host : m_leases.proxies_with_expired_lease(now, state)) {
        if (may_propose(now, "retire " + host.value())) {
            out.emplace_back(propose{control::retire_proxy{host, state.m_proxies.at(host).m_incarnation}});
        }
    }
}

void membership_core::expire_endpoints(core::time_point now, const control::control_state& state,
                                       actions& out) {
    for (const auto& [id, endpoint] : state.m_endpoints) {
        // A primary that does not renew itself is handled by failover, which needs its address. apply() also
        // refuses to expire a primary.
        const bool kept =
            is_primary(state, id, endpoint) || promotion_or_hand_over_in_progress(state, endpoint);
        if (!kept && m_endpoints.at(id).m_expires.passed(now) && may_propose(now, "expire " + id.value())) {
            out.emplace_back(propose{control::expire_endpoint{id}});
        }
    }
}

owner_inputs membership_core::current_inputs(core::time_point now,
                                             const control::control_state& state) const {
    owner_inputs inputs;
    for (const auto& [host, proxy] : state.m_proxies) {
        if (m_leases.may_hold_lease(now, host)) {
            inputs.m_leased.insert(host);
        }
        if (!proxy.m_leaving && m_leases.is_live(now, state, host)) {
            inputs.m_candidates.insert(host);
        }
    }
    for (const auto& [id, endpoint] : state.m_endpoints) {
        const endpoint_view& view = m_endpoints.at(id);
        if (promotion_or_hand_over_in_progress(state, endpoint) || !view.m_pinned_until.passed(now)) {
            inputs.m_pinned.insert(id);
        }
        const bool long_unreachable = !view.m_reachable && view.m_reported_by == endpoint.m_owner &&
                                      now - view.m_unreachable_since >= unreachable_before_move;
        if (long_unreachable && !view.m_reached_until.passed(now)) {
            inputs.m_reachable_from[id] = view.m_reached_by;
        }
    }
    return inputs;
}

void membership_core::assign_owners(core::time_point now, const control::control_state& state, actions& out) {
    const owner_inputs inputs = current_inputs(now, state);
    for (const control::assign_owner& assignment : choose_owners(state, inputs)) {
        if (may_propose(now, "owner " + assignment.m_endpoint.value())) {
            if (inputs.m_reachable_from.contains(assignment.m_endpoint)) {
                m_endpoints.at(assignment.m_endpoint).m_pinned_until =
                    core::deadline_after(now, stay_after_move);
            }
            out.emplace_back(propose{assignment});
        }
    }
}

void membership_core::probe_unreachable(core::time_point now, const control::control_state& state,
                                        actions& out) {
    const owner_inputs inputs = current_inputs(now, state);
    for (const auto& [id, endpoint] : state.m_endpoints) {
        endpoint_view& view = m_endpoints.at(id);
        if (view.m_reachable || view.m_reported_by != endpoint.m_owner || !view.m_next_probe.passed(now)) {
            continue;
        }
        std::vector<core::entry_host_id> hosts(inputs.m_candidates.begin(), inputs.m_candidates.end());
        std::erase(hosts, endpoint.m_owner);
        std::sort(hosts.begin(), hosts.end(), [&, &id = id](const auto& left, const auto& right) {
            return rendezvous_score(left, id) > rendezvous_score(right, id);
        });
        for (std::size_t sent = 0; sent < std::min(proxies_probed_at_once, hosts.size()); ++sent) {
            out.emplace_back(send_probe{hosts[view.m_next_prober++ % hosts.size()], id});
        }
        view.m_next_probe = core::deadline_after(now, probe_period);
    }
}

bool membership_core::may_propose(core::time_point now, const std::string& subject) {
    if (m_proposed.size() > proposals_before_cleanup) {
        std::erase_if(m_proposed, [&](const auto& proposal) { return proposal.second.passed(now); });
    }
    core::deadline& blocked_until = m_proposed[subject];
    if (!blocked_until.passed(now)) {
        return false;
    }
    blocked_until = core::deadline_after(now, proposal_retry);
    return true;
}

} // namespace mangoquay::membership
