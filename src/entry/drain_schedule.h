// Times of the steps of an entry host's planned stop, as a pure function of its time limit.
#pragma once

#include "core/clock.h"

namespace mangoquay::entry {

// Invariant: no step comes before m_session_drain_start or after m_end.
struct drain_schedule {
    core::deadline m_session_drain_start;     // Idle sessions are closed from then on.
    core::deadline m_transaction_abort_start; // Transactions without a statement in progress are aborted.
    core::deadline m_earliest_end;            // The process does not end before.
    core::deadline m_end;                     // It ends then, whatever is in progress.
};

// `limit` is the time from the request to stop to the end of the process.
drain_schedule make_drain_schedule(core::time_point now, core::milliseconds limit);

} // namespace mangoquay::entry
