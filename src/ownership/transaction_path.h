// Runs begin, steps, commit and rollback of transactions that keep their connection and slot.
#pragma once

#include "ownership/owner_engine.h"

namespace mangoquay::ownership {

void run_begin(owner_engine& engine, const job_ptr& work);

// A step, commit or rollback.
void run_step(owner_engine& engine, const job_ptr& work);

} // namespace mangoquay::ownership
