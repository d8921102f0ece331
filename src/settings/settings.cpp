// Reads and validates a settings file. All errors are collected before the file is rejected.
#include "settings/settings.h"

#include "core/digest.h"
#include "core/json_reader.h"
#include "settings/socket_address_text.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>

namespace mangoquay::settings {
namespace {

using core::json_error;
using core::json_reader;

constexpr std::size_t min_key_bytes = 16;
constexpr std::uint32_t max_connections = 100000;

struct read_context {
    std::filesystem::path m_folder; // Relative file names are resolved against this folder.
    std::vector<json_error>& m_errors;

    [[nodiscard]] std::filesystem::path resolve(const std::string& name) const {
        return std::filesystem::path(name).is_absolute() ? std::filesystem::path(name) : m_folder / name;
    }
};

std::optional<std::string> first_line(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::string line;
    if (!std::getline(file, line)) {
        return std::nullopt;
    }
    return line;
}

// Reads a secret from member `name` or from the first line of the file that member `name`_file specifies.
std::optional<std::string> read_secret(json_reader& reader, const read_context& context, const char* name,
                                       std::size_t min_bytes) {
    const std::string file_member = std::string(name) + "_file";
    const std::optional<std::string> file = reader.text(file_member.c_str());
    std::optional<std::string> value = reader.secret(name, min_bytes);
    if (reader.has(name) && reader.has(file_member.c_str())) {
        reader.add_error(file_member.c_str(), std::string("either ") + name + " or " + file_member);
        return std::nullopt;
    }
    if (!file) {
        return value;
    }
    value = first_line(context.resolve(*file));
    if (!value || value->size() < min_bytes) {
        reader.add_error(file_member.c_str(), "a readable file whose first line has at least " +
                                                  std::to_string(min_bytes) + " bytes");
        return std::nullopt;
    }
    return value;
}

void read_roles(json_reader& reader, settings& into) {
    reader.require("roles", "an array with \"proxy\", \"control\" or both");
    const std::optional<std::vector<std::string>> roles = reader.identifiers("roles");
    if (!roles) {
        return;
    }
    for (const std::string& role : *roles) {
        into.m_proxy = into.m_proxy || role == "proxy";
        into.m_control = into.m_control || role == "control";
        if (role != "proxy" && role != "control") {
            reader.add_error("roles", "\"proxy\" and \"control\"");
        }
    }
    if (roles->empty()) {
        reader.add_error("roles", "\"proxy\", \"control\" or both");
    }
}

void read_control_hosts(json_reader& reader, std::vector<json_error>& errors, settings& into) {
    reader.require("control_hosts", "an array of 1, 3 or 5 objects with host and peer_address");
    std::set<core::entry_host_id> hosts;
    const bool present =
        reader.array("control_hosts", [&](const nlohmann::json& element, const std::string& pointer) {
            json_reader member(element, pointer, errors);
            control_host host;
            member.require("host", "the id of a control host");
            member.require("peer_address", address_format);
            host.m_host = core::entry_host_id(member.identifier("host").value_or(""));
            host.m_peer_address =
                read_socket_address(member, "peer_address").value_or(control::socket_address{});
            if (!hosts.insert(host.m_host).second) {
                member.add_error("host", "a host that is listed only once");
            }
            member.reject_unknown_members();
            into.m_control_hosts.push_back(std::move(host));
        });
    const std::size_t count = into.m_control_hosts.size();
    if (present && count != 1 && count != 3 && count != 5) {
        reader.add_error("control_hosts", "1, 3 or 5 hosts");
    }
}

void read_session_keys(json_reader& reader, const read_context& context, settings& into) {
    std::set<std::uint8_t> ids;
    reader.array("session_keys", [&](const nlohmann::json& element, const std::string& pointer) {
        json_reader member(element, pointer, context.m_errors);
        member.require("id", "an integer from 0 to 255");
        signing_key key;
        key.m_id = static_cast<std::uint8_t>(member.integer("id", 0, 255).value_or(0));
        if (!member.has("key_file")) {
            member.require("key", "key or key_file");
        }
        key.m_key = read_secret(member, context, "key", min_key_bytes).value_or("");
        if (!ids.insert(key.m_id).second) {
            member.add_error("id", "an id that is listed only once");
        }
        member.reject_unknown_members();
        into.m_session_keys.push_back(std::move(key));
    });
}

// Returns the SHA-256 digest of the key, which is either configured or computed from the configured key.
std::string read_key_digest(json_reader& member, const read_context& context) {
    const std::optional<std::string> digest_text = member.text("sha256");
    if (digest_text) {
        std::optional<std::string> digest = core::from_hex(*digest_text);
        if (!digest || digest->size() != core::sha256_bytes) {
            member.add_error("sha256", "64 hexadecimal digits");
            return {};
        }
        if (member.has("key") || member.has("key_file")) {
            member.add_error("sha256", "only one of key, key_file and sha256");
        }
        return *digest;
    }
    if (!member.has("key_file")) {
        member.require("key", "key, key_file or sha256");
    }
    const std::optional<std::string> key = read_secret(member, context, "key", min_key_bytes);
    return key ? core::sha256(*key) : std::string{};
}

void read_callers(json_reader& reader, const read_context& context, settings& into) {
    std::set<std::string> digests;
    reader.array("callers", [&](const nlohmann::json& element, const std::string& pointer) {
        json_reader member(element, pointer, context.m_errors);
        caller_key caller;
        member.require("id", "the id of the caller");
        caller.m_caller = core::caller_id(member.identifier("id").value_or(""));
        caller.m_sha256 = read_key_digest(member, context);
        caller.m_operator = member.boolean("operator").value_or(false);
        for (const std::string& service :
             member.identifiers("services", true).value_or(std::vector<std::string>{})) {
            caller.m_all_services = caller.m_all_services || service == "*";
            caller.m_services.insert(core::service_name(service));
        }
        if (!caller.m_sha256.empty() && !digests.insert(caller.m_sha256).second) {
            member.add_error("id", "a key that no other caller uses, because a key identifies one caller");
        }
        member.reject_unknown_members();
        into.m_callers.push_back(std::move(caller));
    });
}

void read_tls(json_reader& reader, const read_context& context, settings& into) {
    reader.object("tls", [&](const nlohmann::json& element, const std::string& pointer) {
        json_reader member(element, pointer, context.m_errors);
        tls_files tls;
        for (auto [name, field] : {std::pair{"certificate_file", &tls_files::m_certificate},
                                   std::pair{"key_file", &tls_files::m_key}}) {
            member.require(name, "the name of a PEM file");
            const std::optional<std::string> file = member.text(name);
            if (!file) {
                continue;
            }
            tls.*field = context.resolve(*file);
            if (!first_line(tls.*field)) {
                member.add_error(name, "the name of a readable PEM file");
            }
        }
        member.reject_unknown_members();
        into.m_tls = std::move(tls);
    });
}

void read_database(json_reader& reader, const read_context& context, settings& into) {
    reader.object("database", [&](const nlohmann::json& element, const std::string& pointer) {
        static constexpr std::array modes{"disable", "allow",     "prefer",
                                          "require", "verify-ca", "verify-full"};
        json_reader member(element, pointer, context.m_errors);
        member.require("user", "the name of a database user");
        member.require("database", "the name of a database");
        into.m_database.m_user = member.text("user").value_or("");
        into.m_database.m_database = member.text("database").value_or("");
        into.m_database.m_password = read_secret(member, context, "password", 1).value_or("");
        const auto mode =
            member.choice("sslmode", {"disable", "allow", "prefer", "require", "verify-ca", "verify-full"});
        into.m_database.m_sslmode = modes.at(mode.value_or(2));
        member.reject_unknown_members();
    });
}

void read_log(json_reader& reader, const read_context& context, settings& into) {
    reader.object("log", [&](const nlohmann::json& element, const std::string& pointer) {
        json_reader member(element, pointer, context.m_errors);
        const auto level = member.choice("level", {"debug", "info", "warning", "error"});
        into.m_log_level = static_cast<core::log_level>(level.value_or(1));
        const std::optional<std::string> file = member.text("file");
        into.m_log_file = file && !file->empty() ? context.resolve(*file).string() : std::string{};
        member.reject_unknown_members();
    });
}

void read_http_limits(json_reader& reader, std::vector<json_error>& errors, settings& into) {
    reader.object("http_limits", [&](const nlohmann::json& element, const std::string& pointer) {
        json_reader member(element, pointer, errors);
        http_limits& limits = into.m_http_limits;
        const auto read = [&member](const char* name, std::uint32_t& field, std::uint32_t max) {
            field = static_cast<std::uint32_t>(member.integer(name, 1, max).value_or(field));
        };
        read("connections", limits.m_connections, max_connections);
        read("requests_in_progress", limits.m_requests_in_progress, max_connections);
        read("requests_per_caller", limits.m_requests_per_caller, max_connections);
        read("idle_timeout_s", limits.m_idle_timeout_s, 3600);
        member.reject_unknown_members();
    });
}

void check_control_role(json_reader& reader, const settings& read) {
    reader.require("data_folder", "a folder that persists across restarts, required by the control role");
    const auto same_host = [&read](const control_host& host) { return host.m_host == read.m_host; };
    const auto self = std::find_if(read.m_control_hosts.begin(), read.m_control_hosts.end(), same_host);
    if (self == read.m_control_hosts.end()) {
        // A host that replaces a failed one is not in the original list. The command replace-control-host
        // adds it.
        return;
    }
    if (self->m_peer_address != read.m_peer_address) {
        reader.add_error("peer_address", "the address listed for this host in /control_hosts");
    }
}

void check_proxy_role(json_reader& reader) {
    reader.require("http_address", address_format);
    reader.require("session_keys", "an array of objects with id and key");
    reader.require("callers", "an array of objects with id, key and services");
    reader.require("database", "an object with user, password and database");
}

void read_common_members(json_reader& reader, const read_context& context, settings& into) {
    reader.require("host", "the id of this host");
    reader.require("zone", "the availability zone of this host");
    reader.require("peer_address", address_format);
    into.m_host = core::entry_host_id(reader.identifier("host").value_or(""));
    into.m_zone = core::availability_zone(reader.identifier("zone").value_or(""));
    into.m_peer_address = read_socket_address(reader, "peer_address").value_or(control::socket_address{});
    into.m_http_address = read_socket_address(reader, "http_address");
    const std::optional<std::string> folder = reader.text("data_folder");
    into.m_data_folder = folder ? context.resolve(*folder) : std::filesystem::path{};
    const std::optional<std::string> trace = reader.text("trace_file");
    into.m_trace_file = trace ? context.resolve(*trace) : std::filesystem::path{};
    if (!reader.has("cluster_key_file")) {
        reader.require("cluster_key", "cluster_key or cluster_key_file");
    }
    into.m_cluster_key = read_secret(reader, context, "cluster_key", min_key_bytes).value_or("");
    into.m_fault_injection = reader.boolean("fault_injection").value_or(false);
}

settings read_document(const nlohmann::json& document, const read_context& context) {
    settings read;
    json_reader reader(document, "", context.m_errors);
    read_common_members(reader, context, read);
    read_roles(reader, read);
    read_control_hosts(reader, context.m_errors, read);
    read_session_keys(reader, context, read);
    read_tls(reader, context, read);
    read_callers(reader, context, read);
    read_database(reader, context, read);
    read_log(reader, context, read);
    read_http_limits(reader, context.m_errors, read);
    if (read.m_control) {
        check_control_role(reader, read);
    }
    if (read.m_proxy) {
        check_proxy_role(reader);
        if (read.m_session_keys.empty() && reader.has("session_keys")) {
            reader.add_error("session_keys", "at least one key");
        }
    }
    reader.reject_unknown_members();
    return read;
}

} // namespace

core::result<settings> load_settings(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return core::result<settings>::failure(path.string() + ": cannot be read");
    }
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    std::vector<json_error> errors;
    settings read;
    const std::optional<nlohmann::json> document = core::parse_json(text, errors);
    if (document) {
        read = read_document(*document, read_context{path.parent_path(), errors});
    }
    if (errors.empty()) {
        return read;
    }
    return core::result<settings>::failure(core::describe_errors(path.string(), errors));
}

} // namespace mangoquay::settings
