// Time as the decision cores see it: a monotonic time point passed in by the shell.
#pragma once

#include <chrono>

namespace mangoquay::core {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// A moment after which something no longer holds. Stored in place of a duration, so that a process that was
// frozen finds it passed when it wakes.
struct deadline {
    time_point m_at{};

    [[nodiscard]] bool passed(time_point now) const { return now >= m_at; }
    [[nodiscard]] duration remaining(time_point now) const { return passed(now) ? duration{} : m_at - now; }

    friend auto operator<=>(const deadline&, const deadline&) = default;
    friend bool operator==(const deadline&, const deadline&) = default;
};

// The present moment. Counts the time for which the machine was suspended, which the usual steady clock does
// not, so that a lease that ran out meanwhile is seen to have run out.
time_point now();

inline deadline deadline_after(time_point now, duration length) {
    return deadline{now + length};
}

} // namespace mangoquay::core
