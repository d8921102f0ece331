// Log output. Each call writes one line: `<time> <level> <prefix>: <text>`.
#pragma once

#include <string>
#include <string_view>

namespace mangoquay::core {

enum class log_level { debug, info, warning, error };

// Writes lines of level `min_level` and above to standard output, or to `file` if its name is not empty. To
// be called once, before threads are started.
void configure_log(log_level min_level, const std::string& file);

// `prefix` names the part of the program, for example "routing". `text` is one short sentence followed by its
// fields as key=value, for example "read sent to replica endpoint=b2 reason=position_reached". A value
// that is a text from outside is written by core/quoting.h. Line breaks become spaces, and other control
// characters become '?'.
void log_line(log_level level, std::string_view prefix, std::string_view text);

} // namespace mangoquay::core
