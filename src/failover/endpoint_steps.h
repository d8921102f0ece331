// What the failover core asks its shell to run, and the answers.
//
// A shell runs each step as it is and decides nothing. All steps are idempotent; the shell gives up on a step
// after step_timeout and then answers with m_ok = false. Answers echo the attempt, so that late ones are told
// from those that count.
#pragma once

#include "control/commands.h"
#include "core/clock.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace mangoquay::failover {

// The leader connects to the endpoint itself and reads its status.
struct read_position {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Empty primary_conninfo, reload, wait until no receiver runs.
struct stop_following {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// pg_promote; m_ok once the endpoint is out of recovery.
struct promote {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
};

// Set primary_conninfo to the address of m_primary and reload.
struct follow {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
    core::endpoint_id m_primary;
};

// Asks a proxy for its view of an endpoint (wire message `probe`).
struct ask_proxy {
    core::entry_host_id m_host;
    core::endpoint_id m_endpoint;
};

struct propose {
    control::command m_command;
};

using action = std::variant<read_position, stop_following, promote, follow, ask_proxy, propose>;
using actions = std::vector<action>;

// What an endpoint says of itself. m_position is the durable one: on a replica the larger of what it received
// and what it replayed (a restarted replica reports no received position); on a primary the flushed one.
// The term of a replica may be too low, never too high (see postgres_sql::status).
struct endpoint_status {
    bool m_in_recovery = false;
    core::history_position m_position;
    // A receiver runs. Of a replica only.
    bool m_streaming = false;
};

// The answer to read_position, stop_following, promote and follow. The status is read after the step.
struct step_answer {
    std::uint64_t m_attempt = 0;
    core::endpoint_id m_endpoint;
    bool m_ok = false; // false: m_status says nothing
    endpoint_status m_status;
};

} // namespace mangoquay::failover
