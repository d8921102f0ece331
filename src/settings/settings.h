// Typed settings of one process, read from a JSON file at start. What operators switch while the system runs
// (services, presets, endpoints) is never here.
//
// Owns nothing. Unknown members are refused, and all errors of a file are reported at once, each with the
// file, the JSON pointer, the value found and what is allowed there.
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

// Signs session tokens. Tokens are signed with the first key of the list; every listed key is accepted, so a
// key is rotated by listing the new one second on all hosts, then first, then removing the old one.
struct signing_key {
    std::uint8_t m_id = 0;
    std::string m_key; // at least 16 bytes
};

struct caller_key {
    core::caller_id m_caller;
    std::string m_sha256; // 32 bytes: the digest of the key that the caller sends
    bool m_operator = false;
    bool m_all_services = false; // "*" is listed in `services`
    std::set<core::service_name> m_services;
};

struct tls_files {
    std::filesystem::path m_certificate;
    std::filesystem::path m_key;
};

struct database_connection {
    std::string m_user;
    std::string m_password; // of `password` or the first line of `password_file`
    std::string m_database;
    std::string m_sslmode = "prefer"; // as in libpq
};

struct http_limits {
    // Section 1.4: 14 million client connections on 2,200 nodes.
    std::uint32_t m_connections = 6400;
    // Requests in progress at once; further ones get 503 with not_run.
    std::uint32_t m_requests_in_progress = 4096;
    // Requests in progress at once of one caller key.
    std::uint32_t m_requests_per_caller = 2048;
    // A client that neither sends nor reads for this long is disconnected.
    std::uint32_t m_idle_timeout_s = 60;
};

struct settings {
    core::entry_host_id m_host;
    core::availability_zone m_zone;
    control::socket_address m_peer_address;
    std::optional<control::socket_address> m_http_address; // present on every proxy
    bool m_proxy = false;
    bool m_control = false;
    std::filesystem::path m_data_folder; // present on every control host
    std::vector<control_host> m_control_hosts;
    std::string m_cluster_key;
    std::vector<signing_key> m_session_keys;
    std::optional<tls_files> m_tls;
    std::vector<caller_key> m_callers;
    database_connection m_database;
    core::log_level m_log_level = core::log_level::info;
    std::string m_log_file;             // empty: standard output
    std::filesystem::path m_trace_file; // empty: the control log is not recorded
    http_limits m_http_limits;
    bool m_fault_injection = false; // for tests: opens PUT /v1/faults/blocked-peers to operators
};

// Relative file names in the settings are taken relative to the folder of the settings file.
core::result<settings> load_settings(const std::filesystem::path& path);

} // namespace mangoquay::settings
