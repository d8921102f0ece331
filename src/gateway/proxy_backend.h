// What the HTTP gateway needs from the rest of the process. The gateway's worker threads call it
// concurrently. Each call blocks until its result is known and never throws.
#pragma once

#include "control/commands.h"
#include "core/ids.h"
#include "core/verdict.h"
#include "routing/entry_statement.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace mangoquay::gateway {

// Result of an operator's change. The verdict ran means that the change is committed; not_run, that it was
// refused or that no control leader was reached; may_have_run, that it was sent and its outcome is unknown.
// Resending it with the same request id is safe.
struct operator_outcome {
    core::verdict m_verdict = core::verdict::not_run;
    core::reason m_reason = core::reason::none;
    control::command_outcome m_outcome;
};

class proxy_backend {
public:
    proxy_backend() = default;
    virtual ~proxy_backend() = default;
    proxy_backend(const proxy_backend&) = delete;
    proxy_backend& operator=(const proxy_backend&) = delete;
    proxy_backend(proxy_backend&&) = delete;
    proxy_backend& operator=(proxy_backend&&) = delete;

    // Runs a statement, a transaction step or an export read. Returns at the latest shortly after the
    // deadline.
    virtual routing::entry_answer execute(const routing::entry_statement& statement) = 0;

    // Submits an operator's change: put_service, put_preset, select_preset or close_day.
    virtual operator_outcome submit(const control::command& change) = 0;

    // Announces an endpoint. A renewal that changes nothing succeeds without an entry in the control log.
    virtual operator_outcome announce(const control::announce_endpoint& announcement) = 0;
    virtual operator_outcome drain(const control::drain_endpoint& change) = 0;

    // Starts a planned switchover of a group's primary. If `target` is empty, the control leader chooses the
    // new primary.
    virtual operator_outcome hand_over(const core::group_id& group, const core::endpoint_id& target) = 0;
    virtual operator_outcome replace_control_host(const core::entry_host_id& old_host,
                                                  const core::entry_host_id& new_host,
                                                  const control::socket_address& peer_address) = 0;

    // Returns an object with at least "services" and "presets" (objects by name, each with its "revision")
    // and "proxies" (objects by host, each with its applied "revision"). `ctl status` prints the whole object
    // and `ctl services` its member "services".
    virtual nlohmann::json status() = 0;
    virtual std::string metrics_page() = 0;

    // Called only when fault injection is on.
    virtual void set_blocked_peers(const std::set<core::entry_host_id>& peers) = 0;
};

} // namespace mangoquay::gateway
