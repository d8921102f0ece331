// The recorded outcome of a request with an idempotency key: what a resend is answered with.
#pragma once

#include "core/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::ownership {

// A caller's keys are its own: another caller or service never gets at its outcomes.
std::string stored_key(const core::statement_request& request);

// JSON of the answer and of what identifies the request.
std::string encode_outcome(const core::statement_request& request, const core::statement_answer& answer);

// None when the text is not readable or belongs to a request with another statement or other parameters.
std::optional<core::statement_answer> decode_outcome(const core::statement_request& request,
                                                     std::string_view text);

} // namespace mangoquay::ownership
