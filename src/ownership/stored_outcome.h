// The stored outcome of a request with an idempotency key, with which a resend is answered.
#pragma once

#include "core/statement.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::ownership {

// Key under which the outcome is stored. It includes the service and the caller, so that other callers cannot
// read the outcome.
std::string stored_key(const core::statement_request& request);

// Encodes the answer, and the statement and parameters that identify the request, as JSON.
std::string encode_outcome(const core::statement_request& request, const core::statement_answer& answer);

// Returns none if the text cannot be decoded or belongs to a request with another statement or other
// parameters.
std::optional<core::statement_answer> decode_outcome(const core::statement_request& request,
                                                     std::string_view text);

} // namespace mangoquay::ownership
