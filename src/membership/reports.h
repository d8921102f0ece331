// Reports that proxies send to the control leader, and actions that membership_core returns to control_host.
#pragma once

#include "control/commands.h"
#include "core/ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mangoquay::membership {

// Health of one endpoint as seen by its owner.
struct endpoint_report {
    core::endpoint_id m_endpoint;
    bool m_reachable = false;
    // The owner has terminated the sessions of all earlier owners and holds the lock at the endpoint.
    bool m_lock_held = false;
    // Durable position; the term is the highest that the owner has seen there.
    core::history_position m_position;
    core::endpoint_id m_follows; // Source that a replica streams from; empty if none.
    bool m_writes_stalled = false;
    std::uint32_t m_writes_in_flight = 0; // Dispatched, but neither settled nor refused.
};

struct unsettled_day {
    control::day_key m_key;
    std::uint32_t m_writes = 0;
};

struct heartbeat {
    core::entry_host_id m_host;
    core::incarnation m_incarnation;
    std::uint64_t m_number = 0;
    core::revision m_applied;
    std::vector<endpoint_report> m_health;  // One report for each owned endpoint.
    std::vector<unsettled_day> m_unsettled; // A day that is not listed has no unsettled writes.
    std::vector<core::endpoint_id> m_renewed;
    bool m_leaving = false;
};

// A proxy's attempt to reach an endpoint it does not own.
struct probe_result {
    core::entry_host_id m_host;
    core::endpoint_id m_endpoint;
    bool m_reachable = false;
};

// Proposes a command to the replicated control log.
struct propose {
    control::command m_command;
};

// Answers a heartbeat. When m_accepted is false, the lease is not extended. The proxy then fetches the state
// and registers again if the state does not list its incarnation.
struct grant_lease {
    core::entry_host_id m_host;
    core::incarnation m_incarnation;
    std::uint64_t m_number = 0;
    bool m_accepted = false;
    core::revision m_committed;
};

// Requests that a proxy try to reach an endpoint; answered by a probe_result.
struct send_probe {
    core::entry_host_id m_host;
    core::endpoint_id m_endpoint;
};

using action = std::variant<propose, grant_lease, send_probe>;
using actions = std::vector<action>;

} // namespace mangoquay::membership
