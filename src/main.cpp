// Entry point of the one binary.
#include "cli/command_line.h"

int main(int argc, char** argv) {
    return mangoquay::cli::run_command_line(argc, argv);
}
