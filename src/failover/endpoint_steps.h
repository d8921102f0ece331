// What the failover core asks its shell to run at endpoints, and the answers.
//
// A shell runs each step as it is and decides nothing. Rules for the shell, on which the proof rests:
// - A step starts only while the leader lease of this process is valid, checked after connecting.
// - stop_following, promote and follow run on a session named by Raft term and attempt
//   (`mangoquay-control/<Raft term>/<attempt>`). It first ends the sessions of lower ones at the endpoint, so
//   that a step of an earlier leader, or an earlier one of this leader, never takes effect after a later one.
// - A step is given up after its timeout below and answered with m_ok = false. All steps are idempotent.
// - Answers echo the attempt; the status is read after the step.
#pragma once

#include "control/commands.h"
#include "core/clock.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mangoquay::failover {

// A connect takes 12 ms and zones are 1 ms apart; two readings in a row fit into the detection budget of 1 s.
inline constexpr core::milliseconds read_timeout{300};
// Reload of the configuration and end of the receiver, or the end of recovery.
inline constexpr core::milliseconds step_timeout{500};

// The leader connects to the endpoint itself and reads its status.
struct read_position {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Empty primary_conninfo, reload, wait until no receiver runs. m_ok only when none runs.
struct stop_following {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// pg_promote; m_ok only when the status says that the endpoint is out of recovery.
struct promote {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Set primary_conninfo to the address of m_primary and reload.
struct follow_primary {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
    core::endpoint_id m_primary;
};

// Asks a proxy for its view of an endpoint (wire message `probe`).
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

// What an endpoint says of itself. The term of a replica may be too low, never too high: see
// postgres_sql::status.
struct endpoint_status {
    bool m_in_recovery = false;
    // Durable: on a replica the larger of what it received and what it replayed, because a restarted replica
    // reports nothing received; on a primary what it flushed.
    core::history_position m_position;
    core::log_position m_replayed; // on a replica; at most the durable position
    bool m_streaming = false;      // on a replica: its receiver runs
};

// The answer to read_position, stop_following, promote and follow.
struct step_answer {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
    bool m_succeeded = false; // false: m_status says nothing
    endpoint_status m_status;
};

} // namespace mangoquay::failover
