// Application of commands on proxies, endpoints and groups.
#include "control/apply_changes.h"

#include <algorithm>

namespace mangoquay::control {
namespace {

constexpr const char* invalid_reason = "invalid_change";
// Refusal of a change that was decided on an older state.
constexpr const char* stale_reason = "revision_conflict";

void clear_ownership(control_state& state, const core::entry_host_id& host) {
    for (auto& [id, endpoint] : state.m_endpoints) {
        if (endpoint.m_owner == host) {
            endpoint.m_owner = core::entry_host_id{};
        }
    }
}

std::string validate_announcement(const control_state& state, const announce_endpoint& change) {
    if (change.m_endpoint.value().empty() || change.m_group.value().empty()) {
        return "endpoint, group: must not be empty";
    }
    if (change.m_role == endpoint_role::needs_rewind) {
        return "role: must be primary or replica";
    }
    if (change.m_slots == 0) {
        return "slots: must be at least 1";
    }
    if (change.m_connections <= change.m_slots) {
        return "connections: must exceed slots, because one connection is used for monitoring";
    }
    const auto known = state.m_endpoints.find(change.m_endpoint);
    if (known != state.m_endpoints.end() && known->second.m_group != change.m_group) {
        return "the endpoint belongs to another group";
    }
    const auto is_member_elsewhere =
        std::any_of(state.m_groups.begin(), state.m_groups.end(), [&](const auto& group) {
            return group.first != change.m_group && group.second.m_members.contains(change.m_endpoint);
        });
    return is_member_elsewhere ? "the endpoint is a member of another group" : "";
}

// The first endpoint that announces itself as primary of a new group becomes its primary. Promotions are
// started by the control hosts only, so any other endpoint that announces itself as primary later may have a
// diverged history.
endpoint_role primary_role(group_record& group, const announce_endpoint& change) {
    if (group.m_term == core::term{}) {
        group.m_term = std::max(change.m_term, core::term{1});
        group.m_primary = change.m_endpoint;
        group.m_fork_positions[group.m_term] = core::log_position{};
        return endpoint_role::primary;
    }
    if (group.m_primary != change.m_endpoint) {
        group.m_needs_rewind.insert(change.m_endpoint);
        return endpoint_role::needs_rewind;
    }
    // The first announcement may not have stated the term.
    if (group.m_fork_positions.size() == 1 && change.m_term > group.m_term) {
        group.m_term = change.m_term;
        group.m_fork_positions = {{change.m_term, core::log_position{}}};
    }
    return endpoint_role::primary;
}

endpoint_role replica_role(group_record& group, const announce_endpoint& change) {
    if (group.m_primary == change.m_endpoint && !change.m_endpoint.value().empty()) {
        return endpoint_role::primary; // Only a promotion changes the primary.
    }
    if (change.m_term == group.m_term && !group.m_promotion_in_progress) {
        group.m_needs_rewind.erase(change.m_endpoint);
    }
    return group.m_needs_rewind.contains(change.m_endpoint) ? endpoint_role::needs_rewind
                                                            : endpoint_role::replica;
}

void set_role(control_state& state, const core::endpoint_id& id, endpoint_role role) {
    const auto found = state.m_endpoints.find(id);
    if (found != state.m_endpoints.end()) {
        found->second.m_role = role;
    }
}

} // namespace

command_outcome accepted_change(core::revision at) {
    return {true, at, "", ""};
}

command_outcome refused_change(std::string reason, std::string message) {
    return {false, core::revision{}, std::move(reason), std::move(message)};
}

command_outcome apply_change(control_state& state, const register_proxy& change, core::revision at) {
    if (change.m_host.value().empty()) {
        return refused_change(invalid_reason, "host: must not be empty");
    }
    const auto registered = state.m_proxies.find(change.m_host);
    if (registered != state.m_proxies.end()) {
        if (change.m_record.m_incarnation < registered->second.m_incarnation) {
            return refused_change(stale_reason, "a later incarnation of the proxy is registered");
        }
        // A restarted process holds no owner locks. Its endpoints must be assigned again under a higher
        // epoch, whose owner terminates the sessions of the earlier process.
        if (change.m_record.m_incarnation > registered->second.m_incarnation) {
            clear_ownership(state, change.m_host);
        }
    }
    state.m_proxies[change.m_host] = change.m_record;
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const retire_proxy& change, core::revision at) {
    const auto registered = state.m_proxies.find(change.m_host);
    if (registered == state.m_proxies.end() || registered->second.m_incarnation != change.m_incarnation) {
        return refused_change(stale_reason, "this incarnation of the proxy is not registered");
    }
    state.m_proxies.erase(registered);
    clear_ownership(state, change.m_host);
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const announce_endpoint& change, core::revision at) {
    const std::string error = validate_announcement(state, change);
    if (!error.empty()) {
        return refused_change(invalid_reason, error);
    }
    group_record& group = state.m_groups[change.m_group];
    // No write is acknowledged before the group has a primary, so the first members join without
    // admit_member.
    if (group.m_term == core::term{} && group.m_members.insert(change.m_endpoint).second) {
        group.m_members_changed_at = at;
    }
    const auto [position, is_new] = state.m_endpoints.try_emplace(change.m_endpoint);
    endpoint_record& record = position->second;
    if (is_new) {
        const auto epoch = state.m_last_epochs.find(change.m_endpoint);
        record.m_owner_epoch = epoch == state.m_last_epochs.end() ? core::owner_epoch{} : epoch->second;
    }
    record.m_group = change.m_group;
    record.m_zone = change.m_zone;
    record.m_address = change.m_address;
    record.m_slots = change.m_slots;
    record.m_connections = change.m_connections;
    // Every announced role other than replica is handled as a claim to be primary. needs_rewind cannot occur,
    // because validate_announcement() refuses it.
    record.m_role =
        change.m_role == endpoint_role::replica ? replica_role(group, change) : primary_role(group, change);
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const expire_endpoint& change, core::revision at) {
    const auto found = state.m_endpoints.find(change.m_endpoint);
    if (found == state.m_endpoints.end()) {
        return refused_change(invalid_reason, "the endpoint is not known");
    }
    const group_record& group = state.m_groups[found->second.m_group];
    // The failover steps need the address in the record.
    if (group.m_primary == change.m_endpoint || group.m_promotion_in_progress) {
        return refused_change(invalid_reason,
                              "the endpoint is the primary, or a promotion of its group is in progress");
    }
    state.m_endpoints.erase(found);
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const drain_endpoint& change, core::revision at) {
    const auto found = state.m_endpoints.find(change.m_endpoint);
    if (found == state.m_endpoints.end()) {
        return refused_change(invalid_reason, "the endpoint is not known");
    }
    found->second.m_leaving = change.m_leaving;
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const assign_owner& change, core::revision at) {
    const auto found = state.m_endpoints.find(change.m_endpoint);
    if (found == state.m_endpoints.end() || !state.m_proxies.contains(change.m_owner)) {
        return refused_change(invalid_reason, "the endpoint or the proxy is not known");
    }
    core::owner_epoch& last = state.m_last_epochs[change.m_endpoint];
    if (change.m_epoch <= last) {
        return refused_change(stale_reason, "the epoch is not above the last one");
    }
    last = change.m_epoch;
    found->second.m_owner = change.m_owner;
    found->second.m_owner_epoch = change.m_epoch;
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const admit_member& change, core::revision at) {
    const auto found = state.m_groups.find(change.m_group);
    const auto endpoint = state.m_endpoints.find(change.m_endpoint);
    if (found == state.m_groups.end() || endpoint == state.m_endpoints.end() ||
        endpoint->second.m_group != change.m_group) {
        return refused_change(invalid_reason, "the endpoint is not known in this group");
    }
    group_record& group = found->second;
    if (group.m_members_changed_at != change.m_expected_members_changed_at || group.m_promotion_in_progress ||
        group.m_needs_rewind.contains(change.m_endpoint) || group.m_members.contains(change.m_endpoint)) {
        return refused_change(stale_reason, "the members have changed, or the endpoint cannot join now");
    }
    group.m_members.insert(change.m_endpoint);
    group.m_members_changed_at = at;
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const hold_writes& change, core::revision at) {
    const auto found = state.m_groups.find(change.m_group);
    if (found == state.m_groups.end() || change.m_primary.value().empty() ||
        found->second.m_primary != change.m_primary || found->second.m_writes_held) {
        return refused_change(stale_reason,
                              "the endpoint is not the primary, or the writes of the group are already held");
    }
    found->second.m_writes_held = true;
    found->second.m_writes_held_at = at;
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const release_writes& change, core::revision at) {
    const auto found = state.m_groups.find(change.m_group);
    if (found == state.m_groups.end() || !found->second.m_writes_held) {
        return refused_change(stale_reason, "writes of the group are not held");
    }
    found->second.m_writes_held = false;
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const begin_promotion& change, core::revision at) {
    const auto found = state.m_groups.find(change.m_group);
    if (found == state.m_groups.end() || found->second.m_primary.value().empty() ||
        change.m_term <= found->second.m_term) {
        return refused_change(stale_reason,
                              "the group has no primary, or the term is not above the current one");
    }
    group_record& group = found->second;
    group.m_term = change.m_term;
    group.m_promotion_in_progress = true;
    group.m_writes_held = false;
    group.m_old_primary = group.m_primary;
    group.m_primary = core::endpoint_id{};
    group.m_needs_rewind.insert(group.m_old_primary);
    set_role(state, group.m_old_primary, endpoint_role::needs_rewind);
    return accepted_change(at);
}

command_outcome apply_change(control_state& state, const finish_promotion& change, core::revision at) {
    const auto found = state.m_groups.find(change.m_group);
    if (found == state.m_groups.end() || !found->second.m_promotion_in_progress ||
        change.m_term < found->second.m_term || change.m_primary == found->second.m_old_primary) {
        return refused_change(stale_reason, "this promotion is not in progress");
    }
    const auto endpoint = state.m_endpoints.find(change.m_primary);
    if (endpoint == state.m_endpoints.end() || endpoint->second.m_group != change.m_group ||
        !found->second.m_members.contains(change.m_primary)) {
        return refused_change(invalid_reason, "the new primary is not a known member of the group");
    }
    group_record& group = found->second;
    group.m_term = change.m_term;
    group.m_primary = change.m_primary;
    group.m_promotion_in_progress = false;
    group.m_old_primary = core::endpoint_id{};
    group.m_needs_rewind.erase(change.m_primary);
    group.m_fork_positions[change.m_term] = change.m_fork_position;
    endpoint->second.m_role = endpoint_role::primary;
    return accepted_change(at);
}

} // namespace mangoquay::control
