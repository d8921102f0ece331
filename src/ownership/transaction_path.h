// Runs begin, steps, commit and rollback of transactions that keep their connection and slot.
#pragma once

#include "ownership/owner_engine.h"

namespace mangoquay::ownership {

void run_begin(owner_engine& engine, const request_context_ptr& context);

// A step, commit or rollback.
void run_step(owner_engine& engine, const request_context_ptr& context);

} // namespace mangoquay::ownership
