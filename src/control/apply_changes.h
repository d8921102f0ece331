// One function per command. Those for proxies, endpoints and groups are defined in apply_topology.cpp, those
// for services, presets and business days in apply_operator.cpp. Called only by apply(), which has already
// set state.m_revision to `at`.
#pragma once

#include "control/commands.h"

#include <string>

namespace mangoquay::control {

command_outcome accepted_change(core::revision at);
command_outcome refused_change(std::string reason, std::string message);

command_outcome apply_change(control_state& state, const register_proxy& change, core::revision at);
command_outcome apply_change(control_state& state, const retire_proxy& change, core::revision at);
command_outcome apply_change(control_state& state, const announce_endpoint& change, core::revision at);
command_outcome apply_change(control_state& state, const expire_endpoint& change, core::revision at);
command_outcome apply_change(control_state& state, const drain_endpoint& change, core::revision at);
command_outcome apply_change(control_state& state, const assign_owner& change, core::revision at);
command_outcome apply_change(control_state& state, const admit_member& change, core::revision at);
command_outcome apply_change(control_state& state, const hold_writes& change, core::revision at);
command_outcome apply_change(control_state& state, const release_writes& change, core::revision at);
command_outcome apply_change(control_state& state, const begin_promotion& change, core::revision at);
command_outcome apply_change(control_state& state, const finish_promotion& change, core::revision at);

command_outcome apply_change(control_state& state, const put_service& change, core::revision at);
command_outcome apply_change(control_state& state, const put_preset& change, core::revision at);
command_outcome apply_change(control_state& state, const select_preset& change, core::revision at);
command_outcome apply_change(control_state& state, const close_day& change, core::revision at);
command_outcome apply_change(control_state& state, const settle_day& change, core::revision at);

} // namespace mangoquay::control
