// Statements and answers in their form between an entry proxy and the owner of an endpoint.
#pragma once

#include "core/statement.h"
#include "core/result.h"
#include "wire/mangoquay_generated.h"

namespace mangoquay::ownership {

// Deadlines travel as remaining time, because clocks of two hosts are never compared.
wire::executeT to_wire(const core::statement_request& request, core::time_point now);
// Fails on values outside of their enumeration.
core::result<core::statement_request> from_wire(const wire::executeT& message, core::time_point now);

wire::execute_answerT to_wire(const core::statement_answer& answer);
core::result<core::statement_answer> from_wire(const wire::execute_answerT& message);

} // namespace mangoquay::ownership
