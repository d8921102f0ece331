// Texts from outside (callers, databases, hosts, operators) as values of log fields. A value has a boundary
// that its text cannot move: it neither starts a line nor ends its quotes nor adds a field.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace mangoquay::core {

// Longer texts are cut, so that a line stays readable and a log does not grow by the size of a statement.
inline constexpr std::size_t max_quoted_bytes = 200;

// Returns the text in quotes: `say "a"\r` becomes `"say \"a\"\x0d"`. Quotes, backslashes, control characters
// and bytes that are not UTF-8 are escaped; "..." follows the part of a text that is cut.
std::string quoted(std::string_view text);

// Returns an empty text or one word of letters, digits and `-_.:/#*+@` as it is, and any other text quoted.
std::string word_or_quoted(std::string_view text);

// Returns the text without characters that end a line or control a terminal: line breaks and tabs become
// spaces, and other control characters and bytes that are not UTF-8 become '?'.
std::string to_single_line(std::string_view text);

} // namespace mangoquay::core
