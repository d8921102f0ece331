// Records the files and folders that this program syncs, which tells what a loss of power would leave.
#pragma once

#include <set>
#include <string>

namespace mangoquay::test {

// Records from its construction on. Only one may exist at a time.
class recorded_syncs {
public:
    recorded_syncs();
    ~recorded_syncs();
    recorded_syncs(const recorded_syncs&) = delete;
    recorded_syncs& operator=(const recorded_syncs&) = delete;
    recorded_syncs(recorded_syncs&&) = delete;
    recorded_syncs& operator=(recorded_syncs&&) = delete;

    // Paths as they were when they were synced.
    [[nodiscard]] static std::set<std::string> paths();
};

} // namespace mangoquay::test
