// The part of the log held in memory: everything after the last compaction.
//
// Owns: the last snapshot, the entries, and the memberships that they contain.
#pragma once

#include "consensus/raft_types.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::consensus {

// False when a crash between installing a snapshot and rewriting the log left a log that ends before the
// snapshot or belongs to another history; that log is to be dropped.
bool continues_snapshot(const snapshot& base, const std::vector<log_entry>& entries);

class raft_log {
public:
    raft_log() = default;
    raft_log(snapshot base, std::vector<log_entry> entries);

    [[nodiscard]] log_index first_index() const { return m_first; } // of the entries held
    [[nodiscard]] log_index last_index() const { return m_first + m_entries.size() - 1; }
    [[nodiscard]] raft_term last_term() const { return *term_at(last_index()); }
    [[nodiscard]] bool empty() const { return last_index() == 0; }
    // Empty when the entry is not held any more or not there yet. Index 0 has term 0.
    [[nodiscard]] std::optional<raft_term> term_at(log_index index) const;
    [[nodiscard]] bool matches(log_index index, raft_term term) const { return term_at(index) == term; }
    // Needs first_index() <= index <= last_index().
    [[nodiscard]] const log_entry& at(log_index index) const { return m_entries[index - m_first]; }
    // From `from`, as many as fit into `most_bytes`, but at least one when there is one.
    [[nodiscard]] std::vector<log_entry> slice(log_index from, std::size_t max_bytes) const;

    // The newest membership in the log, committed or not, and its index (0 when there is none).
    [[nodiscard]] const membership& members() const { return m_memberships.rbegin()->second; }
    [[nodiscard]] log_index members_index() const { return m_memberships.rbegin()->first; }
    [[nodiscard]] const membership& members_at(log_index index) const;

    void append(log_entry entry);
    // Removes `from` and everything after it.
    void truncate_from(log_index from);

    [[nodiscard]] const snapshot& last_snapshot() const { return m_snapshot; }
    // Replaces the whole log by a snapshot.
    void reset(snapshot base);
    // Keeps the last `kept` entries before the end of the snapshot for followers that are slightly behind.
    void compact(snapshot base, std::uint64_t kept);

private:
    snapshot m_snapshot;
    log_index m_first = 1;
    std::deque<log_entry> m_entries;
    std::map<log_index, membership> m_memberships{{0, {}}};
};

} // namespace mangoquay::consensus
