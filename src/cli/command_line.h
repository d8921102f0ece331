// Command line of the mangoquay binary: run, serve, check-config, check-fleet-config, replay, ctl, --help and
// --version.
#pragma once

namespace mangoquay::cli {

inline constexpr const char* version = "0.1.0";

// Exit codes, the same for every command.
enum exit_code : int {
    success = 0,
    operation_failed = 1, // The operation was refused or failed and had no effect.
    invalid_usage = 2,    // The command line or the settings file is invalid.
    // ctl only: the server was not reached or its response was lost. Resend with the same request id.
    outcome_unknown = 3,
};

// Parses the command line, runs the command and returns its exit code.
int run_command_line(int argc, char** argv);

} // namespace mangoquay::cli
