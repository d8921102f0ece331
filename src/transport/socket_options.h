// Options and addresses of TCP sockets that every connection of a process shares.
#pragma once

#include "control/control_state.h"

#include <netinet/in.h>

#include <optional>

namespace mangoquay::transport {

// Nothing when the host is not an IPv4 number.
std::optional<sockaddr_in> to_socket_address(const control::socket_address& address);

// No delay of small messages; a peer that vanishes without a reset is noticed within about three seconds.
void set_stream_options(int socket);

} // namespace mangoquay::transport
