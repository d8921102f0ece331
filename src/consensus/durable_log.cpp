// Recovers the content of a data folder and writes to it.
#include "consensus/durable_log.h"

#include "consensus/atomic_file.h"
#include "consensus/log_record.h"
#include "consensus/raft_log.h"
#include "core/log.h"
#include "wire/mangoquay_generated.h"

#include <gnutls/crypto.h>

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace mangoquay::consensus {
namespace {

constexpr const char* lock_file = "lock";
constexpr const char* hard_state_file = "hard_state";
constexpr const char* snapshot_file = "snapshot";
constexpr const char* log_file = "log";

core::result<disk_id> generate_disk_id() {
    std::array<std::uint8_t, 16> random{};
    if (gnutls_rnd(GNUTLS_RND_NONCE, random.data(), random.size()) != 0) {
        return core::result<disk_id>::failure("cannot generate random bytes for a disk id");
    }
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : random) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xfU]);
    }
    return disk_id(text);
}

template <class Table>
std::string encode_framed(const typename Table::NativeTableType& content) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &content));
    return frame_record({reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()});
}

// Returns null when the checksum or the encoding is invalid.
template <class Table>
std::unique_ptr<typename Table::NativeTableType> decode_framed(std::string_view bytes) {
    const auto body = unframe_record(bytes);
    if (!body) {
        return nullptr;
    }
    const auto* data = reinterpret_cast<const std::uint8_t*>(body->data());
    flatbuffers::Verifier verifier(data, body->size());
    if (!verifier.VerifyBuffer<Table>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<typename Table::NativeTableType>(flatbuffers::GetRoot<Table>(data)->UnPack());
}

std::string encode_snapshot(const snapshot& state) {
    wire::raft_snapshotT encoded;
    encoded.index = state.m_index;
    encoded.term = state.m_term.value();
    const std::string members = encode_membership(state.m_members);
    encoded.members.assign(members.begin(), members.end());
    encoded.state.assign(state.m_state.begin(), state.m_state.end());
    return encode_framed<wire::raft_snapshot>(encoded);
}

} // namespace

core::result<std::unique_ptr<durable_log>> durable_log::open(const std::string& folder) {
    using outcome = core::result<std::unique_ptr<durable_log>>;
    if (auto created = create_folder(folder); !created) {
        return outcome::failure("data folder " + folder + ": " + created.reason());
    }
    std::unique_ptr<durable_log> opened(new durable_log(folder));
    if (auto locked = opened->lock(); !locked) {
        return outcome::failure(locked.reason());
    }
    if (auto recovered = opened->recover(); !recovered) {
        return outcome::failure("data folder " + folder + ": " + recovered.reason());
    }
    return opened;
}

durable_log::~durable_log() {
    if (m_log_fd >= 0) {
        ::close(m_log_fd);
    }
    if (m_lock_fd >= 0) {
        ::close(m_lock_fd);
    }
}

