// The data folder of one control host: log, snapshot, term, vote and disk id.
//
// Files: `lock` (held with flock), `hard_state`, `snapshot`, `log`. `hard_state` and `snapshot` are replaced
// atomically (temporary file, fsync, rename, fsync of the folder). `log` is a sequence of records that is
// only appended to; a record with an index that is already stored replaces everything from that index on. The
// file is rewritten without old entries after a snapshot.
//
// A damaged record in the log is a torn tail, which is cut off, unless a record after it proves that it had
// been synced (see log_record.h): then the folder is refused.
#pragma once

#include "consensus/raft_types.h"

#include <memory>
#include <string>
#include <vector>

namespace mangoquay::consensus {

class durable_log {
public:
    // Creates the folder and a new disk id when there are none. Fails when another process holds the folder
    // or when its content is damaged.
    static core::result<std::unique_ptr<durable_log>> open(const std::string& folder);
    ~durable_log();
    durable_log(const durable_log&) = delete;
    durable_log& operator=(const durable_log&) = delete;
    durable_log(durable_log&&) = delete;
    durable_log& operator=(durable_log&&) = delete;

    // What was found by open(); to be taken once.
    [[nodiscard]] recovered_state take_recovered() { return std::move(m_recovered); }

    // Written, but counts only after sync().
    status append(const std::vector<log_entry>& entries);
    status sync();
    // The following are durable when they return.
    status save_hard_state(const hard_state& state);
    // The stored log becomes `kept`.
    status save_snapshot(const snapshot& taken, const std::vector<log_entry>& kept);
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
    std::uint64_t m_log_bytes = 0;   // of the log file
    std::uint64_t m_synced_bytes = 0; // bytes of the log file known to be durable
    disk_id m_disk;
    recovered_state m_recovered;
};

} // namespace mangoquay::consensus
