// Replays a trace through the same apply() that a control host uses and compares the results with those in
// the trace. This detects changes of the rules that alter a recorded decision.
#pragma once

#include "control/control_state.h"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace mangoquay::traces {

struct replay_report {
    std::size_t m_command_count = 0;       // Number of applied commands.
    std::size_t m_check_count = 0;         // Number of outcomes and expected values that were compared.
    std::vector<std::string> m_deviations; // Line number and description of each difference.
    control::control_state m_state;        // State after the last command.
};

// Starts from the initial state. Malformed lines are reported as deviations.
replay_report replay_trace(std::istream& trace);

} // namespace mangoquay::traces