status durable_log::lock() {
    m_lock_fd = ::open(path(lock_file).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lock_fd < 0) {
        return status::failure(system_error("open", path(lock_file)));
    }
    if (::flock(m_lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return errno == EWOULDBLOCK
                   ? status::failure("data folder " + m_folder + " is used by another process")
                   : status::failure(system_error("lock", path(lock_file)));
    }
    return std::monostate{};
}

status durable_log::recover() {
    if (auto done = recover_snapshot(); !done) {
        return done;
    }
    if (auto done = recover_log(); !done) {
        return done;
    }
    if (auto done = recover_hard_state(); !done) {
        return done;
    }
    m_recovered.m_disk = m_disk;
    return std::monostate{};
}

status durable_log::recover_hard_state() {
    const auto content = read_file(path(hard_state_file));
    if (!content) {
        return status::failure(content.reason());
    }
    if (!content->has_value()) {
        return initialize_hard_state();
    }
    const auto decoded = decode_framed<wire::raft_hard_state>(**content);
    if (!decoded || decoded->disk.empty()) {
        return status::failure("hard_state is damaged: its checksum or content is invalid");
    }
    m_disk = disk_id(decoded->disk);
    m_recovered.m_hard_state.m_term = raft_term(decoded->term);
    if (decoded->vote) {
        m_recovered.m_hard_state.m_vote = {core::entry_host_id(decoded->vote->host),
                                           disk_id(decoded->vote->disk)};
    }
    return std::monostate{};
}

status durable_log::initialize_hard_state() {
    if (m_log_bytes != 0 || m_recovered.m_snapshot.m_index != 0) {
        return status::failure("hard_state is missing, but a log or a snapshot exists");
    }
    auto generated = generate_disk_id();
    if (!generated) {
        return status::failure(generated.reason());
    }
    m_disk = *generated;
    return save_hard_state({});
}

status durable_log::recover_snapshot() {
    const auto content = read_file(path(snapshot_file));
    if (!content) {
        return status::failure(content.reason());
    }
    if (!content->has_value()) {
        return std::monostate{};
    }
    const auto decoded = decode_framed<wire::raft_snapshot>(**content);
    if (!decoded) {
        return status::failure("snapshot is damaged: its checksum or content is invalid");
    }
    auto members =
        decode_membership({reinterpret_cast<const char*>(decoded->members.data()), decoded->members.size()});
    if (!members) {
        return status::failure("snapshot is damaged: " + members.reason());
    }
    m_recovered.m_snapshot = {decoded->index, raft_term(decoded->term), std::move(*members),
                              std::string(decoded->state.begin(), decoded->state.end())};
    return std::monostate{};
}

status durable_log::recover_log() {
    const auto content = read_file(path(log_file));
    if (!content) {
        return status::failure(content.reason());
    }
    const bool started = std::filesystem::exists(path(hard_state_file));
    if (!content->has_value()) {
        // The log file is created before hard_state. A folder with hard_state but without a log has therefore
        // lost its log and must not be treated as new.
        return started ? status::failure("log is missing") : rewrite_log({});
    }
    auto scanned = scan_log(**content);
    if (!scanned) {
        return status::failure(scanned.reason());
    }
    const snapshot& base = m_recovered.m_snapshot;
    if (!scanned->m_entries.empty() && scanned->m_entries.front().m_index > base.m_index + 1) {
        return status::failure("log begins at entry " + std::to_string(scanned->m_entries.front().m_index) +
                               ", but the snapshot ends at " + std::to_string(base.m_index));
    }
    const bool superseded = !scanned->m_entries.empty() && !continues_snapshot(base, scanned->m_entries);
    if (superseded) {
        return rewrite_log({});
    }
    m_recovered.m_entries = std::move(scanned->m_entries);
    if (auto opened = open_log(); !opened) {
        return opened;
    }
    const std::uint64_t torn = (*content)->size() - scanned->m_intact_bytes;
    if (torn != 0) {
        core::log_line(core::log_level::warning, "consensus",
                       "truncated a torn tail of the log bytes=" + std::to_string(torn));
        if (::ftruncate(m_log_fd, static_cast<off_t>(scanned->m_intact_bytes)) != 0) {
            return status::failure(system_error("truncate", path(log_file)));
        }
    }
    m_log_bytes = scanned->m_intact_bytes;
    return sync();
}

status durable_log::open_log() {
    const int opened = ::open(path(log_file).c_str(), O_RDWR | O_CLOEXEC);
    if (opened < 0) {
        return status::failure(system_error("open", path(log_file)));
    }
    if (m_log_fd >= 0) {
        ::close(m_log_fd);
    }
    m_log_fd = opened;
    return std::monostate{};
}

status durable_log::write(const std::string& records) {
    auto written = write_all(m_log_fd, records, m_log_bytes);
    m_log_bytes += written ? records.size() : 0;
    return written;
}

status durable_log::append(const std::vector<log_entry>& entries) {
    std::string records;
    for (const log_entry& entry : entries) {
        records += encode_record(entry, m_synced_bytes);
    }
    return write(records);
}

status durable_log::sync() {
    if (::fdatasync(m_log_fd) != 0) {
        return status::failure(system_error("sync", path(log_file)));
    }
    if (m_synced_bytes == m_log_bytes) {
        return std::monostate{};
    }
    m_synced_bytes = m_log_bytes;
    return write(encode_sync_marker(m_synced_bytes));
}

status durable_log::rewrite_log(const std::vector<log_entry>& entries) {
    std::string records;
    for (const log_entry& entry : entries) {
        // The whole file is synced before it replaces the log, so each record may mark all records before it
        // as synced.
        records += encode_record(entry, records.size());
    }
    if (!entries.empty()) {
        records += encode_sync_marker(records.size());
    }
    if (auto replaced = replace_file(m_folder, log_file, records); !replaced) {
        return replaced;
    }
    m_log_bytes = records.size();
    m_synced_bytes = records.size();
    return open_log();
}

status durable_log::save_hard_state(const hard_state& state) {
    wire::raft_hard_stateT encoded;
    encoded.disk = m_disk.value();
    encoded.term = state.m_term.value();
    encoded.vote = std::make_unique<wire::raft_memberT>();
    encoded.vote->host = state.m_vote.m_host.value();
    encoded.vote->disk = state.m_vote.m_disk.value();
    return replace_file(m_folder, hard_state_file, encode_framed<wire::raft_hard_state>(encoded));
}

status durable_log::save_snapshot(const snapshot& taken, const std::vector<log_entry>& kept) {
    if (auto saved = replace_file(m_folder, snapshot_file, encode_snapshot(taken)); !saved) {
        return saved;
    }
    return rewrite_log(kept);
}

status durable_log::install_snapshot(const snapshot& received) {
    return save_snapshot(received, {});
}

} // namespace mangoquay::consensus
