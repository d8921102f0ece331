// Endpoint reports in messages between processes.
#pragma once

#include "registry/endpoint_registry.h"
#include "wire/mangoquay_generated.h"

namespace mangoquay::registry {

wire::endpoint_entryT to_wire(const endpoint_report& report);
// A malformed state is a fault of the sender and read as gone, which uses nothing.
endpoint_report from_wire(const wire::endpoint_entryT& entry);

} // namespace mangoquay::registry
