// Reads CLOCK_BOOTTIME, which continues to count while the machine is suspended.
#include "core/clock.h"

#include <ctime>

namespace mangoquay::core {

time_point now() {
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

} // namespace mangoquay::core
