// Placeholder until the process shell is integrated.
#include "process/process.h"

namespace mangoquay::process {

int run_process(const settings::settings& chosen) {
    core::log_line(core::log_level::error, "process",
                   "no process shell in this build host=" + chosen.m_host.value());
    return 1;
}

} // namespace mangoquay::process
