// Stores the persistent Raft state of one control host in its data folder: log, snapshot, term, vote and disk
// id.
//
// Files: `lock` (held with flock), `hard_state`, `snapshot`, `log`. `hard_state` and `snapshot` are replaced
// atomically (temporary file, fsync, rename, fsync of the folder). `log` is an append-only sequence of
// records. A record whose index is already stored replaces that entry and all entries after it. The file is
// rewritten without old entries after a snapshot.
//
// A damaged record in the log is treated as a torn tail and truncated, unless a later record proves that it
// had been synced (see log_record.h). In that case opening the folder fails.
#pragma once

#include "consensus/raft_types.h"

#include <memory>
#include <string>
#include <vector>

namespace mangoquay::consensus {

class durable_log {
public:
    // Opens and locks the folder and recovers its content. Creates the folder and a new disk id if they do
    // not exist. Fails when another process has locked the folder or when its content is damaged.
    static core::result<std::unique_ptr<durable_log>> open(const std::string& folder);
    ~durable_log();
    durable_log(const durable_log&) = delete;
    durable_log& operator=(const durable_log&) = delete;
    durable_log(durable_log&&) = delete;
    durable_log& operator=(durable_log&&) = delete;

    // Moves out the state that open() recovered. May be called once.
    [[nodiscard]] recovered_state take_recovered() { return std::move(m_recovered); }

    // Appends the entries to the log file. They are durable only after sync() has succeeded.
    status append(const std::vector<log_entry>& entries);
    status sync();
    // The following three functions make their change durable before they return.
    status save_hard_state(const hard_state& state);
    // Replaces the stored log by `kept`.
    status save_snapshot(const snapshot& taken, const std::vector<log_entry>& kept);
    // Replaces the stored snapshot and clears the log.
    status install_snapshot(const snapshot& received);

private:
    explicit durable_log(std::string folder) : m_folder(std::move(folder)) {}

    status lock();
    status recover();
    status initialize_hard_state();
    status recover_hard_state();
    status recover_snapshot();
    status recover_log();
    status open_log();
    status write(const std::string& records);
    status rewrite_log(const std::vector<log_entry>& entries);
    [[nodiscard]] std::string path(const char* file) const { return m_folder + "/" + file; }

    std::string m_folder;
    int m_lock_fd = -1;
    int m_log_fd = -1;
    std::uint64_t m_log_bytes = 0;    // Size of the log file.
    std::uint64_t m_synced_bytes = 0; // Number of bytes of the log file that are durable.
    disk_id m_disk;
    recovered_state m_recovered;
};

} // namespace mangoquay::consensus
