// Deadlines of the planned stop of an entry host, and what happens to its sessions at each of them.
//
// From m_transaction_end on, no new work starts, because it may not end in time; at m_end, each statement
// still in progress is answered with what is known of it. So no statement that was received goes without an
// answer.
//
// Deterministic: acts on the relay core only. The entry node calls step() periodically and ends the process
// once no session is left or is_overdue() is true.
#pragma once

#include "relay/relay_core.h"

namespace mangoquay::entry {

class planned_stop {
public:
    // `limit` is the time from the signal to the end of the process.
    planned_stop(core::time_point now, core::milliseconds limit);

    // Closes idle sessions and ends transactions as far as it is time for that. Returns the number of
    // remaining sessions.
    std::size_t step(relay::relay_core& core, core::time_point now);
    // Whether callers need not be accepted any more: the load balancer sends them to other hosts.
    [[nodiscard]] bool may_end_accepting(std::size_t sessions_left, core::time_point now) const;
    [[nodiscard]] bool is_overdue(core::time_point now) const { return m_end.passed(now); }

private:
    core::deadline m_session_drain_start;
    core::deadline m_transaction_end; // Open transactions have until then to end.
    core::deadline m_end;
};

} // namespace mangoquay::entry
