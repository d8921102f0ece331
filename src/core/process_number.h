// Numbers that tell the processes of a host apart.
#pragma once

#include <cstdint>

namespace mangoquay::core {

// Returns a number from which a process may count its messages upwards. A message that was delayed over a
// restart of the process is then not taken for one of the new process. Not 0.
std::uint64_t random_first_number();
// Returns a number that increases with each start of a process on this machine, unless its clock was set
// back. Not 0.
std::uint64_t process_start_number();

} // namespace mangoquay::core
