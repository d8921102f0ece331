// One line of a trace of the control log.
//
// A trace is a text file with one event per line. Empty lines and lines that start with '#' are comments.
//
//   apply 12 {"select_preset":{...}}        command that was applied at revision 12
//   outcome 12 accepted                     outcome that apply() returned for it
//   outcome 13 refused revision_conflict
//   expect /services/registos-sal/preset "peak"    JSON pointer into the state, and the value expected there
#pragma once

#include "control/commands.h"
#include "core/result.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace mangoquay::traces {

struct applied_command {
    core::revision m_revision;
    control::command m_command;
};

struct recorded_outcome {
    core::revision m_revision;
    bool m_accepted = false;
    std::string m_reason; // Empty unless the command was refused.
};

struct expected_value {
    std::string m_pointer;
    nlohmann::json m_value;
};

struct comment_line {};

using trace_line = std::variant<applied_command, recorded_outcome, expected_value, comment_line>;

// Returns the line without a line break.
std::string format_trace_line(const applied_command& line);
std::string format_trace_line(const recorded_outcome& line);
// Fails with a description of the error if the line is malformed.
core::result<trace_line> parse_trace_line(std::string_view text);

} // namespace mangoquay::traces
