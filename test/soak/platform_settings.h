// Settings file of a host, with the members that the deployment's template sets.
#pragma once

#include "soak/hosts.h"

#include <nlohmann/json.hpp>

namespace mangoquay::soak {

// How far the operations of a customer in a window may exceed its limit.
inline constexpr double quota_window_s = 5.0;
inline constexpr double quota_overage = 0.1;
inline constexpr double quota_slack = 20.0;

nlohmann::json platform_settings(const host_process& host, const host_ports& ports,
                                 const ip_endpoint& executor, const std::vector<std::string>& known_control,
                                 bool first_start);

} // namespace mangoquay::soak
