// Reads whole files and replaces them atomically and durably.
#pragma once

#include "consensus/raft_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::consensus {

// Returns the content of the file. A file that does not exist gives an empty optional; any other error is a
// failure.
core::result<std::optional<std::string>> read_file(const std::string& path);
// Writes a temporary file in the same folder, syncs it, renames it to `name` and syncs the folder. When it
// succeeds, the new content is durable; when it fails, the file has either its old or its new content.
status replace_file(const std::string& folder, const std::string& name, std::string_view content);
// Creates the folder and its missing parents. When it succeeds, all of them are durable.
status create_folder(const std::string& folder);
// Writes all bytes to the open file descriptor at `offset` and retries after partial writes. Does not sync.
status write_all(int file, std::string_view bytes, std::uint64_t offset);
// Returns "cannot <action> <path>: <text of errno>".
std::string system_error(const std::string& action, const std::string& path);

} // namespace mangoquay::consensus
