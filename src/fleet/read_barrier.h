// Tells up to which time the state of this host is known to contain everything that was committed.
//
// A control host applies commits late: after a start it holds what its last snapshot contained, and a host
// that is cut off or has left the cell holds a prefix of the log for as long as that lasts. It therefore
// requests a read index from the leader, which answers with its last commit only while it holds its lease.
// Once this host has applied that commit, its state contains everything that was committed before the request
// was sent. Deterministic; control_node sends the messages and passes the time in.
//
// Invariant: current_as_of() never decreases.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/process_number.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace mangoquay::fleet {

using read_index_number = core::strong_value<struct read_index_number_tag, std::uint64_t>;

// A request without an answer is repeated after this time. The answers to earlier requests remain valid.
inline constexpr core::milliseconds read_index_retry_interval{200};

class read_barrier {
public:
    // Returns the number of a request to send to the leader, or nothing if it is too early for another one.
    std::optional<read_index_number> next_request(core::time_point now);
    // `committed` is the leader's last commit when it answered. Ignores answers to unknown requests.
    void on_answer(read_index_number number, core::revision committed);
    // This host has applied all commits up to `applied`.
    void on_applied(core::revision applied);
    // This host held the leader's lease at `now` and had applied every commit.
    void on_lease_held(core::time_point now);

    // The state contains everything that was committed before this time; nothing if that is not known of any
    // time since the start.
    [[nodiscard]] std::optional<core::time_point> current_as_of() const { return m_current_as_of; }

private:
    struct sent_request {
        read_index_number m_number;
        core::time_point m_sent;
    };
    struct pending_commit {
        core::revision m_committed;
        core::time_point m_sent;
    };

    void confirm(core::time_point as_of);

    std::deque<sent_request> m_requests; // Not answered, in the order of sending.
    // The oldest answer whose commit is not applied yet. A newer one does not replace it, so that a host that
    // lags behind a busy leader makes progress.
    std::optional<pending_commit> m_pending;
    core::revision m_applied;
    core::deadline m_next_request;
    std::uint64_t m_last_number = core::random_first_number();
    std::optional<core::time_point> m_current_as_of;
};

} // namespace mangoquay::fleet
