// Settings of a host in a fleet with discovery, read from a JSON file at startup.
//
// Such a host is configured with the addresses of only some control hosts and discovers the others through
// them. Unknown members are rejected, and all errors of a file are reported together.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/result.h"
#include "quotas/share.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::settings {

enum class fleet_role : std::uint8_t { entry, control };

struct fleet_settings {
    std::string m_host_name; // Used only in log lines.
    fleet_role m_role = fleet_role::entry;
    core::availability_zone m_zone;
    control::socket_address m_peer_address;                     // Address for connections from other hosts.
    std::optional<control::socket_address> m_caller_address;    // Present on entry hosts.
    std::optional<control::socket_address> m_readiness_address; // Present on entry hosts.
    std::optional<control::socket_address> m_control_address;   // Present on control hosts.
    std::optional<control::socket_address> m_metrics_address;   // Absent: metrics are not served.
    // Control addresses of some control hosts.
    std::vector<control::socket_address> m_known_control_addresses;
    // First start of the whole fleet. Only then may the hosts bootstrap a new cell.
    bool m_first_start = false;
    std::filesystem::path m_data_folder; // Present on control hosts.
    std::string m_cluster_key;
    control::socket_address m_executor_address; // Address of the service that executes promotions.
    // The executor refuses orders with an old fencing token and ends the lead of the old primary.
    bool m_executor_fences = false;
    std::uint32_t m_max_descriptors = 1024; // Maximum number of file descriptors of the process.
    std::uint32_t m_max_memory_mb = 256;
    // Number of hosts that may fail and lose their disks at the same time without loss of the cell.
    std::uint32_t m_tolerated_host_failures = 1;
    // How far the operations of a customer may exceed its limit in any window, over all hosts.
    quotas::window_tolerance m_quota_tolerance;
    core::milliseconds m_stop_timeout{}; // Maximum time from SIGTERM to the end of the process.
    core::log_level m_log_level = core::log_level::info;
};

// Fails with all errors of the file, one per line.
core::result<fleet_settings> load_fleet_settings(const std::filesystem::path& path);

} // namespace mangoquay::settings
