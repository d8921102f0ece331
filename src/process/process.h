// One running process: builds the components of its roles and runs them until it is told to stop.
#pragma once

#include "settings/settings.h"

namespace mangoquay::process {

// Returns the exit code.
int run_process(const settings::settings& chosen);

} // namespace mangoquay::process
