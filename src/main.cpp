// Entry point of the mangoquay binary, which contains all commands.
#include "cli/command_line.h"

int main(int argc, char** argv) {
    return mangoquay::cli::run_command_line(argc, argv);
}
