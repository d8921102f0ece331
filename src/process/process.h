// Creates the components of the roles of this process and runs them until a stop signal arrives.
#pragma once

#include "settings/settings.h"

namespace mangoquay::process {

// Blocks until the process is stopped. Returns the exit code: 0 after an orderly stop, 1 if a component
// failed to start.
int run_process(const settings::settings& process_settings);

} // namespace mangoquay::process
