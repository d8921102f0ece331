// Encoding of endpoint reports in messages between hosts.
#pragma once

#include "registry/endpoint_registry.h"
#include "wire/mangoquay_generated.h"

namespace mangoquay::registry {

wire::endpoint_entryT to_wire(const endpoint_report& report);
// An invalid state is decoded as removed, so that the endpoint is not used.
endpoint_report from_wire(const wire::endpoint_entryT& entry);

} // namespace mangoquay::registry
