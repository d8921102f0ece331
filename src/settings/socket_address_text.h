// Text of a socket address: `127.0.0.1:7101`, `[::1]:7101`. Names are not looked up: processes reach each
// other by IP number.
#pragma once

#include "control/control_state.h"
#include "core/json_reader.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::settings {

inline constexpr const char* address_format = "an IP number and a port, for example \"127.0.0.1:7101\"";

// Port 0 is refused.
std::optional<control::socket_address> parse_socket_address(std::string_view text);
// Nothing and, when the member is there, an error otherwise.
std::optional<control::socket_address> read_socket_address(core::json_reader& reader, const char* name);
std::string to_text(const control::socket_address& address);

} // namespace mangoquay::settings
