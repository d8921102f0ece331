// Runs begin, steps, commit and rollback of transactions. A transaction holds its connection and slot until
// it ends.
#pragma once

#include "ownership/owner_engine.h"

namespace mangoquay::ownership {

void run_begin(owner_engine& engine, const request_context_ptr& context);

// Runs a step, commit or rollback.
void run_step(owner_engine& engine, const request_context_ptr& context);

} // namespace mangoquay::ownership
