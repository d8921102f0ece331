// Messages between control hosts, and their form on the wire.
#pragma once

#include "consensus/raft_types.h"
#include "core/result.h"
#include "wire/mangoquay_generated.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mangoquay::consensus {

enum class message_kind : std::uint8_t {
    pre_vote,
    pre_vote_reply,
    vote,
    vote_reply,
    append,
    append_reply,
    snapshot,
    snapshot_reply,
    hello, // a host without a leader makes itself and its disk known
    hello_reply,
};

inline constexpr auto last_message_kind = message_kind::hello_reply;

// Meaning of the fields by kind:
//
// - pre_vote, vote: m_index and m_log_term are those of the candidate's last entry.
// - append: m_index and m_log_term are those of the entry before m_entries; m_commit.
// - append_reply: m_granted; m_index is the last matching synced entry, or where to retry when not granted.
// - snapshot: m_index and m_log_term are those of the last entry covered; m_members; m_state holds the bytes
//   from m_offset of m_total.
// - snapshot_reply: m_index is that of the snapshot, m_offset the next byte wanted.
// - hello: m_granted says that the sender's folder is empty; m_members are the hosts of its settings,
//   as voters without disk; m_round echoes the last hello_reply of a leader in m_term; m_offset is the
//   number of this hello.
// - hello_reply: m_granted says that the folder is empty and the listed hosts are the same; m_round;
//   m_offset echoes the number.
//
// m_round numbers the heartbeat rounds of one leader; replies echo it.
struct raft_message {
    message_kind m_kind = message_kind::append;
    disk_id m_from_disk;
    disk_id m_to_disk; // empty: for any disk of the host
    raft_term m_term;
    log_index m_index = 0;
    raft_term m_log_term;
    log_index m_commit = 0;
    std::vector<log_entry> m_entries; // their indexes follow m_index
    bool m_granted = false;
    std::uint64_t m_round = 0;
    membership m_members;
    std::string m_state;
    std::uint64_t m_offset = 0;
    std::uint64_t m_total = 0;

    friend bool operator==(const raft_message&, const raft_message&) = default;
};

wire::raft_messageT to_wire(const raft_message& message);
// Fails on an unknown kind and on members that cannot be decoded.
core::result<raft_message> from_wire(const wire::raft_messageT& message);

} // namespace mangoquay::consensus
