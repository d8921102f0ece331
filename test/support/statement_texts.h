// Parts of statements for tests that play callers: names, prepared statements and arguments.
#pragma once

#include "support/protocol_texts.h"

namespace mangoquay::test {

// Often one of few, so that callers use the same names.
std::string draw_name(const draw_below& draw);
// The text of a prepared statement; often similar to that of another caller.
std::string draw_shape(const draw_below& draw);
// An item, and data if the statement writes.
std::string draw_arguments(const draw_below& draw, bool writes);
// A read or a write that no session has prepared.
std::string draw_statement(const draw_below& draw, bool writes);
// The statement, extended to the size at which its message has nearly the largest size that is allowed.
std::string extended_to_limit(const draw_below& draw, std::string statement);

} // namespace mangoquay::test
