// Format of the checksummed records in a data folder. All functions are pure and operate on bytes.
//
// A framed record consists of a magic number, the length of the body, the CRC32C of the body (4 bytes each,
// little endian) and the body. The body of a log record contains the file offset up to which the log was
// synced when the record was written.
#pragma once

#include "consensus/raft_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::consensus {

inline constexpr std::size_t record_header_bytes = 12;

// Prepends the record header to the body.
std::string frame_record(std::string_view body);
// Returns the body of the record at the start of `bytes`, or nothing when the record is truncated or its
// magic number or checksum is invalid.
std::optional<std::string_view> unframe_record(std::string_view bytes);

// Encodes a log record. `synced_bytes` is the number of bytes at the start of the log that are durable before
// this record is written.
std::string encode_record(const log_entry& entry, std::uint64_t synced_bytes);
// Encodes the record that is written after a sync. It contains no entry and marks the first `synced_bytes`
// bytes of the log as synced.
std::string encode_sync_marker(std::uint64_t synced_bytes);

struct scanned_log {
    std::vector<log_entry> m_entries;
    std::uint64_t m_intact_bytes = 0; // Length of the valid prefix; the rest is a torn tail.
};

// Decodes the content of a log file. Fails when a later record proves that a damaged record had been synced,
// and when there is a gap in the indexes.
core::result<scanned_log> scan_log(std::string_view bytes);

} // namespace mangoquay::consensus
