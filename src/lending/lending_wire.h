// Conversion of requests, answers and loans to and from FlatBuffers messages.
#pragma once

#include "lending/loan.h"
#include "relay/statement.h"
#include "wire/mangoquay_generated.h"

#include <vector>

namespace mangoquay::lending {

wire::loan_requestT to_wire(loan_id loan, const core::endpoint_id& endpoint, const loan_terms& terms,
                            const std::vector<relay::database_request>& initial_requests);
loan_terms from_wire(const wire::loan_requestT& message);

wire::loan_endT to_wire(loan_id loan, const returned_state& state);
returned_state from_wire(const wire::loan_endT& message);

wire::loan_grantT to_wire(loan_id loan, const loan_offer& offer);
loan_offer from_wire(const wire::loan_grantT& message);

wire::loan_workT to_wire(loan_id loan, std::uint32_t number,
                         const std::vector<relay::database_request>& requests);
// Returns nullopt if an enumeration value is out of range, which happens if the sender runs another version.
std::optional<std::vector<relay::database_request>>
from_wire(const std::vector<std::unique_ptr<wire::link_requestT>>& requests);

wire::loan_answerT to_wire(loan_id loan, std::uint32_t number, const relay::database_answer& answer);
// Returns nullopt if an enumeration value is out of range.
std::optional<relay::database_answer> from_wire(const wire::loan_answerT& message);

} // namespace mangoquay::lending
