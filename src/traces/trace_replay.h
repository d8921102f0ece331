// Replays a trace through the same apply() that the running program uses, and compares what happens with what
// the trace states. A change of the rules that alters a recorded decision is thereby seen.
#pragma once

#include "control/control_state.h"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace mangoquay::traces {

struct replay_report {
    std::size_t m_commands = 0;
    std::size_t m_checks = 0;              // outcomes and expected values that were compared
    std::vector<std::string> m_deviations; // line number and what differed
    control::control_state m_state;
};

replay_report replay_trace(std::istream& trace);

} // namespace mangoquay::traces
