// Names of refusal reasons for logs.
#include "lending/loan.h"

#include <array>

namespace mangoquay::lending {

const char* to_string(loan_refusal reason) {
    constexpr std::array<const char*, 3> names{"busy", "not_lending", "unreachable"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace mangoquay::lending
