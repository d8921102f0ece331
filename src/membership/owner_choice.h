// Chooses the owner proxy of each endpoint by rendezvous hashing with balanced endpoint counts per zone.
//
// Decides: which endpoints get which new owner. All functions are pure; the epochs come from the replicated
// state.
#pragma once

#include "control/commands.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace mangoquay::membership {

// The loss of one of 39 zones leaves about 970 of 38,000 endpoints without an owner. At 10 ticks/s, 64
// assignments per tick reassign them within 1.6 s and keep the log below 700 entries/s of about 150 bytes
// each.
inline constexpr std::size_t max_assignments_per_tick = 64;
// A move for balance interrupts a healthy endpoint, so these moves are spread over time.
inline constexpr std::size_t max_balance_moves_per_tick = 1;

struct owner_inputs {
    // Proxies that are registered and live (lease_table::is_live) and not leaving.
    std::set<core::entry_host_id> m_candidates;
    // Proxies that may hold a lease, including leaving ones; they keep their endpoints until these are moved.
    std::set<core::entry_host_id> m_leased;
    // Endpoints that their owner has not reached for unreachable_before_move, each with a proxy that reaches
    // it.
    std::map<core::endpoint_id, core::entry_host_id> m_reachable_from;
    // Endpoints that are not moved for balance: promotion or hand-over in progress, or moved recently.
    std::set<core::endpoint_id> m_pinned;
};

// Returns the rendezvous hash of a host and an endpoint. The host with the highest score is preferred.
std::uint64_t rendezvous_score(const core::entry_host_id& host, const core::endpoint_id& endpoint);

// Returns the assignments of this tick, at most max_assignments_per_tick.
std::vector<control::assign_owner> choose_owners(const control::control_state& state,
                                                 const owner_inputs& inputs);

} // namespace mangoquay::membership
