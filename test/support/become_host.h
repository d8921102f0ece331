// Replaces a forked process by the program of a host.
#pragma once

#include <array>
#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <unistd.h>

namespace mangoquay::test {

// Does not return. Only calls that are safe after a fork of a process with threads.
[[noreturn]] inline void become_host(const char* program, char* const* environment, const char* log_path) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::array<char, 6> command{"serve"};
    std::array<char*, 3> arguments{const_cast<char*>(program), command.data(), nullptr};
    ::execve(program, arguments.data(), environment);
    ::_exit(127);
}

} // namespace mangoquay::test
