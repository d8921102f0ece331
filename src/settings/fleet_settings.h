// Settings of a host of a discovered fleet, read from a JSON file at start.
//
// Such a host is told a few control hosts, not all of them: the others are found through these. Unknown
// members are refused, and all errors of a file are reported at once.
#pragma once

#include "control/control_state.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/result.h"

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::settings {

enum class fleet_role : std::uint8_t { entry, control };

struct fleet_settings {
    std::string m_host_name; // for the log
    fleet_role m_role = fleet_role::entry;
    core::availability_zone m_zone;
    control::socket_address m_peer_address;                         // frames
    std::optional<control::socket_address> m_caller_address;        // of entry hosts
    std::optional<control::socket_address> m_readiness_address;     // of entry hosts
    std::optional<control::socket_address> m_control_address;       // of control hosts
    std::optional<control::socket_address> m_metrics_address;       // none: metrics are not served
    std::vector<control::socket_address> m_known_control_addresses; // control addresses of some control hosts
    bool m_first_start = false;          // of the whole fleet; only then a cell is founded
    std::filesystem::path m_data_folder; // of control hosts
    std::string m_cluster_key;
    control::socket_address m_executor_address; // carries out promotions
    std::uint32_t m_max_descriptors = 1024;
    std::uint32_t m_max_memory_mb = 256;
    std::uint32_t m_tolerated_host_failures = 1; // with a disk, at once, that the cell survives
    core::milliseconds m_stop_timeout{};         // from SIGTERM to the end of the process
    core::log_level m_log_level = core::log_level::info;
};

core::result<fleet_settings> load_fleet_settings(const std::filesystem::path& path);

} // namespace mangoquay::settings
