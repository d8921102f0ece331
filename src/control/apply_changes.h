// One function per command, split over apply_topology.cpp (proxies, endpoints, groups) and apply_operator.cpp
// (services, presets, business days). Used by apply() only; state.m_revision is already `at`.
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
