// Monotonic time. Decision cores do not read the clock; the classes that drive them pass in the time.
#pragma once

#include <chrono>

namespace mangoquay::core {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// The time at which something expires. Stored instead of a duration, so that a process that was suspended
// finds the deadline passed when it continues.
struct deadline {
    time_point m_at{};

    [[nodiscard]] bool passed(time_point now) const { return now >= m_at; }
    // Zero if the deadline has passed.
    [[nodiscard]] duration remaining(time_point now) const { return passed(now) ? duration{} : m_at - now; }

    friend auto operator<=>(const deadline&, const deadline&) = default;
    friend bool operator==(const deadline&, const deadline&) = default;
};

// Returns the current time. Includes the time for which the machine was suspended, which std::steady_clock
// does not, so that a lease that expired during a suspension is found expired.
time_point now();

inline deadline deadline_after(time_point now, duration length) {
    return deadline{now + length};
}

} // namespace mangoquay::core
