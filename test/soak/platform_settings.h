// Settings file of a host, with the members that the deployment's template sets.
#pragma once

#include "soak/hosts.h"

#include <nlohmann/json.hpp>

namespace mangoquay::soak {

nlohmann::json platform_settings(const host_process& host, const host_ports& ports,
                                 const ip_endpoint& executor, const std::vector<std::string>& known_control,
                                 bool first_start);

} // namespace mangoquay::soak
