// A temporary folder that its destructor removes with its contents.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace mangoquay::test {

class temporary_folder {
public:
    temporary_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "mangoquay-test-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        m_path = pattern;
    }
    ~temporary_folder() { std::filesystem::remove_all(m_path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    temporary_folder(temporary_folder&&) = delete;
    temporary_folder& operator=(temporary_folder&&) = delete;

    [[nodiscard]] const std::filesystem::path& path() const { return m_path; }

    // Writes a file in the folder and returns its path.
    [[nodiscard]] std::filesystem::path write(const std::string& name, const std::string& text) const {
        std::ofstream(m_path / name, std::ios::binary) << text;
        return m_path / name;
    }

private:
    std::filesystem::path m_path;
};

} // namespace mangoquay::test
