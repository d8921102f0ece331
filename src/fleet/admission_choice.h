// Pure function that decides whether a control host that requests to join the cell (the Raft cluster of the
// control hosts) is admitted, and which member it replaces.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <optional>
#include <vector>

namespace mangoquay::fleet {

struct member_contact {
    core::entry_host_id m_host;
    core::time_point m_last_contact{};
};

struct admission_request {
    core::entry_host_id m_joining_host;
    core::entry_host_id m_self;            // The leader, which is never replaced.
    std::vector<member_contact> m_members; // Voters and learners.
    std::size_t m_target_size = 3;         // Number of members of a complete cell.
    std::size_t m_max_standbys = 0;        // Number of further members that wait for a place.
};

struct admission {
    core::entry_host_id m_replaced_host; // Empty if no member is replaced.
};

// A member without contact for this long may be replaced. Longer than an election and a restart (about 1 s),
// shorter than the expected time until a second host fails.
inline constexpr core::milliseconds contact_timeout{2500};

// Returns nothing if the host is a member already, or if the cell has all members and standbys and all are in
// contact. A host that is admitted beyond the target size is a standby.
std::optional<admission> choose_admission(const admission_request& request, core::time_point now);

} // namespace mangoquay::fleet
