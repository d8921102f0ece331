// Draws from the random numbers of the operating system.
#include "core/process_number.h"

#include <random>

namespace mangoquay::core {

std::uint64_t random_first_number() {
    // The upper limit leaves room for counting.
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>(1, UINT64_MAX / 2)(source);
}

} // namespace mangoquay::core
