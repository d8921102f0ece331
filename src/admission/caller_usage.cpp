// Forward decay with a landmark that is moved forward from time to time.
#include "admission/caller_usage.h"

#include <algorithm>
#include <cmath>

namespace mangoquay::admission {
namespace {

// In half-lives. Keeps the growing factor below 2^32, well within the precision of a double.
constexpr double max_exponent = 32;
// Slot time in seconds below which the record of a caller is removed.
constexpr double negligible_use = 1e-6;

double half_lives(core::duration span) {
    return std::chrono::duration<double>(span) / std::chrono::duration<double>(caller_usage::half_life);
}

} // namespace

caller_use& caller_usage::acquire(const core::caller_id& caller) {
    caller_use& use = m_uses[caller];
    ++use.m_references;
    return use;
}

void caller_usage::charge(caller_use& use, core::duration used, core::time_point now) {
    if (half_lives(now - m_landmark) > max_exponent) {
        rebase(now);
    }
    const double seconds = std::chrono::duration<double>(used).count();
    use.m_scaled = std::max(0.0, use.m_scaled + seconds * std::exp2(half_lives(now - m_landmark)));
}

void caller_usage::rebase(core::time_point now) {
    const double factor = std::exp2(-half_lives(now - m_landmark));
    m_landmark = now;
    for (auto& [caller, use] : m_uses) {
        use.m_scaled *= factor;
    }
    std::erase_if(m_uses, [](const auto& item) {
        return item.second.m_references == 0 && item.second.m_scaled < negligible_use;
    });
}

} // namespace mangoquay::admission
