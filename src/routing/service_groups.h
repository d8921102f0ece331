// Answers whether a group belongs to a service without a search through the service's list of groups, which
// has thousands of entries at the design's target size.
//
// Owns: one set per service, rebuilt when the service's record has changed.
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
    // Lists up to this length are searched: that is as fast as a set and needs no memory.
    static constexpr std::size_t searched_length = 16;

    bool contains(const core::service_name& name, const control::service_record& service,
                  const core::group_id& group) {
        const auto& groups = service.m_groups;
        if (groups.size() <= searched_length) {
            return std::find(groups.begin(), groups.end(), group) != groups.end();
        }
        known_groups& known = m_known[name];
        if (known.m_revision != service.m_revision || known.m_groups.size() != groups.size()) {
            known.m_revision = service.m_revision;
            known.m_groups = {groups.begin(), groups.end()};
        }
        return known.m_groups.contains(group);
    }

private:
    struct known_groups {
        core::revision m_revision;
        std::unordered_set<core::group_id> m_groups;
    };

    std::unordered_map<core::service_name, known_groups> m_known;
};

} // namespace mangoquay::routing
