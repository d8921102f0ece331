// Uses POSIX calls, because durability requires fsync of files and folders.
#include "consensus/atomic_file.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace mangoquay::consensus {
namespace {

class file_descriptor {
public:
    file_descriptor(const std::string& path, int flags)
        : m_file(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
    ~file_descriptor() {
        if (m_file >= 0) {
            ::close(m_file);
        }
    }
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;
    file_descriptor(file_descriptor&&) = delete;
    file_descriptor& operator=(file_descriptor&&) = delete;

    [[nodiscard]] int get() const { return m_file; }

private:
    int m_file;
};

status sync_folder(const std::string& folder) {
    const file_descriptor directory(folder, O_RDONLY | O_DIRECTORY);
    if (directory.get() < 0 || ::fsync(directory.get()) != 0) {
        return status::failure(system_error("sync", folder));
    }
    return std::monostate{};
}

} // namespace

std::string system_error(const std::string& action, const std::string& path) {
    return "cannot " + action + " " + path + ": " + std::strerror(errno);
}

core::result<std::optional<std::string>> read_file(const std::string& path) {
    using outcome = core::result<std::optional<std::string>>;
    const file_descriptor file(path, O_RDONLY);
    if (file.get() < 0) {
        return errno == ENOENT ? outcome(std::nullopt) : outcome::failure(system_error("open", path));
    }
    std::string content;
    std::array<char, 65536> buffer{};
    while (true) {
        const ssize_t count = ::read(file.get(), buffer.data(), buffer.size());
        if (count == 0) {
            return std::optional(std::move(content));
        }
        if (count < 0 && errno != EINTR) {
            return outcome::failure(system_error("read", path));
        }
        content.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
}

status write_all(int file, std::string_view bytes, std::uint64_t offset) {
    while (!bytes.empty()) {
        const ssize_t count = ::pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
        if (count < 0 && errno != EINTR) {
            return status::failure(system_error("write", "file"));
        }
        const auto written = static_cast<std::size_t>(std::max<ssize_t>(count, 0));
        bytes.remove_prefix(written);
        offset += written;
    }
    return std::monostate{};
}

status replace_file(const std::string& folder, const std::string& name, std::string_view content) {
    const std::string target = folder + "/" + name;
    const std::string temporary = target + ".new";
    {
        const file_descriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
        if (file.get() < 0) {
            return status::failure(system_error("create", temporary));
        }
        if (auto written = write_all(file.get(), content, 0); !written) {
            return written;
        }
        if (::fsync(file.get()) != 0) {
            return status::failure(system_error("sync", temporary));
        }
    }
    if (::rename(temporary.c_str(), target.c_str()) != 0) {
        return status::failure(system_error("rename", temporary));
    }
    return sync_folder(folder); // The rename is durable only after this.
}

status create_folder(const std::string& folder) {
    std::error_code error;
    const std::filesystem::path path = std::filesystem::absolute(folder, error).lexically_normal();
    if (!error && std::filesystem::is_directory(path, error)) {
        // An earlier process may have created it and ended before it was synced.
        return sync_folder(path.parent_path());
    }
    // A parent that exists belongs to the platform, which may not permit to sync it.
    if (!std::filesystem::is_directory(path.parent_path(), error)) {
        if (auto parent = create_folder(path.parent_path()); !parent) {
            return parent;
        }
    }
    if (::mkdir(path.c_str(), 0777) != 0 && errno != EEXIST) {
        return status::failure(system_error("create", folder));
    }
    return sync_folder(path.parent_path());
}

} // namespace mangoquay::consensus
