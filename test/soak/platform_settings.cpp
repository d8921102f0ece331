// Settings file of a host, as deploy/settings.json gives it.
#include "soak/platform_settings.h"

#include <fstream>

namespace mangoquay::soak {
namespace {

constexpr int entry_descriptors = 4300;
constexpr int control_descriptors = 4096;
constexpr int entry_memory_mb = 260;
constexpr int control_memory_mb = 256;
constexpr int stop_limit_s = 6;

} // namespace

nlohmann::json platform_settings(const host_process& host, const host_ports& ports,
                                 const ip_endpoint& executor, const std::vector<std::string>& known_control,
                                 bool first_start) {
    const bool is_entry = host.m_role == host_role::entry;
    const auto address = [&](std::uint16_t port) { return host.m_ip + ":" + std::to_string(port); };
    nlohmann::json settings{{"host", host.m_name.value()},
                            {"role", is_entry ? "entry" : "control"},
                            {"zone", host.m_zone},
                            {"peer_address", address(ports.m_peer)},
                            {"metrics_address", host.m_ip + ":9464"},
                            {"known_control", known_control},
                            {"first_start", first_start},
                            {"cluster_key", "one-key-of-all-hosts-of-this-fleet"},
                            {"executor_address", to_text(executor)},
                            {"executor_fences", true},
                            {"descriptors", is_entry ? entry_descriptors : control_descriptors},
                            {"memory_mb", is_entry ? entry_memory_mb : control_memory_mb},
                            {"lost_hosts", 1},
                            {"quota_window_s", quota_window_s},
                            {"quota_overage", quota_overage},
                            {"quota_slack", quota_slack},
                            {"stop_limit_s", stop_limit_s},
                            {"log_level", "info"}};
    if (is_entry) {
        settings["caller_address"] = address(ports.m_caller);
        settings["readiness_address"] = address(ports.m_readiness);
    } else {
        settings["control_address"] = address(ports.m_control);
        settings["data_folder"] = (host.m_folder / "data").string();
    }
    return settings;
}

} // namespace mangoquay::soak
