// Writes the record file and searches the logs.
#include "soak/run_record.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace mangoquay::soak {

std::int64_t unix_milliseconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::string time_of_day() {
    const std::int64_t now = unix_milliseconds();
    const std::time_t seconds = now / 1000;
    std::tm parts{};
    localtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%02d:%02d:%02d.%03d", parts.tm_hour, parts.tm_min, parts.tm_sec,
                  static_cast<int>(now % 1000));
    return text.data();
}

void sleep_for(milliseconds duration) {
    std::this_thread::sleep_for(duration);
}

std::string to_printable(const std::string& text) {
    constexpr std::size_t longest_line = 2000;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string printable;
    for (const char character : text.substr(0, longest_line)) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte >= ' ' && byte <= '~') {
            printable += character;
        } else {
            printable.append("\\x").append(1, digits.at(byte >> 4U)).append(1, digits.at(byte & 15U));
        }
    }
    return printable;
}

run_record::run_record(std::uint64_t seed) : m_seed(seed) {
    std::string pattern = (std::filesystem::temp_directory_path() / "mangoquay-soak-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create the folder of the run");
    }
    m_folder = pattern;
    m_file.open(m_folder / "record.log");
    write("seed " + std::to_string(seed));
}

void run_record::write(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    m_file << time_of_day() << " " << to_printable(text) << std::endl;
}

std::vector<std::string> run_record::lines_that_name(const std::string& text, std::size_t count) const {
    std::vector<std::string> found;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(m_folder)) {
        if (entry.path().extension() != ".log") {
            continue;
        }
        std::ifstream log(entry.path());
        for (std::string line; std::getline(log, line);) {
            if (line.find(text) != std::string::npos) {
                line = to_printable(line) + "  [" + entry.path().stem().string() + "]";
                found.push_back(std::move(line));
            }
        }
    }
    std::ranges::sort(found);
    if (found.size() > count) {
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(count));
    }
    return found;
}

} // namespace mangoquay::soak
