// One structured line a call: `<time> <level> <prefix>: <text>`. The prefix is fixed per part of the program.
#pragma once

#include <string>
#include <string_view>

namespace mangoquay::core {

enum class log_level { debug, info, warning, error };

// Sends lines of at least `least` to standard error, or to `file` when it is not empty. Call once, before
// threads start.
void configure_log(log_level min_level, const std::string& file);

// `prefix` names the part, for example "routing"; `text` is one short sentence with its fields as key=value.
// not: log_line(info, "routing", "the door is shut")
// but: log_line(info, "routing", "read sent to replica endpoint=b2 reason=position_reached");
void log_line(log_level level, std::string_view prefix, std::string_view text);

} // namespace mangoquay::core
