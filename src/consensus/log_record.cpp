// Encodes records and distinguishes a torn tail from a damaged log.
#include "consensus/log_record.h"

#include "wire/mangoquay_generated.h"

#include <boost/crc.hpp>

namespace mangoquay::consensus {
namespace {

constexpr std::uint32_t record_magic = 0x314c514d; // "MQL1"

std::uint32_t crc32c(std::string_view bytes) {
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> sum;
    sum.process_bytes(bytes.data(), bytes.size());
    return sum.checksum();
}

void append_uint32(std::string& bytes, std::uint32_t number) {
    for (unsigned shift = 0; shift < 32; shift += 8) {
        bytes.push_back(static_cast<char>(number >> shift));
    }
}

std::uint32_t read_uint32(std::string_view bytes, std::size_t offset) {
    std::uint32_t number = 0;
    for (unsigned byte = 0; byte < 4; ++byte) {
        number |= static_cast<std::uint32_t>(static_cast<std::uint8_t>(bytes[offset + byte])) << (8 * byte);
    }
    return number;
}

struct parsed_record {
    std::uint64_t m_synced_bytes = 0;
    std::size_t m_bytes = 0; // Size of the record, including its header.
    log_entry m_entry;       // Index 0 denotes a sync marker.
};

std::optional<parsed_record> parse_record(std::string_view bytes) {
    const auto body = unframe_record(bytes);
    if (!body) {
        return std::nullopt;
    }
    const auto* data = reinterpret_cast<const std::uint8_t*>(body->data());
    flatbuffers::Verifier verifier(data, body->size());
    if (!verifier.VerifyBuffer<wire::raft_record>(nullptr)) {
        return std::nullopt;
    }
    const auto* record = flatbuffers::GetRoot<wire::raft_record>(data);
    parsed_record parsed{record->batch_start(), record_header_bytes + body->size(), {}};
    if (const auto* entry = record->entry()) {
        parsed.m_entry.m_index = record->index();
        parsed.m_entry.m_term = raft_term(entry->term());
        parsed.m_entry.m_kind = static_cast<entry_kind>(entry->kind());
        if (const auto* payload = entry->payload()) {
            parsed.m_entry.m_payload.assign(payload->begin(), payload->end());
        }
    }
    return parsed;
}

std::string encode(const wire::raft_recordT& record) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::raft_record::Pack(builder, &record));
    return frame_record({reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()});
}

// Returns whether any record after offset `damaged` was written when the log had been synced past that
// offset.
bool was_synced(std::string_view bytes, std::size_t damaged) {
    std::string magic;
    append_uint32(magic, record_magic);
    for (std::size_t at = bytes.find(magic, damaged + 1); at != std::string_view::npos;
         at = bytes.find(magic, at + 1)) {
        const auto later = parse_record(bytes.substr(at));
        if (later && later->m_synced_bytes > damaged) {
            return true;
        }
    }
    return false;
}

// Appends an entry and drops existing entries from its index on. Returns false when an entry before this one
// is missing.
bool add_entry(std::vector<log_entry>& entries, log_entry added) {
    if (entries.empty()) {
        entries.push_back(std::move(added));
        return true;
    }
    if (added.m_index > entries.back().m_index + 1 || added.m_index < entries.front().m_index) {
        return false;
    }
    entries.resize(added.m_index - entries.front().m_index);
    entries.push_back(std::move(added));
    return true;
}

} // namespace

std::string frame_record(std::string_view body) {
    std::string framed;
    framed.reserve(record_header_bytes + body.size());
    append_uint32(framed, record_magic);
    append_uint32(framed, static_cast<std::uint32_t>(body.size()));
    append_uint32(framed, crc32c(body));
    framed.append(body);
    return framed;
}

std::optional<std::string_view> unframe_record(std::string_view bytes) {
    if (bytes.size() < record_header_bytes || read_uint32(bytes, 0) != record_magic) {
        return std::nullopt;
    }
    const std::size_t length = read_uint32(bytes, 4);
    const std::string_view body = bytes.substr(record_header_bytes);
    if (body.size() < length || crc32c(body.substr(0, length)) != read_uint32(bytes, 8)) {
        return std::nullopt;
    }
    return body.substr(0, length);
}

std::string encode_record(const log_entry& entry, std::uint64_t synced_bytes) {
    wire::raft_recordT record;
    record.batch_start = synced_bytes;
    record.index = entry.m_index;
    record.entry = std::make_unique<wire::raft_entryT>();
    record.entry->term = entry.m_term.value();
    record.entry->kind = static_cast<std::uint8_t>(entry.m_kind);
    record.entry->payload.assign(entry.m_payload.begin(), entry.m_payload.end());
    return encode(record);
}

std::string encode_sync_marker(std::uint64_t synced_bytes) {
    wire::raft_recordT record;
    record.batch_start = synced_bytes;
    return encode(record);
}

core::result<scanned_log> scan_log(std::string_view bytes) {
    using outcome = core::result<scanned_log>;
    scanned_log scanned;
    while (scanned.m_intact_bytes < bytes.size()) {
        const std::size_t at = scanned.m_intact_bytes;
        auto record = parse_record(bytes.substr(at));
        if (!record) {
            if (was_synced(bytes, at)) {
                return outcome::failure("log is damaged at byte " + std::to_string(at) +
                                        ": later records prove that this record had been synced");
            }
            break;
        }
        const log_index index = record->m_entry.m_index;
        if (index != 0 && !add_entry(scanned.m_entries, std::move(record->m_entry))) {
            return outcome::failure("log has a gap before entry " + std::to_string(index) + " at byte " +
                                    std::to_string(at));
        }
        scanned.m_intact_bytes += record->m_bytes;
    }
    return scanned;
}

} // namespace mangoquay::consensus
