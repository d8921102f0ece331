// Starts, observes and ends one process.
#include "support/host_process.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mangoquay::test {
namespace {

// Does not return. Only calls that are safe after a fork of a process with threads.
[[noreturn]] void become_host(const char* program, char* const* environment, const char* log_path) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    std::array<char, 6> command{"serve"};
    std::array<char*, 3> arguments{const_cast<char*>(program), command.data(), nullptr};
    ::execve(program, arguments.data(), environment);
    ::_exit(127);
}

} // namespace

host_process::host_process(const std::filesystem::path& settings, const std::filesystem::path& log) {
    const std::string program =
        (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "mangoquay").string();
    std::string variable = "MANGOQUAY_SETTINGS=" + settings.string();
    std::array<char*, 2> environment{variable.data(), nullptr};
    m_pid = ::fork();
    if (m_pid == 0) {
        become_host(program.c_str(), environment.data(), log.c_str());
    }
    if (m_pid < 0) {
        throw std::runtime_error("cannot start a process");
    }
}

host_process::~host_process() {
    if (alive()) {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

bool host_process::alive() {
    m_ended = m_ended || ::waitpid(m_pid, nullptr, WNOHANG) != 0;
    return !m_ended;
}

process_figures host_process::figures() const {
    const std::filesystem::path folder = std::filesystem::path("/proc") / std::to_string(m_pid);
    process_figures figures;
    std::ifstream status(folder / "status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            figures.m_peak_resident_kb = std::stoull(line.substr(name.size()));
        }
    }
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(folder / "fd")) {
        ++figures.m_open_descriptors;
    }
    return figures;
}

} // namespace mangoquay::test
