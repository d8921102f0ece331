// Random numbers and the real-time clock of the operating system.
#include "core/process_number.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace mangoquay::core {

std::uint64_t random_first_number() {
    // The upper limit leaves room for counting.
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>(1, UINT64_MAX / 2)(source);
}

std::uint64_t process_start_number() {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t now = std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(now, 1));
}

} // namespace mangoquay::core
