// JSON encoding of commands and of the whole state: in log entries, snapshots, traces and the operators'
// interface.
#pragma once

#include "control/commands.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace mangoquay::control {

std::string encode(const command& change);
// Fails on unknown commands, unknown or missing members and wrong types, and says which.
core::result<command> decode_command(std::string_view text);

std::string encode(const control_state& state);
core::result<control_state> decode_state(std::string_view text);

} // namespace mangoquay::control
