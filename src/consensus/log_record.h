// Checksummed records: the form of everything in a data folder. Pure functions over bytes.
//
// A sealed record is: magic, length of the body, CRC32C of the body (4 bytes each, little endian), body. The
// body of a log record names the file offset up to which the log was synced when it was written.
#pragma once

#include "consensus/raft_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::consensus {

inline constexpr std::size_t record_header_bytes = 12;

std::string frame_record(std::string_view body);
// The body of the record at the start of `bytes`; empty when it is cut short or its checksum is wrong.
std::optional<std::string_view> unframe_record(std::string_view bytes);

// `synced`: bytes at the start of the log that were durable before this record is written.
std::string encode_record(const log_entry& entry, std::uint64_t synced_bytes);
// Written after a sync: contains no entry, but shows that everything before it is synced.
std::string encode_sync_marker(std::uint64_t synced_bytes);

struct scanned_log {
    std::vector<log_entry> m_entries;
    std::uint64_t m_intact_bytes = 0; // the rest is a torn tail
};

// Fails when a damaged record had been synced, which a later record proves, and when indexes have a gap.
core::result<scanned_log> scan_log(std::string_view bytes);

} // namespace mangoquay::consensus
