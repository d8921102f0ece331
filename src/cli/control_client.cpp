// Converts a ctl command line into one HTTP request, and the response into an exit code.
#include "cli/control_client.h"

#include "cli/command_line.h"
#include "core/digest.h"
#include "core/json_reader.h"

#include <getopt.h>
#include <gnutls/crypto.h>
#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

namespace mangoquay::cli {
namespace {

using request_result = core::result<http_request>;
using argument_list = std::vector<std::string>;

constexpr const char* help = R"(usage: mangoquay ctl [OPTION]... COMMAND

commands:
  status                                   state of the system as this proxy sees it
  services                                 services, their groups, presets and revisions
  put-service SERVICE FILE                 create or change a service; FILE: JSON, - for standard input
  put-preset PRESET FILE                   create or change a preset
  select-preset SERVICE PRESET             switch a service to a preset
  close-day SERVICE DAY                    close a business day, for example 2026-12-04
  drain ENDPOINT [--cancel]                stop sending new statements to an endpoint, or resume
  hand-over GROUP [ENDPOINT]               planned switchover of a group's primary
  replace-control-host OLD NEW ADDRESS     replace a control host; ADDRESS: peer address of the new one

options:
  --address URL            address of a proxy (default http://127.0.0.1:8101)
  --key-file FILE          file with the operator's caller key; default: environment variable MANGOQUAY_KEY
  --ca-file FILE           trusted certificates (PEM) for an https address
  --timeout SECONDS        time limit of the request (default 10)
  --expected-revision N    for put-service, put-preset and select-preset: the revision of the object that
                           the change is based on, as `ctl status` shows it; 0: it must not exist yet
  --request-id ID          id of an earlier attempt, to learn its outcome; default: a new id
  --help, --version

exit codes:
  0  accepted; it is in effect on every live proxy within seconds
  1  refused; it had no effect
  2  invalid command line
  3  outcome unknown: resend with the same --request-id
)";

core::result<nlohmann::json> read_object(const std::string& name) {
    std::ifstream file;
    if (name != "-") {
        file.open(name, std::ios::binary);
        if (!file) {
            return core::result<nlohmann::json>::failure(name + ": cannot be read");
        }
    }
    std::istream& input = name == "-" ? std::cin : file;
    const std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    std::vector<core::json_error> errors;
    const std::optional<nlohmann::json> parsed = core::parse_json(text, errors);
    if (!parsed || !parsed->is_object()) {
        const std::string message = errors.empty() ? "not a JSON object" : core::to_string(errors.front());
        return core::result<nlohmann::json>::failure(name + ": " + message);
    }
    return *parsed;
}

// Adds the expected revision and the request id, which make a change safe against concurrent changes and safe
// to resend. Fails without an expected revision, because a default would silently overwrite another
// operator's change.
core::result<std::string> revisioned_body(const control_options& options, nlohmann::json body) {
    if (!options.m_expected_revision) {
        return core::result<std::string>::failure("--expected-revision is missing");
    }
    std::uint64_t expected = 0;
    const std::string& text = *options.m_expected_revision;
    const auto [end, parse_error] = std::from_chars(text.data(), text.data() + text.size(), expected);
    if (parse_error != std::errc{} || end != text.data() + text.size()) {
        return core::result<std::string>::failure("--expected-revision " + text +
                                                  " is not a non-negative integer");
    }
    body["expected_revision"] = expected;
    body["request_id"] = options.m_request_id;
    return body.dump();
}

http_request base_request(const control_options& options, const char* method, const std::string& path) {
    http_request request;
    request.m_method = method;
    request.m_url = options.m_address + path;
    request.m_key = options.m_key;
    request.m_ca_file = options.m_ca_file;
    request.m_timeout_s = options.m_timeout_s;
    return request;
}

request_result with_revisioned_body(const control_options& options, http_request request,
                                    const nlohmann::json& body) {
    const core::result<std::string> text = revisioned_body(options, body);
    if (!text) {
        return request_result::failure(text.reason());
    }
    request.m_body = *text;
    return request;
}

request_result status_request(const control_options& options, const argument_list&) {
    return base_request(options, "GET", "/v1/status");
}

template <bool Service>
request_result put_request(const control_options& options, const argument_list& arguments) {
    const core::result<nlohmann::json> body = read_object(arguments[2]);
    if (!body) {
        return request_result::failure(body.reason());
    }
    const std::string path = (Service ? "/v1/services/" : "/v1/presets/") + arguments[1];
    return with_revisioned_body(options, base_request(options, "PUT", path), *body);
}

request_result select_preset_request(const control_options& options, const argument_list& arguments) {
    http_request request = base_request(options, "POST", "/v1/services/" + arguments[1] + "/preset");
    return with_revisioned_body(options, std::move(request), nlohmann::json{{"preset", arguments[2]}});
}

request_result close_day_request(const control_options& options, const argument_list& arguments) {
    if (!core::is_identifier(arguments[2])) {
        return request_result::failure("invalid business day: " + arguments[2]);
    }
    const std::string path = "/v1/services/" + arguments[1] + "/days/" + arguments[2] + "/close";
    http_request request = base_request(options, "POST", path);
    request.m_body = nlohmann::json{{"request_id", options.m_request_id}}.dump();
    return request;
}

request_result drain_request(const control_options& options, const argument_list& arguments) {
    http_request request = base_request(options, "POST", "/v1/endpoints/" + arguments[1] + "/drain");
    request.m_body = nlohmann::json{{"leaving", !options.m_cancel}}.dump();
    return request;
}

request_result hand_over_request(const control_options& options, const argument_list& arguments) {
    http_request request = base_request(options, "POST", "/v1/groups/" + arguments[1] + "/hand-over");
    nlohmann::json body = nlohmann::json::object();
    if (arguments.size() > 2) {
        body["endpoint"] = arguments[2];
    }
    request.m_body = body.dump();
    return request;
}

request_result replace_control_host_request(const control_options& options, const argument_list& arguments) {
    http_request request = base_request(options, "POST", "/v1/control-hosts/" + arguments[1] + "/replace");
    request.m_body = nlohmann::json{{"host", arguments[2]}, {"peer_address", arguments[3]}}.dump();
    return request;
}

struct control_command {
    const char* m_name;
    std::size_t m_min_arguments; // Including the command name.
    std::size_t m_max_arguments;
    request_result (*m_request)(const control_options&, const argument_list&);
};

constexpr std::array control_commands{
    control_command{"status", 1, 1, status_request},
    control_command{"services", 1, 1, status_request},
    control_command{"put-service", 3, 3, put_request<true>},
    control_command{"put-preset", 3, 3, put_request<false>},
    control_command{"select-preset", 3, 3, select_preset_request},
    control_command{"close-day", 3, 3, close_day_request},
    control_command{"drain", 2, 2, drain_request},
    control_command{"hand-over", 2, 3, hand_over_request},
    control_command{"replace-control-host", 4, 4, replace_control_host_request},
};

std::string random_request_id() {
    std::array<char, 12> bytes{};
    gnutls_rnd(GNUTLS_RND_NONCE, bytes.data(), bytes.size());
    return "ctl-" + core::to_hex({bytes.data(), bytes.size()});
}

std::string first_line_of(const char* file) {
    std::ifstream input(file);
    std::string line;
    std::getline(input, line);
    return line;
}

enum : int {
    option_help = 1,
    option_version,
    option_address,
    option_key_file,
    option_ca_file,
    option_timeout,
    option_expected_revision,
    option_request_id,
    option_cancel
};

const option long_options[] = {
    {"help", no_argument, nullptr, option_help},
    {"version", no_argument, nullptr, option_version},
    {"address", required_argument, nullptr, option_address},
    {"key-file", required_argument, nullptr, option_key_file},
    {"ca-file", required_argument, nullptr, option_ca_file},
    {"timeout", required_argument, nullptr, option_timeout},
    {"expected-revision", required_argument, nullptr, option_expected_revision},
    {"request-id", required_argument, nullptr, option_request_id},
    {"cancel", no_argument, nullptr, option_cancel},
    {nullptr, 0, nullptr, 0},
};

// Returns false if the value is not allowed.
bool apply_option(int code, control_options& options) {
    const std::string value = optarg == nullptr ? "" : optarg;
    switch (code) {
    case option_address:
        options.m_address = value.ends_with('/') ? value.substr(0, value.size() - 1) : value;
        return value.starts_with("http://") || value.starts_with("https://");
    case option_key_file:
        options.m_key = first_line_of(optarg);
        return !options.m_key.empty();
    case option_ca_file:
        options.m_ca_file = value;
        return !first_line_of(optarg).empty();
    case option_timeout:
        options.m_timeout_s = std::strtoul(optarg, nullptr, 10);
        return options.m_timeout_s > 0;
    case option_expected_revision:
        options.m_expected_revision = value;
        return true;
    case option_request_id:
        options.m_request_id = value;
        return core::is_identifier(value);
    case option_cancel:
        options.m_cancel = true;
        return true;
    default:
        return false;
    }
}

int print_response(const http_response& response, const argument_list& arguments,
                   const control_options& options) {
    nlohmann::json body = nlohmann::json::parse(response.m_body, nullptr, false);
    if (arguments[0] == "services" && body.is_object() && body.contains("services")) {
        body = nlohmann::json(body["services"]);
    }
    const std::string text = body.is_discarded() ? response.m_body : body.dump(2);
    const bool succeeded = response.m_status >= 200 && response.m_status < 300;
    std::fprintf(succeeded ? stdout : stderr, "%s\n", text.c_str());
    if (succeeded) {
        return exit_code::success;
    }
    const bool unknown = body.is_object() && body.contains("verdict") && body["verdict"] == "may_have_run";
    if (unknown) {
        std::fprintf(stderr, "outcome unknown; resend with --request-id %s\n", options.m_request_id.c_str());
    }
    return unknown ? exit_code::outcome_unknown : exit_code::operation_failed;
}

int send_command(const control_options& options, const argument_list& arguments) {
    const request_result request = make_control_request(options, arguments);
    if (!request) {
        std::fprintf(stderr, "mangoquay ctl: %s\n", request.reason().c_str());
        return exit_code::invalid_usage;
    }
    const core::result<http_response> response = send_request(*request);
    if (!response) {
        std::fprintf(stderr, "mangoquay ctl: %s; resend with --request-id %s\n", response.reason().c_str(),
                     options.m_request_id.c_str());
        return exit_code::outcome_unknown;
    }
    return print_response(*response, arguments, options);
}

} // namespace

request_result make_control_request(const control_options& options, const argument_list& arguments) {
    for (const control_command& candidate : control_commands) {
        if (arguments.empty() || arguments[0] != candidate.m_name) {
            continue;
        }
        if (arguments.size() < candidate.m_min_arguments || arguments.size() > candidate.m_max_arguments) {
            return request_result::failure("wrong number of arguments for " + arguments[0]);
        }
        // The last argument may be a file name or an address. All others become segments of a URL path.
        for (std::size_t index = 1; index + 1 < arguments.size() || (index == 1 && arguments.size() == 2);
             ++index) {
            if (!core::is_identifier(arguments[index])) {
                return request_result::failure("invalid identifier: " + arguments[index]);
            }
        }
        return candidate.m_request(options, arguments);
    }
    return request_result::failure(arguments.empty() ? "missing command" : "unknown command " + arguments[0]);
}

int run_control_client(int argc, char** argv) {
    control_options options;
    const char* key = std::getenv("MANGOQUAY_KEY");
    options.m_key = key == nullptr ? "" : key;
    options.m_request_id = random_request_id();
    optind = 0;
    for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
        if (code == option_help) {
            std::fputs(help, stdout);
            return exit_code::success;
        }
        if (code == option_version) {
            std::printf("mangoquay %s\n", version);
            return exit_code::success;
        }
        if (code == '?') {
            return exit_code::invalid_usage; // getopt_long has printed the error.
        }
        if (!apply_option(code, options)) {
            std::fprintf(stderr, "mangoquay ctl: invalid option value: %s\n", optarg);
            return exit_code::invalid_usage;
        }
    }
    return send_command(options, argument_list(argv + optind, argv + argc));
}

} // namespace mangoquay::cli
