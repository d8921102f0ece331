// Typed settings of one process, read from a JSON file at startup. Objects that operators change at run time
// (services, presets, endpoints) are never part of the settings.
//
// Owns nothing. Unknown members are rejected. All errors of a file are reported together, each with the file,
// the JSON pointer, the value found and the allowed values.
#pragma once

#include "control/control_state.h"
#include "core/ids.h"
#include "core/log.h"
#include "core/result.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::settings {

struct control_host {
    core::entry_host_id m_host;
    control::socket_address m_peer_address;

    friend bool operator==(const control_host&, const control_host&) = default;
};

// Key of session tokens. Tokens are signed with the first key of the list and verified with any listed key.
// To rotate a key, list the new key second on all hosts, then move it to the first place, then remove the old
// key.
struct signing_key {
    std::uint8_t m_id = 0;
    std::string m_key; // At least 16 bytes.
};

struct caller_key {
    core::caller_id m_caller;
    std::string m_sha256;        // SHA-256 digest (32 bytes) of the key that the caller sends.
    bool m_operator = false;     // May use the operator API.
    bool m_all_services = false; // True if `services` contains "*".
    std::set<core::service_name> m_services;
};

struct tls_files {
    std::filesystem::path m_certificate;
    std::filesystem::path m_key;
};

struct database_connection {
    std::string m_user;
    std::string m_password; // Value of `password`, or the first line of `password_file`.
    std::string m_database;
    std::string m_sslmode = "prefer"; // One of the sslmode values of libpq.
};

struct http_limits {
    // Maximum number of client connections. 14 million connections on 2,200 nodes are about 6,364 each.
    std::uint32_t m_connections = 6400;
    // Maximum number of concurrent requests. Further requests are answered 503 with verdict not_run.
    std::uint32_t m_requests_in_progress = 4096;
    // Maximum number of concurrent requests of one caller key.
    std::uint32_t m_requests_per_caller = 2048;
    // A client that neither sends nor receives data for this time is disconnected.
    std::uint32_t m_idle_timeout_s = 60;
};

struct settings {
    core::entry_host_id m_host;
    core::availability_zone m_zone;
    control::socket_address m_peer_address;
    std::optional<control::socket_address> m_http_address; // Present on every proxy.
    bool m_proxy = false;
    bool m_control = false;
    std::filesystem::path m_data_folder; // Present on every control host.
    std::vector<control_host> m_control_hosts;
    std::string m_cluster_key;
    std::vector<signing_key> m_session_keys;
    std::optional<tls_files> m_tls;
    std::vector<caller_key> m_callers;
    database_connection m_database;
    core::log_level m_log_level = core::log_level::info;
    std::string m_log_file;             // Empty: standard output.
    std::filesystem::path m_trace_file; // Empty: the control log is not recorded.
    http_limits m_http_limits;
    bool m_fault_injection = false; // For tests: enables PUT /v1/faults/blocked-peers for operators.
};

// Relative file names in the settings are resolved against the folder of the settings file. Fails with all
// errors of the file, one per line.
core::result<settings> load_settings(const std::filesystem::path& path);

} // namespace mangoquay::settings
