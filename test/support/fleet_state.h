// Control state for tests of entry hosts: one service, whose groups have one primary and two replicas each.
#pragma once

#include "control/control_state.h"

#include <string>

namespace mangoquay::test {

inline const core::service_name service{"bookings-db"};
inline const core::availability_zone zones[] = {
    core::availability_zone("makati"), core::availability_zone("pasig"), core::availability_zone("quezon")};

inline core::history_position make_position(std::uint32_t term, std::uint64_t position) {
    return {core::term(term), core::log_position(position)};
}

inline core::group_id group_name(int group) {
    return core::group_id("g" + std::to_string(group));
}

// Endpoint ids have the form g0-a, g0-b, g0-c. Member a is the primary. Each member has its own zone and
// owner.
inline core::endpoint_id endpoint_name(int group, int member) {
    return core::endpoint_id("g" + std::to_string(group) + "-" + static_cast<char>('a' + member));
}

inline core::entry_host_id host_name(int zone) {
    return core::entry_host_id("h" + std::to_string(zone));
}

inline void add_group(control::control_state& state, int group) {
    control::group_record record;
    record.m_term = core::term(1);
    record.m_primary = endpoint_name(group, 0);
    for (int member = 0; member < 3; ++member) {
        control::endpoint_record endpoint;
        endpoint.m_group = group_name(group);
        endpoint.m_zone = zones[member];
        endpoint.m_role = member == 0 ? control::endpoint_role::primary : control::endpoint_role::replica;
        endpoint.m_slots = 3;
        endpoint.m_owner = host_name(member);
        endpoint.m_owner_epoch = core::owner_epoch(1);
        state.m_endpoints[endpoint_name(group, member)] = endpoint;
        record.m_members.insert(endpoint_name(group, member));
    }
    state.m_groups[group_name(group)] = record;
    state.m_services[service].m_groups.push_back(group_name(group));
}

inline control::control_state fleet_state(int groups = 1) {
    control::control_state state;
    for (int zone = 0; zone < 3; ++zone) {
        state.m_proxies[host_name(zone)].m_zone = zones[zone];
    }
    state.m_presets[core::preset_name("ordinary_day")] = {};
    state.m_services[service].m_preset = core::preset_name("ordinary_day");
    for (int group = 0; group < groups; ++group) {
        add_group(state, group);
    }
    return state;
}

} // namespace mangoquay::test
