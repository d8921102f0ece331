// Texts that the line protocol allows, drawn from its grammar, for tests that play callers and databases.
//
// A field is any text without blanks and without CR, LF and NUL. The last field of a line may hold blanks as
// well, at its ends too, and may look like any part of the protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace mangoquay::test {

// Returns a number below its argument.
using draw_below = std::function<std::uint64_t(std::uint64_t)>;

// Not empty.
std::string draw_field(const draw_below& draw);
// Not empty; at most about `max_bytes`.
std::string draw_last_field(const draw_below& draw, std::size_t max_bytes = 200);
// A text of several words out of few, so that texts of different callers are parts of each other.
std::string draw_similar_text(const draw_below& draw);

} // namespace mangoquay::test
