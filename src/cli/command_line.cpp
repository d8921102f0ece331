// Parses the command line and runs the selected command.
#include "cli/command_line.h"

#include "cli/control_client.h"
#include "platform/serve.h"
#include "process/process.h"
#include "settings/fleet_settings.h"
#include "settings/settings.h"
#include "traces/trace_replay.h"

#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <string_view>

namespace mangoquay::cli {
namespace {

constexpr const char* help = R"(usage:
  mangoquay run --config FILE      run this host's roles until SIGTERM
  mangoquay serve [--config FILE]  run this host of a fleet with discovery until SIGTERM; without FILE the
                                   settings are read from the file named by MANGOQUAY_SETTINGS
  mangoquay check-config FILE      check a settings file
  mangoquay check-fleet-config FILE
                                   check a settings file for serve
  mangoquay replay FILE            replay a recorded trace of the control log and compare its outcomes
  mangoquay ctl COMMAND ...        operate a running system; see mangoquay ctl --help
  mangoquay --help | --version

Every command accepts --help and --version.

exit codes:
  0  success
  1  the operation was refused or failed and had no effect
  2  invalid command line or invalid settings
  3  the outcome is unknown: the server was not reached, or its response was lost
)";

enum : int { option_help = 'h', option_version = 'V', option_config = 'c' };

const option long_options[] = {{"help", no_argument, nullptr, option_help},
                               {"version", no_argument, nullptr, option_version},
                               {"config", required_argument, nullptr, option_config},
                               {nullptr, 0, nullptr, 0}};

int usage_error(const std::string& message) {
    std::fprintf(stderr, "mangoquay: %s\n%s", message.c_str(), help);
    return exit_code::invalid_usage;
}

struct parsed_options {
    bool m_finished = false; // --help, --version or an invalid option was handled.
    int m_exit_code = exit_code::success;
    std::string m_config;
    std::string m_file;         // First positional argument.
    int m_positional_count = 0; // Number of positional arguments.
};

parsed_options parse_options(int argc, char** argv) {
    parsed_options parsed;
    optind = 0; // Resets GNU getopt, because another command line may have been parsed before.
    for (int code = 0; (code = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
        if (code == option_help) {
            std::fputs(help, stdout);
            parsed.m_finished = true;
            return parsed;
        }
        if (code == option_version) {
            std::printf("mangoquay %s\n", version);
            parsed.m_finished = true;
            return parsed;
        }
        if (code != option_config) {
            parsed.m_finished = true;
            parsed.m_exit_code = exit_code::invalid_usage;
            return parsed;
        }
        parsed.m_config = optarg;
    }
    parsed.m_positional_count = argc - optind;
    parsed.m_file = parsed.m_positional_count > 0 ? argv[optind] : "";
    return parsed;
}

int check_config(const std::string& file) {
    const core::result<settings::settings> loaded = settings::load_settings(file);
    if (!loaded) {
        std::fprintf(stderr, "%s\n", loaded.reason().c_str());
        return exit_code::invalid_usage;
    }
    std::printf("%s: valid\n", file.c_str());
    return exit_code::success;
}

int replay_file(const std::string& file) {
    std::ifstream trace(file);
    if (!trace) {
        return usage_error("cannot read " + file);
    }
    const traces::replay_report report = traces::replay_trace(trace);
    for (const std::string& deviation : report.m_deviations) {
        std::printf("%s: %s\n", file.c_str(), deviation.c_str());
    }
    std::printf("%s: %zu commands, %zu checks, %zu deviations\n", file.c_str(), report.m_command_count,
                report.m_check_count, report.m_deviations.size());
    return report.m_deviations.empty() ? exit_code::success : exit_code::operation_failed;
}

int run_from_file(const std::string& file) {
    const core::result<settings::settings> loaded = settings::load_settings(file);
    if (!loaded) {
        std::fprintf(stderr, "%s\n", loaded.reason().c_str());
        return exit_code::invalid_usage;
    }
    core::configure_log(loaded->m_log_level, loaded->m_log_file);
    return process::run_process(*loaded);
}

int check_fleet_config(const std::string& file) {
    const auto loaded = settings::load_fleet_settings(file);
    if (!loaded) {
        std::fprintf(stderr, "%s\n", loaded.reason().c_str());
        return exit_code::invalid_usage;
    }
    std::printf("%s: valid\n", file.c_str());
    return exit_code::success;
}

int serve_from_file(std::string file) {
    if (file.empty()) {
        const char* settings_file = std::getenv("MANGOQUAY_SETTINGS");
        file = settings_file == nullptr ? "" : settings_file;
    }
    if (file.empty()) {
        return usage_error("serve requires --config FILE or MANGOQUAY_SETTINGS");
    }
    const auto loaded = settings::load_fleet_settings(file);
    if (!loaded) {
        std::fprintf(stderr, "%s\n", loaded.reason().c_str());
        return exit_code::invalid_usage;
    }
    core::configure_log(loaded->m_log_level, "");
    return platform::run_fleet_host(*loaded);
}

} // namespace

int run_command_line(int argc, char** argv) {
    if (argc < 2) {
        return usage_error("missing command");
    }
    const std::string command = argv[1];
    if (command == "ctl") {
        return run_control_client(argc - 1, argv + 1);
    }
    const bool is_option = command.starts_with("--");
    const parsed_options parsed = is_option ? parse_options(argc, argv) : parse_options(argc - 1, argv + 1);
    if (parsed.m_finished) {
        return parsed.m_exit_code;
    }
    if (command == "run") {
        return parsed.m_config.empty() || parsed.m_positional_count != 0
                   ? usage_error("run requires --config FILE and no other argument")
                   : run_from_file(parsed.m_config);
    }
    if (command == "serve") {
        return parsed.m_positional_count != 0
                   ? usage_error("serve accepts no argument other than --config FILE")
                   : serve_from_file(parsed.m_config);
    }
    if (command == "check-fleet-config") {
        return parsed.m_positional_count != 1 || !parsed.m_config.empty()
                   ? usage_error("check-fleet-config requires exactly one FILE")
                   : check_fleet_config(parsed.m_file);
    }
    if (command == "check-config") {
        return parsed.m_positional_count != 1 || !parsed.m_config.empty()
                   ? usage_error("check-config requires exactly one FILE")
                   : check_config(parsed.m_file);
    }
    if (command == "replay") {
        return parsed.m_positional_count != 1 || !parsed.m_config.empty()
                   ? usage_error("replay requires exactly one FILE")
                   : replay_file(parsed.m_file);
    }
    return usage_error("unknown command " + command);
}

} // namespace mangoquay::cli
