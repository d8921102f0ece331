// Actions that the failover core requests, and the answers of endpoints to them.
//
// The component that executes the actions takes no decisions of its own. The safety of promotions depends on
// the following rules for it:
// - A step starts only while the leader lease of this process is valid, checked after connecting.
// - stop_following, promote and follow_primary run on a session named by Raft term and attempt
//   (`mangoquay-control/<Raft term>/<attempt>`). The session first ends all sessions with a lower term or
//   attempt at the endpoint, so that a step of an earlier leader, or an earlier step of this leader, never
//   takes effect after a later one.
// - A step is abandoned after its timeout below and answered with m_succeeded = false. All steps are
//   idempotent.
// - An answer repeats the attempt of its step; its status is read after the step.
#pragma once

#include "control/commands.h"
#include "core/clock.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mangoquay::failover {

// A connect takes 12 ms and the latency between zones is 1 ms. Two consecutive readings fit into the limit of
// 1 s for the detection of a failure.
inline constexpr core::milliseconds read_timeout{300};
// Covers a configuration reload and the shutdown of the receiver, or the end of recovery.
inline constexpr core::milliseconds step_timeout{500};

// Reads the status of the endpoint over a connection of the leader itself.
struct read_position {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Clears primary_conninfo, reloads the configuration and waits until no receiver runs. Succeeds only if none
// runs.
struct stop_following {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Calls pg_promote. Succeeds only if the status shows the endpoint out of recovery.
struct promote {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Sets primary_conninfo to the address of m_primary and reloads the configuration.
struct follow_primary {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
    core::endpoint_id m_primary;
};

// Requests a proxy to report whether it reaches an endpoint (wire message `probe`).
struct request_proxy_probe {
    core::entry_host_id m_host;
    core::endpoint_id m_endpoint;
};

struct propose {
    control::command m_command;
};

using action =
    std::variant<read_position, stop_following, promote, follow_primary, request_proxy_probe, propose>;
using actions = std::vector<action>;

// Status that an endpoint reports about itself. The term of a replica may be too low, never too high: see
// postgres_sql::status.
struct endpoint_status {
    bool m_in_recovery = false;
    // Durable position. On a replica, the larger of the received and the replayed position, because a
    // restarted replica reports nothing as received; on a primary, the flushed position.
    core::history_position m_position;
    core::log_position m_replayed; // On a replica; at most the durable position.
    bool m_streaming = false;      // On a replica: its receiver is running.
};

// Answer to read_position, stop_following, promote and follow_primary.
struct step_answer {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
    bool m_succeeded = false; // If false, m_status is not valid.
    endpoint_status m_status;
};

} // namespace mangoquay::failover
