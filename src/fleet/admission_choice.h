// Whether a control host that asks to join the cell is admitted, and in whose place: a pure function.
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
    core::entry_host_id m_self;           // the leader, which never replaces itself
    std::vector<member_contact> m_members; // voters and learners
    std::size_t m_target_size = 3;             // members when all is well
};

struct admission {
    core::entry_host_id m_replaced_host; // empty: nobody leaves
};

// A member without contact for this long may be replaced. Longer than an election and a restart (about a
// second), shorter than the time in which a second loss is to be expected.
inline constexpr core::milliseconds contact_timeout{2500};

std::optional<admission> choose_admission(const admission_request& request, core::time_point now);

} // namespace mangoquay::fleet
