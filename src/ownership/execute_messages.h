// Wire messages that carry statements and answers between an entry proxy and the owner of an endpoint.
#pragma once

#include "core/result.h"
#include "core/statement.h"
#include "wire/mangoquay_generated.h"

namespace mangoquay::ownership {

// The deadline is sent as remaining time, because the clocks of two hosts are not comparable.
wire::executeT to_wire(const core::statement_request& request, core::time_point now);
// Fails if the value of an enumeration is out of range. The same applies to answers.
core::result<core::statement_request> from_wire(const wire::executeT& message, core::time_point now);

wire::execute_answerT to_wire(const core::statement_answer& answer);
core::result<core::statement_answer> from_wire(const wire::execute_answerT& message);

} // namespace mangoquay::ownership
