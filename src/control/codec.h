// JSON encoding of commands and of the whole state, used in log entries, snapshots and traces.
#pragma once

#include "control/commands.h"
#include "core/result.h"

#include <string>
#include <string_view>

namespace mangoquay::control {

std::string encode(const command& change);
// Fails on an unknown command, an unknown or missing member, or a value of the wrong type or out of range.
// The reason gives the JSON path and the expectation. decode_state() has the same contract.
core::result<command> decode_command(std::string_view text);

std::string encode(const control_state& state);
core::result<control_state> decode_state(std::string_view text);

} // namespace mangoquay::control
