// Parses the command line and starts the command.
#include "cli/command_line.h"

#include <cstdio>
#include <cstring>

namespace mangoquay::cli {

int run(int argc, char** argv) {
    if (argc > 1 && std::strcmp(argv[1], "--version") == 0) {
        std::puts("mangoquay 0.1.0");
        return 0;
    }
    std::puts("usage: mangoquay run --config FILE | check-config FILE | ctl COMMAND");
    return argc > 1 && std::strcmp(argv[1], "--help") == 0 ? 0 : 2;
}

} // namespace mangoquay::cli
