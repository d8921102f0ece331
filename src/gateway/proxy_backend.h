// What the HTTP gateway needs from the rest of the process. Called from the gateway's worker threads, several
// at once; each call blocks until its answer is known and never throws.
#pragma once

#include "control/commands.h"
#include "core/ids.h"
#include "core/verdict.h"
#include "routing/entry_statement.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace mangoquay::gateway {

// m_verdict: ran: committed; not_run: refused, or no control leader was reached; may_have_run: the change was
// sent and its outcome is unknown, and a resend with the same request id is safe.
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

    // Statements, transaction steps and export reads. Returns at the latest shortly after the deadline.
    virtual routing::entry_answer execute(const routing::entry_statement& statement) = 0;

    // Operator changes: put_service, put_preset, select_preset, close_day.
    virtual operator_outcome submit(const control::command& change) = 0;

    // A renewal that changes nothing succeeds without reaching the log.
    virtual operator_outcome announce(const control::announce_endpoint& announcement) = 0;
    virtual operator_outcome drain(const control::drain_endpoint& change) = 0;

    // Planned switchover of a group's primary; an empty target lets the control leader choose.
    virtual operator_outcome hand_over(const core::group_id& group, const core::endpoint_id& target) = 0;
    virtual operator_outcome replace_control_host(const core::entry_host_id& old_host,
                                                  const core::entry_host_id& new_host,
                                                  const control::socket_address& peer_address) = 0;

    // An object with at least "services" and "presets" (objects by name, each with its "revision") and
    // "proxies" (objects by host, each with its applied "revision"). `ctl status` prints all of it, `ctl
    // services` its "services".
    virtual nlohmann::json status() = 0;
    virtual std::string metrics_page() = 0;

    // Called only when fault injection is on.
    virtual void set_blocked_peers(const std::set<core::entry_host_id>& peers) = 0;
};

} // namespace mangoquay::gateway
