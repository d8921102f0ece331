// The event-loop side of the entry proxy: takes a caller's statement, resolves its group, asks the routing
// core for an endpoint, sends the statement to that endpoint's owner and gives the caller exactly one answer.
//
// Decides: the group of a statement, retries, what a lost owner means for a request. Owns: requests in
// progress, open transactions of this entry host, learned positions, the retry budget. All members are called
// on one thread. It has no clock and no timer of its own: both are passed in, so tests drive it by hand.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/statement.h"
#include "retries/retry_policy.h"
#include "routing/entry_statement.h"
#include "sessions/session_token.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace mangoquay::metrics {
class metrics_registry;
}

namespace mangoquay::routing {

// Read at each decision; a lease that has lapsed since the last event must show here.
struct view_status {
    bool m_current = false;     // the control log has been followed recently
    bool m_lease_valid = false; // this proxy's control lease at the time of the call
};

struct owner_answer {
    core::statement_answer m_answer;
    // Where the endpoint is in its history, whatever the verdict; absent: not said.
    std::optional<core::history_position> m_endpoint_position;
};

using owner_callback = std::function<void(owner_answer)>;

// Sends a statement to the owner of an endpoint, over a peer link or within the process.
class owner_client {
public:
    owner_client() = default;
    virtual ~owner_client() = default;
    owner_client(const owner_client&) = delete;
    owner_client& operator=(const owner_client&) = delete;
    owner_client(owner_client&&) = delete;
    owner_client& operator=(owner_client&&) = delete;

    // The callback may be called before execute() returns, later, or never; calls after the first are dropped
    // by the dispatcher. A frame that could not be handed to the link at all is answered not_run with
    // owner_unreachable. position_wait: how long a replica may wait to reach m_least_position.
    virtual void execute(const core::entry_host_id& owner, const core::endpoint_id& endpoint,
                         core::owner_epoch epoch, const core::statement_request& request,
                         core::milliseconds position_wait, owner_callback done) = 0;
};

struct dispatcher_environment {
    std::function<core::time_point()> m_now;
    // Runs the task on the dispatcher's thread at or after the time.
    std::function<void(core::time_point, std::function<void()>)> m_run_at;
    std::function<view_status()> m_view_status;
};

struct dispatcher_settings {
    core::entry_host_id m_host; // carried in transaction ids
    core::availability_zone m_zone;
    core::incarnation m_incarnation; // of this process: separates its transaction ids from an earlier one's
    std::uint64_t m_seed = 0;        // of jitter and of the spread over equally good endpoints
    retries::retry_rules m_retry_rules; // all on; tests switch single ones off
};

using entry_callback = std::function<void(entry_answer)>;

class statement_dispatcher {
public:
    // All references outlive the dispatcher, and the environment runs no task after its destruction.
    statement_dispatcher(dispatcher_settings settings, dispatcher_environment environment,
                         const control::control_state& state, const sessions::token_codec& tokens,
                         owner_client& owners, metrics::metrics_registry& metrics);
    ~statement_dispatcher();
    statement_dispatcher(const statement_dispatcher&) = delete;
    statement_dispatcher& operator=(const statement_dispatcher&) = delete;
    statement_dispatcher(statement_dispatcher&&) = delete;
    statement_dispatcher& operator=(statement_dispatcher&&) = delete;

    // `done` is called exactly once, possibly before execute() returns.
    void execute(entry_statement statement, entry_callback done);

    // The link to the owner closed: its requests in progress are retried elsewhere or answered.
    void on_owner_connection_lost(const core::entry_host_id& owner);

    // A position learned outside of answers, for example from the position queries of an owner on this host.
    void update_endpoint_position(const core::endpoint_id& endpoint, const core::history_position& position);

    // New statements are refused with shutting_down; open transactions may finish.
    void begin_shutdown();

    [[nodiscard]] std::size_t requests_in_progress() const;
    [[nodiscard]] std::size_t open_transactions() const;
    // Answers that came for a request that is unknown or already answered.
    [[nodiscard]] std::uint64_t dropped_answers() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mangoquay::routing
