// Takes the place of the function of the C library in this program.
#include "support/recorded_syncs.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <filesystem>
#include <mutex>
#include <optional>

namespace mangoquay::test {
namespace {

std::mutex sync_mutex;
std::optional<std::set<std::string>> synced_paths; // Guarded by sync_mutex.

void record_sync(int file) {
    const std::lock_guard lock(sync_mutex);
    if (synced_paths) {
        std::error_code error;
        synced_paths->insert(
            std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(file), error).string());
    }
}

} // namespace

recorded_syncs::recorded_syncs() {
    const std::lock_guard lock(sync_mutex);
    synced_paths.emplace();
}

recorded_syncs::~recorded_syncs() {
    const std::lock_guard lock(sync_mutex);
    synced_paths.reset();
}

std::set<std::string> recorded_syncs::paths() {
    const std::lock_guard lock(sync_mutex);
    return synced_paths.value_or(std::set<std::string>{});
}

} // namespace mangoquay::test

extern "C" int fsync(int file) {
    mangoquay::test::record_sync(file);
    return static_cast<int>(::syscall(SYS_fsync, file));
}
