// Runs the registered measurements whose name contains the first argument; without an argument, all of them.
#include "measurement.h"

#include <iostream>
#include <string>

int main(int argc, char** argv) {
    const std::string name_filter = argc > 1 ? argv[1] : "";
    for (const auto& measurement : mangoquay::performance::measurements()) {
        if (measurement.m_name.find(name_filter) != std::string::npos) {
            measurement.m_run(std::cout);
        }
    }
    return 0;
}
