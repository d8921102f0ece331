// Cached lookup of whether a group belongs to a service. Avoids a linear search in the service's list of
// groups, which has thousands of entries in the largest supported fleet.
//
// Owns: one set of groups per service, rebuilt when the service's record has changed.
#pragma once

#include "control/control_state.h"
#include "core/ids.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <unordered_set>

namespace mangoquay::routing {

class service_groups {
public:
    // Lists up to this length are searched linearly, which is as fast as a set and needs no extra memory.
    static constexpr std::size_t linear_search_limit = 16;

    bool contains(const core::service_name& name, const control::service_record& service,
                  const core::group_id& group) {
        const auto& groups = service.m_groups;
        if (groups.size() <= linear_search_limit) {
            return std::find(groups.begin(), groups.end(), group) != groups.end();
        }
        cached_groups& cached = m_cached[name];
        if (cached.m_revision != service.m_revision || cached.m_groups.size() != groups.size()) {
            cached.m_revision = service.m_revision;
            cached.m_groups = {groups.begin(), groups.end()};
        }
        return cached.m_groups.contains(group);
    }

private:
    struct cached_groups {
        core::revision m_revision;
        std::unordered_set<core::group_id> m_groups;
    };

    std::unordered_map<core::service_name, cached_groups> m_cached;
};

} // namespace mangoquay::routing
