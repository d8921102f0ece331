// Limits of what unknown clients may make a process hold, outside of the account of callers: places of HTTP
// servers, bodies of control calls, peer connections without a handshake, memory that is freed and kept.
#pragma once

#include "settings/fleet_settings.h"
#include "transport/http_server.h"
#include "transport/peer_network.h"

#include <cstdint>
#include <string>

namespace mangoquay::process {

// Of the readiness and metrics pages.
transport::http_server_limits page_limits(const settings::fleet_settings& host_settings);
// Of the calls to a control host.
transport::http_server_limits control_limits(const settings::fleet_settings& host_settings);
// Number of peer connections that may wait for their handshake.
std::uint32_t max_handshakes(const settings::fleet_settings& host_settings);
// To be called before any thread starts.
void configure_allocator();
// Metrics of clients outside the limits at the peer port and, if there is one, the control port.
std::string limits_page(const transport::peer_network& network,
                        const transport::http_server_counters* control);

} // namespace mangoquay::process
