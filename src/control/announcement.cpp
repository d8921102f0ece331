// Compares the state before and after an announcement.
#include "control/announcement.h"

#include "control/apply.h"

namespace mangoquay::control {

bool is_unchanged_announcement(const control_state& state, const announce_endpoint& announcement) {
    const auto group = state.m_groups.find(announcement.m_group);
    if (group == state.m_groups.end() || !state.m_endpoints.contains(announcement.m_endpoint)) {
        return false;
    }
    control_state before;
    before.m_groups.insert(*group);
    for (const core::endpoint_id& member : group->second.m_members) {
        const auto record = state.m_endpoints.find(member);
        if (record != state.m_endpoints.end()) {
            before.m_endpoints.insert(*record);
        }
    }
    control_state after = before;
    const command_outcome outcome = apply(after, announcement, core::revision(1));
    after.m_revision = before.m_revision;
    return outcome.m_accepted && after == before;
}

} // namespace mangoquay::control
