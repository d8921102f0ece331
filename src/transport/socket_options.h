// Socket options and address conversion for all TCP connections of a process.
#pragma once

#include "control/control_state.h"

#include <netinet/in.h>

#include <optional>

namespace mangoquay::transport {

// Returns nothing if the host is not an IPv4 address in dotted decimal form.
std::optional<sockaddr_in> to_socket_address(const control::socket_address& address);

// Disables the delay of small messages, and limits to about 3 s the time after which the failure of a peer
// that sends no reset is detected.
void set_stream_options(int socket);

} // namespace mangoquay::transport
