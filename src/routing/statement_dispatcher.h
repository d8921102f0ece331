// Dispatches callers' statements at the entry proxy: resolves the group of a statement, selects an endpoint,
// sends the statement to the owner of that endpoint and gives the caller exactly one answer.
//
// Decides: the group of a statement, retries, and the outcome of requests whose owner was lost. Owns:
// requests in progress, open transactions of this entry host, last known positions, the retry budget. All
// members are called on one thread. Clock and timers are passed in, so that tests can control them.
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

// Read for each decision, so that a lease that has expired since the last event is noticed.
struct view_status {
    bool m_current = false;     // The control log was followed recently, so the view is up to date.
    bool m_lease_valid = false; // This proxy's lease is valid at the time of the call.
};

struct owner_answer {
    core::statement_answer m_answer;
    // Position of the endpoint, independent of the verdict. Absent if it was not reported.
    std::optional<core::history_position> m_endpoint_position;
};

using owner_callback = std::function<void(owner_answer)>;

// Sends statements to the owner of an endpoint, over a peer connection or within the process.
class owner_client {
public:
    owner_client() = default;
    virtual ~owner_client() = default;
    owner_client(const owner_client&) = delete;
    owner_client& operator=(const owner_client&) = delete;
    owner_client(owner_client&&) = delete;
    owner_client& operator=(owner_client&&) = delete;

    // Calls `done` before execute() returns, later, or never; the dispatcher drops calls after the first. If
    // the request could not be handed to the connection at all, the answer is not_run with owner_unreachable.
    // `position_wait` is the time that a replica may wait until it reaches m_min_position.
    virtual void execute(const core::entry_host_id& owner, const core::endpoint_id& endpoint,
                         core::owner_epoch epoch, const core::statement_request& request,
                         core::milliseconds position_wait, owner_callback done) = 0;
};

struct dispatcher_environment {
    std::function<core::time_point()> m_now;
    // Runs the task on the dispatcher's thread, at or after the given time.
    std::function<void(core::time_point, std::function<void()>)> m_run_at;
    std::function<view_status()> m_view_status;
};

struct dispatcher_settings {
    core::entry_host_id m_host; // Part of each transaction id.
    core::availability_zone m_zone;
    core::incarnation m_incarnation;    // Makes transaction ids different from those of earlier processes.
    std::uint64_t m_seed = 0;           // Seed of the retry jitter and of the choice between equal endpoints.
    retries::retry_rules m_retry_rules; // All enabled in production. Tests disable single ones.
};

using entry_callback = std::function<void(entry_answer)>;

class statement_dispatcher {
public:
    // All referenced objects must outlive the dispatcher, and the environment must run no task after the
    // dispatcher's destruction.
    statement_dispatcher(dispatcher_settings settings, dispatcher_environment environment,
                         const control::control_state& state, const sessions::token_codec& tokens,
                         owner_client& owners, metrics::metrics_registry& metrics);
    ~statement_dispatcher();
    statement_dispatcher(const statement_dispatcher&) = delete;
    statement_dispatcher& operator=(const statement_dispatcher&) = delete;
    statement_dispatcher(statement_dispatcher&&) = delete;
    statement_dispatcher& operator=(statement_dispatcher&&) = delete;

    // Calls `done` exactly once, possibly before execute() returns. Errors are reported in the answer.
    void execute(entry_statement statement, entry_callback done);

    // The connection to the owner closed. Its requests in progress are retried or answered.
    void on_owner_connection_lost(const core::entry_host_id& owner);

    // Records a position that did not come with an answer, for example from position queries of an owner on
    // this host.
    void update_endpoint_position(const core::endpoint_id& endpoint, const core::history_position& position);

    // From now on new statements are refused with shutting_down. Open transactions may finish.
    void begin_shutdown();

    [[nodiscard]] std::size_t requests_in_progress() const;
    [[nodiscard]] std::size_t open_transactions() const;
    // Number of dropped answers: those whose request is unknown or already answered, and those of a wrong
    // endpoint.
    [[nodiscard]] std::uint64_t dropped_answers() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace mangoquay::routing
