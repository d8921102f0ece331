// Samples how long the entry hosts' processes wait for the processor or are stopped, so that a violation can
// say whether its host ran.
#pragma once

#include "soak/hosts.h"

#include <atomic>
#include <deque>
#include <thread>

namespace mangoquay::soak {

class scheduling_watch {
public:
    explicit scheduling_watch(const host_fleet& fleet);
    ~scheduling_watch();
    scheduling_watch(const scheduling_watch&) = delete;
    scheduling_watch& operator=(const scheduling_watch&) = delete;
    scheduling_watch(scheduling_watch&&) = delete;
    scheduling_watch& operator=(scheduling_watch&&) = delete;

    // The last 4 s of the host.
    [[nodiscard]] std::string describe(const core::entry_host_id& host) const;

private:
    struct sample {
        steady_time m_time;
        char m_state = '?';
        milliseconds m_waited{0}; // For the processor, since the process started.
    };
    void run();
    static sample take(pid_t process);

    const host_fleet& m_fleet;
    mutable std::mutex m_mutex;
    std::map<core::entry_host_id, std::deque<sample>> m_samples; // Guarded by m_mutex.
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

} // namespace mangoquay::soak
