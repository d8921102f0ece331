// The command line: mangoquay run, check-config, ctl, --help, --version.
#pragma once

namespace mangoquay::cli {

inline constexpr const char* version = "0.1.0";

// Exit codes, the same for every command.
enum exit_code : int {
    success = 0,
    operation_failed = 1, // refused or failed; it had no effect
    wrong_use = 2,        // command line or settings
    outcome_unknown = 3,  // ctl: the server was not reached or its answer was lost; resend with the same id
};

int run_command_line(int argc, char** argv);

} // namespace mangoquay::cli
