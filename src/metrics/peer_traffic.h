// Metrics of the messages that a host has sent to its peers, by kind: operators pay for traffic between
// zones.
#pragma once

#include "metrics/page_writer.h"
#include "transport/message_bus.h"

namespace mangoquay::metrics {

void add_peer_traffic(page_writer& page, const transport::message_bus& bus);

} // namespace mangoquay::metrics
