// The command line: mangoquay run, check-config, ctl, --help, --version.
#pragma once

namespace mangoquay::cli {

// Exit codes: 0 success, 1 the operation failed, 2 wrong use or wrong settings.
int run(int argc, char** argv);

} // namespace mangoquay::cli
