// A process of this repository's program `mangoquay serve`, started by a test.
//
// The process ends with this object, and also if the test program is killed.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

#include <sys/types.h>

namespace mangoquay::test {

struct process_figures {
    std::size_t m_peak_resident_kb = 0; // VmHWM.
    std::size_t m_open_descriptors = 0;
};

class host_process {
public:
    // Starts the program that lies beside the test program. Its output goes to `log`.
    host_process(const std::filesystem::path& settings, const std::filesystem::path& log);
    ~host_process();
    host_process(const host_process&) = delete;
    host_process& operator=(const host_process&) = delete;
    host_process(host_process&&) = delete;
    host_process& operator=(host_process&&) = delete;

    // False once the process has ended.
    [[nodiscard]] bool alive();
    [[nodiscard]] process_figures figures() const;
    [[nodiscard]] pid_t pid() const { return m_pid; }

private:
    pid_t m_pid = -1;
    bool m_ended = false;
};

} // namespace mangoquay::test
