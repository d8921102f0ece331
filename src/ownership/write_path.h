// Runs each write in its own transaction. Commits transactions and waits until a quorum holds them.
#pragma once

#include "ownership/owner_engine.h"

namespace mangoquay::ownership {

// Steps: begin, claim the idempotency key, run the statement, record the outcome, commit, wait for the
// quorum.
void run_write(owner_engine& engine, const request_context_ptr& context);

// Commits the open transaction on the connection of `connection_context` and answers `context`. For a single
// write both are the same context; for a transaction, `context` is the commit step. The connection is always
// returned.
void commit_and_answer(owner_engine& engine, const request_context_ptr& connection_context,
                       const request_context_ptr& context, const core::statement_answer& result);

} // namespace mangoquay::ownership
