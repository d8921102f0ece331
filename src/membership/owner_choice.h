// Choice of the owner proxy of each endpoint: rendezvous hashing with balanced counts per zone.
//
// Decides: which endpoints get which new owner. Pure functions; epochs come from the replicated state.
#pragma once

#include "control/commands.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace mangoquay::membership {

// The loss of one of 39 zones leaves about 970 of 38,000 endpoints without an owner. At ten ticks a second 64
// assignments per tick place them within 1.6 s and keep the log below 700 entries/s of about 150 bytes.
inline constexpr std::size_t max_assignments_per_tick = 64;
// A move for balance interrupts a healthy endpoint, so these are spread out.
inline constexpr std::size_t max_balance_moves_per_tick = 1;

struct owner_inputs {
    // Registered, heard, lease counts, not leaving.
    std::set<core::entry_host_id> m_candidates;
    // Proxies whose lease counts, leaving ones included: an endpoint stays with them until it is moved.
    std::set<core::entry_host_id> m_leased;
    // The owner has not reached the endpoint for long, while this proxy does.
    std::map<core::endpoint_id, core::entry_host_id> m_reachable_from;
    std::set<core::endpoint_id> m_pinned; // not to be moved for balance (promotion or hand-over under way)
};

std::uint64_t rendezvous_score(const core::entry_host_id& host, const core::endpoint_id& endpoint);

std::vector<control::assign_owner> choose_owners(const control::control_state& state,
                                                 const owner_inputs& inputs);

} // namespace mangoquay::membership
