// Record of a soak run: a folder with the logs of all processes and a file with one line per event. Time
// stamps use the format of the processes' own logs so that both can be merged.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace mangoquay::soak {

using steady_clock = std::chrono::steady_clock;
using steady_time = steady_clock::time_point;
using std::chrono::milliseconds;

// The present time of day as HH:MM:SS.mmm.
std::string time_of_day();
std::int64_t unix_milliseconds();
void sleep_for(milliseconds duration);
// The text on one line: bytes outside printable ASCII as \xNN, and cut if it is very long.
std::string to_printable(const std::string& text);

class run_record {
public:
    explicit run_record(std::uint64_t seed);
    ~run_record() = default;
    run_record(const run_record&) = delete;
    run_record& operator=(const run_record&) = delete;
    run_record(run_record&&) = delete;
    run_record& operator=(run_record&&) = delete;

    void write(const std::string& text);
    // The last lines, over all logs of the folder, that contain `text`.
    [[nodiscard]] std::vector<std::string> lines_that_name(const std::string& text, std::size_t count) const;
    [[nodiscard]] const std::filesystem::path& folder() const { return m_folder; }
    [[nodiscard]] std::uint64_t seed() const { return m_seed; }

private:
    std::uint64_t m_seed;
    std::filesystem::path m_folder;
    std::mutex m_mutex;
    std::ofstream m_file; // Guarded by m_mutex.
};

} // namespace mangoquay::soak
