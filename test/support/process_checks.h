// Checks of a process against the limits in its settings.
#pragma once

#include "support/process_fleet.h"

#include <cppunit/TestAssert.h>

#include <chrono>
#include <iostream>
#include <thread>

namespace mangoquay::test {

// Sanitizers add memory of their own, so the memory is not checked in builds with one.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool checks_memory = false;
#else
inline constexpr bool checks_memory = true;
#endif

// Waits until the process has read what was sent to it: until its peak has not grown for a second, 10 s at
// most.
inline void wait_until_settled(const host_process& host) {
    constexpr std::chrono::milliseconds poll_interval{50};
    constexpr std::chrono::seconds quiet_time{1};
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::size_t peak = 0;
    auto last_growth = std::chrono::steady_clock::now();
    for (auto now = last_growth; now < end && now - last_growth < quiet_time;
         now = std::chrono::steady_clock::now()) {
        const std::size_t latest = host.figures().m_peak_resident_kb;
        if (latest > peak) {
            peak = latest;
            last_growth = now;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

inline void assert_within(const char* name, host_process& host, const process_limits& limits) {
    CPPUNIT_ASSERT(host.alive());
    wait_until_settled(host);
    CPPUNIT_ASSERT(host.alive());
    const process_figures figures = host.figures();
    std::cout << "figures: " << name << " peak_kb=" << figures.m_peak_resident_kb
              << " descriptors=" << figures.m_open_descriptors << std::endl;
    CPPUNIT_ASSERT(!checks_memory || figures.m_peak_resident_kb < limits.m_memory_mb * 1024U);
    CPPUNIT_ASSERT(figures.m_open_descriptors < limits.m_descriptors);
}

} // namespace mangoquay::test
