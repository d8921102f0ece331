// The in-memory part of the log: all entries after the last compaction.
//
// Owns: the last snapshot, the entries and the memberships that they contain.
#pragma once

#include "consensus/raft_types.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace mangoquay::consensus {

// Returns whether the entries connect to the snapshot. This is false when a crash between installing a
// snapshot and rewriting the log left a log that ends before the snapshot or diverges from it. Such a log
// must be discarded.
bool continues_snapshot(const snapshot& base, const std::vector<log_entry>& entries);

class raft_log {
public:
    raft_log() = default;
    raft_log(snapshot base, std::vector<log_entry> entries);

    [[nodiscard]] log_index first_index() const { return m_first; } // Index of the first entry held.
    [[nodiscard]] log_index last_index() const { return m_first + m_entries.size() - 1; }
    [[nodiscard]] raft_term last_term() const { return *term_at(last_index()); }
    [[nodiscard]] bool empty() const { return last_index() == 0; }
    // Returns the term of an entry, or nothing when the entry has been compacted or does not exist yet. Index
    // 0 has term 0.
    [[nodiscard]] std::optional<raft_term> term_at(log_index index) const;
    [[nodiscard]] bool matches(log_index index, raft_term term) const { return term_at(index) == term; }
    // Requires first_index() <= index <= last_index().
    [[nodiscard]] const log_entry& at(log_index index) const { return m_entries[index - m_first]; }
    // Returns the entries from `from` on that fit into `max_bytes`, and at least one if there is one.
    [[nodiscard]] std::vector<log_entry> slice(log_index from, std::size_t max_bytes) const;

    // The newest membership in the log, committed or not, and its index (0 if there is none).
    [[nodiscard]] const membership& members() const { return m_memberships.rbegin()->second; }
    [[nodiscard]] log_index members_index() const { return m_memberships.rbegin()->first; }
    // Returns the membership in effect at an index.
    [[nodiscard]] const membership& members_at(log_index index) const;

    void append(log_entry entry);
    // Removes the entry at `from` and all entries after it.
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
