// Decayed slot time per caller, the measure of fairness between callers: past use loses weight exponentially.
//
// Slot time is stored multiplied by a factor that grows with time (forward decay), so that comparing two
// callers needs no arithmetic and no clock. Deterministic.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstddef>
#include <unordered_map>

namespace mangoquay::admission {

struct caller_use {
    double m_scaled = 0; // Scaled slot time, comparable between callers.
    std::size_t m_references = 0;
};

class caller_usage {
public:
    static constexpr core::duration half_life = std::chrono::seconds(10);

    // Returns the record of the caller. The reference stays valid until it is released.
    caller_use& acquire(const core::caller_id& caller);
    static void release(caller_use& use) { --use.m_references; }
    // Adds slot time. A negative `used` corrects an earlier estimate.
    void charge(caller_use& use, core::duration used, core::time_point now);

private:
    // Moves the landmark to `now` and removes negligible records without references.
    void rebase(core::time_point now);

    std::unordered_map<core::caller_id, caller_use> m_uses;
    core::time_point m_landmark{};
};

} // namespace mangoquay::admission
