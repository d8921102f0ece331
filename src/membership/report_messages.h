// Wire encoding of heartbeats.
#pragma once

#include "membership/reports.h"
#include "wire/mangoquay_generated.h"

namespace mangoquay::membership {

wire::heartbeatT to_wire(const heartbeat& beat);
heartbeat from_wire(const wire::heartbeatT& message);

} // namespace mangoquay::membership
