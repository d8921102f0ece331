// Keeps the entries, the memberships and the snapshot consistent with each other.
#include "consensus/raft_log.h"

#include <algorithm>

namespace mangoquay::consensus {

bool continues_snapshot(const snapshot& base, const std::vector<log_entry>& entries) {
    if (entries.empty() || entries.back().m_index < base.m_index) {
        return false;
    }
    const log_index first = entries.front().m_index;
    return first > base.m_index || entries[base.m_index - first].m_term == base.m_term;
}

raft_log::raft_log(snapshot base, std::vector<log_entry> entries) {
    reset(std::move(base));
    if (!continues_snapshot(m_snapshot, entries)) {
        return;
    }
    m_first = entries.front().m_index;
    for (log_entry& entry : entries) {
        append(std::move(entry));
    }
}

std::optional<raft_term> raft_log::term_at(log_index index) const {
    if (index == 0) {
        return raft_term{};
    }
    if (index >= m_first && index <= last_index()) {
        return at(index).m_term;
    }
    if (index == m_snapshot.m_index) {
        return m_snapshot.m_term;
    }
    return std::nullopt;
}

std::vector<log_entry> raft_log::slice(log_index from, std::size_t max_bytes) const {
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
    for (log_index index = from; index <= last_index(); ++index) {
        // Adds 32 bytes per entry, so that a message with many small entries stays within the limit.
        bytes += at(index).m_payload.size() + 32;
        if (!entries.empty() && bytes > max_bytes) {
            break;
        }
        entries.push_back(at(index));
    }
    return entries;
}

const membership& raft_log::members_at(log_index index) const {
    return std::prev(m_memberships.upper_bound(index))->second;
}

void raft_log::append(log_entry entry) {
    // The snapshot already includes the memberships of entries at or before its end.
    if (entry.m_kind == entry_kind::members && entry.m_index > m_snapshot.m_index) {
        if (auto members = decode_membership(entry.m_payload)) {
            m_memberships[entry.m_index] = std::move(*members);
        }
    }
    m_entries.push_back(std::move(entry));
}

void raft_log::truncate_from(log_index from) {
    while (!m_entries.empty() && m_entries.back().m_index >= from) {
        m_entries.pop_back();
    }
    m_memberships.erase(m_memberships.lower_bound(from), m_memberships.end());
}

void raft_log::reset(snapshot base) {
    m_entries.clear();
    m_first = base.m_index + 1;
    m_memberships.clear();
    m_memberships[base.m_index] = base.m_members;
    m_snapshot = std::move(base);
}

void raft_log::compact(snapshot base, std::uint64_t kept) {
    const log_index first_kept = base.m_index > kept ? base.m_index - kept + 1 : 1;
    while (!m_entries.empty() && m_entries.front().m_index < first_kept) {
        m_entries.pop_front();
        ++m_first;
    }
    m_memberships.erase(m_memberships.begin(), m_memberships.upper_bound(base.m_index));
    m_memberships[base.m_index] = base.m_members;
    m_snapshot = std::move(base);
}

} // namespace mangoquay::consensus
