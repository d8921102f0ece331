// Raft messages between control hosts and their wire encoding.
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
    hello, // A host without a leader announces itself and its disk.
    hello_reply,
};

inline constexpr auto last_message_kind = message_kind::hello_reply;

// Meaning of the fields by kind:
//
// - pre_vote, vote: m_index and m_log_term describe the candidate's last entry.
// - append: m_index and m_log_term describe the entry before m_entries; m_commit is the commit index.
// - append_reply: m_granted tells whether the logs match. If they do, m_index is the last matching synced
//   entry. If not, m_index is the index to retry at and m_offset the rejected index.
// - snapshot: m_index and m_log_term describe the last entry covered; m_members is the membership at that
//   entry; m_state holds the bytes from m_offset on, of m_total bytes.
// - snapshot_reply: m_index is the index of the snapshot, m_offset the offset of the next byte needed.
// - hello: m_granted tells whether the sender's data folder is empty; m_members are the initial hosts of its
//   settings, as voters without a disk; m_term and m_round echo the last hello_reply of a leader; m_offset is
//   the number of this hello.
// - hello_reply: m_granted tells whether the sender's data folder is empty and its initial hosts are those of
//   the hello; m_round is the leader's heartbeat round, or 0 from a host that is not the leader; m_offset
//   echoes the number of the hello.
//
// m_round numbers the heartbeat rounds of one leader and the vote requests of a candidate; replies echo it.
struct raft_message {
    message_kind m_kind = message_kind::append;
    disk_id m_from_disk;
    disk_id m_to_disk; // Empty means any disk of the host.
    raft_term m_term;
    log_index m_index = 0;
    raft_term m_log_term;
    log_index m_commit = 0;
    std::vector<log_entry> m_entries; // The indexes follow m_index without a gap.
    bool m_granted = false;
    std::uint64_t m_round = 0;
    membership m_members;
    std::string m_state;
    std::uint64_t m_offset = 0;
    std::uint64_t m_total = 0;

    friend bool operator==(const raft_message&, const raft_message&) = default;
};

wire::raft_messageT to_wire(const raft_message& message);
// Fails when a kind is unknown or members cannot be decoded.
core::result<raft_message> from_wire(const wire::raft_messageT& message);

} // namespace mangoquay::consensus
