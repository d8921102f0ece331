// Runs each read in its own READ ONLY transaction.
#pragma once

#include "ownership/owner_engine.h"

namespace mangoquay::ownership {

void run_read(owner_engine& engine, const request_context_ptr& context);

} // namespace mangoquay::ownership
