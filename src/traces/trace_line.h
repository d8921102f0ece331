// One line of a trace of the control log.
//
// A trace is text, one event a line; empty lines and lines that start with '#' are for people.
//
//   apply 12 {"select_preset":{...}}        the command of revision 12
//   outcome 12 accepted                     what apply() answered to it
//   outcome 13 refused revision_conflict
//   expect /services/registos-sal/preset "peak"    stated outcome: a JSON pointer into the state and its
//   value there
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

struct seen_outcome {
    core::revision m_revision;
    bool m_accepted = false;
    std::string m_reason; // of a refusal
};

struct stated_value {
    std::string m_pointer;
    nlohmann::json m_value;
};

struct remark {};

using trace_line = std::variant<applied_command, seen_outcome, stated_value, remark>;

std::string format(const applied_command& line);
std::string format(const seen_outcome& line);
// Fails with what is wrong with the line.
core::result<trace_line> parse_trace_line(std::string_view text);

} // namespace mangoquay::traces
