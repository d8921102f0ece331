// Entry hosts with shares of customers' limits and the control hosts that grant them, with delayed and lost
// messages, cuts, suspended hosts, restarts, new leaders and clocks of unequal speed.
//
// Records when each operation was admitted, in true time. Steps of 10 ms.
#pragma once

#include "quotas/quota_granter.h"
#include "quotas/quota_holder.h"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace mangoquay::test {

// Faults in the program that the bound must reveal, injected by the simulation.
enum class quota_fault : std::uint8_t {
    none,
    share_used_after_end,     // A host's clock does not count suspension.
    share_granted_twice,      // A new leader does not wait for the holders.
    holders_lost_with_leader, // The list of holders is not kept over a change of leader.
    lower_limit_not_applied,  // Hosts do not apply lower limits.
};

struct quota_scenario {
    std::uint32_t m_seed = 0;
    int m_hosts = 6;
    double m_duration_s = 60.0;
    quotas::operation_limit m_limit{40.0, 40.0};
    double m_demand_per_s = 25.0; // Of all hosts together.
    double m_demand_factor = 1.0; // From 20 s to 40 s.
    bool m_disturbed = true;      // Cuts, suspensions, restarts, new leaders, lost messages.
    bool m_limit_falls = false;   // To a quarter, at 30 s.
    quota_fault m_fault = quota_fault::none;
};

struct quota_outcome {
    std::size_t m_arrived = 0;
    std::size_t m_admitted = 0;
    // The largest excess over the bound of any window; negative if all windows are within it.
    double m_worst_excess = 0.0;
};

quota_outcome simulate_quotas(const quota_scenario& scenario);

} // namespace mangoquay::test
