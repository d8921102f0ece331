// Runs the registered measurements.
#include "measurement.h"

#include <iostream>
#include <string>

int main(int argc, char** argv) {
    const std::string wanted = argc > 1 ? argv[1] : "";
    for (const auto& one : mangoquay::performance::measurements()) {
        if (one.m_name.find(wanted) != std::string::npos) {
            one.m_run(std::cout);
        }
    }
    return 0;
}
