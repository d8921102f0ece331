// Reads and validates the settings file of a host in a fleet with discovery.
#include "settings/fleet_settings.h"

#include "core/json_reader.h"
#include "settings/socket_address_text.h"

#include <fstream>
#include <iterator>

namespace mangoquay::settings {
namespace {

using core::json_error;
using core::json_reader;

constexpr std::size_t min_key_bytes = 16;
constexpr double max_stop_timeout_s = 600.0;
constexpr std::uint64_t max_descriptors = 10'000'000;
constexpr std::uint64_t max_memory_mb = 16'000'000;
constexpr std::uint64_t max_tolerated_host_failures = 3;
constexpr double max_quota_window_s = 3600.0;
constexpr double max_quota_overage = 10.0;
constexpr double max_quota_slack = 1e6;

void read_known_control(json_reader& reader, std::vector<json_error>& errors, fleet_settings& into) {
    reader.array("known_control", [&](const nlohmann::json& element, const std::string& pointer) {
        const auto address =
            element.is_string() ? parse_socket_address(element.get_ref<const std::string&>()) : std::nullopt;
        if (address) {
            into.m_known_control_addresses.push_back(*address);
        } else {
            errors.push_back({pointer, element.dump(), address_format});
        }
    });
}

void read_limits(json_reader& reader, fleet_settings& into) {
    into.m_max_descriptors = static_cast<std::uint32_t>(
        reader.integer("descriptors", 256, max_descriptors).value_or(into.m_max_descriptors));
    into.m_max_memory_mb = static_cast<std::uint32_t>(
        reader.integer("memory_mb", 16, max_memory_mb).value_or(into.m_max_memory_mb));
    into.m_tolerated_host_failures =
        static_cast<std::uint32_t>(reader.integer("lost_hosts", 0, max_tolerated_host_failures)
                                       .value_or(into.m_tolerated_host_failures));
    const double window_s = reader.number("quota_window_s", 0.1, max_quota_window_s).value_or(5.0);
    into.m_quota_tolerance.m_window = core::milliseconds(static_cast<std::int64_t>(window_s * 1000));
    into.m_quota_tolerance.m_overage =
        reader.number("quota_overage", 0.0, max_quota_overage).value_or(into.m_quota_tolerance.m_overage);
    into.m_quota_tolerance.m_slack =
        reader.number("quota_slack", 0.0, max_quota_slack).value_or(into.m_quota_tolerance.m_slack);
    reader.require("stop_limit_s", "a number of seconds");
    const double stop_timeout_s = reader.number("stop_limit_s", 0.1, max_stop_timeout_s).value_or(1.0);
    into.m_stop_timeout = core::milliseconds(static_cast<std::int64_t>(stop_timeout_s * 1000));
}

void read_addresses(json_reader& reader, fleet_settings& into) {
    reader.require("peer_address", address_format);
    into.m_peer_address = read_socket_address(reader, "peer_address").value_or(control::socket_address{});
    into.m_caller_address = read_socket_address(reader, "caller_address");
    into.m_readiness_address = read_socket_address(reader, "readiness_address");
    into.m_control_address = read_socket_address(reader, "control_address");
    into.m_metrics_address = read_socket_address(reader, "metrics_address");
    into.m_executor_address =
        read_socket_address(reader, "executor_address").value_or(control::socket_address{});
    if (into.m_role == fleet_role::entry) {
        reader.require("caller_address", address_format);
        reader.require("readiness_address", address_format);
    } else {
        reader.require("control_address", address_format);
        reader.require("executor_address", address_format);
        reader.require("data_folder", "a folder");
    }
}

fleet_settings read_document(const nlohmann::json& document, std::vector<json_error>& errors) {
    fleet_settings read;
    json_reader reader(document, "", errors);
    reader.require("host", "a name");
    read.m_host_name = reader.identifier("host").value_or("");
    reader.require("role", "\"entry\" or \"control\"");
    read.m_role = static_cast<fleet_role>(reader.choice("role", {"entry", "control"}).value_or(0));
    reader.require("zone", "a name");
    read.m_zone = core::availability_zone(reader.identifier("zone").value_or(""));
    read_addresses(reader, read);
    read_known_control(reader, errors, read);
    read.m_first_start = reader.boolean("first_start").value_or(false);
    read.m_data_folder = reader.text("data_folder").value_or("");
    reader.require("cluster_key", "a text of at least 16 bytes");
    read.m_cluster_key = reader.secret("cluster_key", min_key_bytes).value_or("");
    read.m_executor_fences = reader.boolean("executor_fences").value_or(false);
    read_limits(reader, read);
    const auto level = reader.choice("log_level", {"debug", "info", "warning", "error"});
    read.m_log_level =
        static_cast<core::log_level>(level.value_or(static_cast<std::size_t>(read.m_log_level)));
    reader.reject_unknown_members();
    return read;
}

} // namespace

core::result<fleet_settings> load_fleet_settings(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return core::result<fleet_settings>::failure(path.string() + ": cannot be read");
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    std::vector<json_error> errors;
    fleet_settings read;
    if (const std::optional<nlohmann::json> document = core::parse_json(text, errors)) {
        read = read_document(*document, errors);
    }
    if (!errors.empty()) {
        return core::result<fleet_settings>::failure(core::describe_errors(path.string(), errors));
    }
    return read;
}

} // namespace mangoquay::settings
