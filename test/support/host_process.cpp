// Starts, observes and ends one process.
#include "support/host_process.h"

#include "support/become_host.h"

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
