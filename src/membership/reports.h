// What proxies tell the control leader, and what the leader's membership core asks its shell to do.
#pragma once

#include "control/commands.h"
#include "core/ids.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mangoquay::membership {

// The owner's view of one endpoint.
struct endpoint_report {
    core::endpoint_id m_endpoint;
    bool m_reachable = false;
    // The owner has ended the sessions of all earlier owners and holds the lock at the endpoint.
    bool m_lock_held = false;
    core::history_position m_position; // durable; the term is the highest that the owner has seen there
    core::endpoint_id m_follows;       // of a replica: what it streams from; empty: it does not stream
    bool m_writes_stalled = false;
    std::uint32_t m_writes_in_flight = 0; // dispatched and neither settled nor refused yet
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
    std::vector<endpoint_report> m_health;  // of each endpoint it owns
    std::vector<unsettled_day> m_unsettled; // a day that is not listed has none
    std::vector<core::endpoint_id> m_renewed;
    bool m_leaving = false;
};

// A proxy's attempt to reach an endpoint it does not own.
struct probe_result {
    core::entry_host_id m_host;
    core::endpoint_id m_endpoint;
    bool m_reachable = false;
};

struct propose {
    control::command m_command;
};

// The answer to a heartbeat. Not accepted: the lease is not extended; the proxy fetches the state and, when
// the state does not list its incarnation, registers again.
struct grant_lease {
    core::entry_host_id m_host;
    core::incarnation m_incarnation;
    std::uint64_t m_number = 0;
    bool m_accepted = false;
    core::revision m_committed;
};

// Asks a proxy to try to reach an endpoint; answered by a probe_result.
struct send_probe {
    core::entry_host_id m_host;
    core::endpoint_id m_endpoint;
};

using action = std::variant<propose, grant_lease, send_probe>;
using actions = std::vector<action>;

} // namespace mangoquay::membership
