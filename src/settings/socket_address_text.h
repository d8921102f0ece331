// Text form of socket addresses: `127.0.0.1:7101`, `[::1]:7101`. Host names are not accepted or resolved:
// processes connect to each other by IP address.
#pragma once

#include "control/control_state.h"
#include "core/json_reader.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::settings {

// Describes the accepted format in error messages.
inline constexpr const char* address_format = "an IP address and a port, for example \"127.0.0.1:7101\"";

// Returns nothing if the text is not an IP address with a port. Port 0 is rejected.
std::optional<control::socket_address> parse_socket_address(std::string_view text);
// Returns the address in member `name`. Returns nothing if the member is missing or invalid; if it is
// invalid, also adds an error to `reader`.
std::optional<control::socket_address> read_socket_address(core::json_reader& reader, const char* name);
// An IPv6 address is written in brackets.
std::string to_text(const control::socket_address& address);

} // namespace mangoquay::settings
