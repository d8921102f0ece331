// Runs a write in a transaction of its own, and ends any transaction with a commit that waits for its quorum.
#pragma once

#include "ownership/owner_engine.h"

namespace mangoquay::ownership {

// begin, claim of the idempotency key, statement, record of the outcome, commit, quorum.
void run_write(owner_engine& engine, const request_context_ptr& context);

// Commits what is open on `holder`'s connection and answers `work`, which is `holder` itself for a single
// write and the commit step for a transaction. The connection is returned in any case.
void commit_and_answer(owner_engine& engine, const request_context_ptr& connection_context,
                       const request_context_ptr& context, const core::statement_answer& result);

} // namespace mangoquay::ownership
