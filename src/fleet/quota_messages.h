// Messages of shares of customers' limits, and how they pass a control host that does not lead.
#pragma once

#include "quotas/share.h"
#include "wire/mangoquay_generated.h"

#include <optional>

namespace mangoquay::fleet {

wire::quota_requestT to_wire(const quotas::quota_request& request);
// Nothing if a number is not finite or is negative.
std::optional<quotas::quota_request> from_wire(const wire::quota_requestT& message);
wire::quota_grantT to_wire(const quotas::quota_grant& grant);
std::optional<quotas::quota_grant> from_wire(const wire::quota_grantT& message);

} // namespace mangoquay::fleet
