// Entry hosts with shares of customers' limits and the control hosts that grant them, with delayed and lost
// messages, cuts, suspended hosts, restarts, new leaders and clocks of unequal speed.
//
// Records when each operation was admitted, in true time. Steps of 10 ms.
#pragma once

#include "quotas/quota_granter.h"
#include "quotas/quota_holder.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
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

// How often per second, on average, each kind of disturbance begins; those with a length last up to
// m_longest_s. Also makes 5 % of the messages lost and 5 % of the answers late.
struct quota_disturbances {
    double m_cuts = 0.02; // Of one host, as are suspensions and restarts.
    double m_suspensions = 0.02;
    double m_restarts = 0.02;
    double m_leader_losses = 0.05;
    double m_full_restarts = 0.005;
    double m_longest_s = 14.0;
};

// From and until, in seconds.
struct time_span {
    double m_from = -1.0;
    double m_until = -1.0;

    [[nodiscard]] bool contains(double time) const { return time >= m_from && time < m_until; }
};

struct quota_scenario {
    std::uint32_t m_seed = 0;
    int m_hosts = 6;
    double m_duration_s = 60.0;
    quotas::operation_limit m_limit{40.0, 40.0};
    quotas::window_tolerance m_tolerance; // Of the granter and of the bound.
    double m_demand_per_s = 25.0;         // Of all hosts together, at most 100 for each host.
    std::function<double(int host, double time)> m_demand_factor; // 1 if it is not set.
    double m_clock_spread = 0.1; // Clocks run at 1 - spread to 1 + spread of true time.
    // Of the first host; the others and the leader then have the fastest.
    bool m_first_clock_slowest = false;
    std::optional<quota_disturbances> m_disturbances = quota_disturbances{};
    bool m_limit_falls = false; // To a quarter, at 30 s.
    double m_longest_document_delay_s = 4.0;
    time_span m_zone_cut; // Every third host is cut off.
    time_span m_leader_absent;
    double m_full_restart_at = -1.0; // All hosts and the leader; it is back 0.5 s later.
    quota_fault m_fault = quota_fault::none;
};

struct operation_record {
    double m_arrived_at = 0.0;
    int m_host = 0;
    double m_decided_at = -1.0;
    bool m_admitted = false;
};

struct quota_outcome {
    std::vector<operation_record> m_operations; // In the order of their decisions.
    // The largest excess over the bound of any window; negative if all windows are within it.
    double m_worst_excess = 0.0;
};

quota_outcome simulate_quotas(const quota_scenario& scenario);

} // namespace mangoquay::test
