// Value types shared by the consensus code: members, log entries, snapshots and persistent state.
#pragma once

#include "core/ids.h"
#include "core/result.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mangoquay::consensus {

// Term number; increases with each election.
using raft_term = core::strong_value<struct raft_term_tag, std::uint64_t>;
// Random id generated when a data folder is created. A host that lost its disk therefore returns as a
// different member.
using disk_id = core::strong_value<struct disk_id_tag, std::string>;
// Position in the log; the first entry has index 1. This is a plain integer because raft_node does arithmetic
// with it.
using log_index = std::uint64_t;

// Success, or a failure with its reason.
using status = core::result<std::monostate>;

// A host together with its disk. An empty disk id denotes a host whose disk is not known yet; such a member
// never acknowledges anything.
struct member {
    core::entry_host_id m_host;
    disk_id m_disk;

    friend auto operator<=>(const member&, const member&) = default;
};

struct membership {
    std::set<member> m_voters;
    std::set<member> m_learners; // Members that receive the log and do not count toward a quorum.

    [[nodiscard]] bool is_voter(const member& candidate) const { return m_voters.contains(candidate); }
    [[nodiscard]] bool contains(const member& candidate) const {
        return m_voters.contains(candidate) || m_learners.contains(candidate);
    }
    [[nodiscard]] bool contains_host(const core::entry_host_id& host) const;
    [[nodiscard]] std::size_t quorum() const { return m_voters.size() / 2 + 1; }
    // Returns whether the two memberships differ by at most one voter, which is the condition for changing
    // directly from one to the other.
    [[nodiscard]] bool is_single_change(const membership& next) const;

    friend bool operator==(const membership&, const membership&) = default;
};

std::string encode_membership(const membership& members);
core::result<membership> decode_membership(std::string_view bytes);

enum class entry_kind : std::uint8_t {
    command, // The payload belongs to the state machine.
    no_op,   // Appended by a new leader; the payload is empty.
    members, // The payload is an encoded membership.
};

struct log_entry {
    raft_term m_term;
    log_index m_index = 0;
    entry_kind m_kind = entry_kind::command;
    std::string m_payload;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

struct snapshot {
    log_index m_index = 0; // Index of the last entry that the state includes; 0 means no snapshot.
    raft_term m_term;      // Term of that entry.
    membership m_members;  // Membership as of that entry.
    std::string m_state;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

struct hard_state {
    raft_term m_term;
    member m_vote; // An empty host means that no vote was cast in m_term.

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

// Content of a data folder when a process starts.
struct recovered_state {
    disk_id m_disk;
    hard_state m_hard_state;
    snapshot m_snapshot;
    std::vector<log_entry> m_entries; // Contiguous; may begin before the end of the snapshot.
};

} // namespace mangoquay::consensus
