// Whole files that are read at once and replaced atomically.
#pragma once

#include "consensus/raft_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::consensus {

// An absent file is an empty optional, any other error a failure.
core::result<std::optional<std::string>> read_file(const std::string& path);
// Writes a temporary file in the same folder, syncs it, renames it to `name` and syncs the folder.
status replace_file(const std::string& folder, const std::string& name, std::string_view content);
status write_all(int file, std::string_view bytes, std::uint64_t offset);
// "cannot <action> <path>: <text of errno>"
std::string system_error(const std::string& action, const std::string& path);

} // namespace mangoquay::consensus
