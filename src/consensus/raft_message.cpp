// Converts Raft messages to and from their wire encoding.
#include "consensus/raft_message.h"

namespace mangoquay::consensus {
namespace {

std::unique_ptr<wire::raft_entryT> to_wire_entry(const log_entry& entry) {
    auto encoded = std::make_unique<wire::raft_entryT>();
    encoded->term = entry.m_term.value();
    encoded->kind = static_cast<std::uint8_t>(entry.m_kind);
    encoded->payload.assign(entry.m_payload.begin(), entry.m_payload.end());
    return encoded;
}

} // namespace

wire::raft_messageT to_wire(const raft_message& message) {
    wire::raft_messageT encoded;
    encoded.kind = static_cast<std::uint8_t>(message.m_kind);
    encoded.from_disk = message.m_from_disk.value();
    encoded.to_disk = message.m_to_disk.value();
    encoded.term = message.m_term.value();
    encoded.index = message.m_index;
    encoded.log_term = message.m_log_term.value();
    encoded.commit = message.m_commit;
    for (const log_entry& entry : message.m_entries) {
        encoded.entries.push_back(to_wire_entry(entry));
    }
    encoded.granted = message.m_granted;
    encoded.round = message.m_round;
    if (message.m_members != membership{}) {
        const std::string members = encode_membership(message.m_members);
        encoded.members.assign(members.begin(), members.end());
    }
    encoded.snapshot.assign(message.m_state.begin(), message.m_state.end());
    encoded.offset = message.m_offset;
    encoded.total = message.m_total;
    return encoded;
}

core::result<raft_message> from_wire(const wire::raft_messageT& message) {
    if (message.kind > static_cast<std::uint8_t>(last_message_kind)) {
        return core::result<raft_message>::failure("unknown Raft message kind");
    }
    raft_message decoded;
    decoded.m_kind = static_cast<message_kind>(message.kind);
    decoded.m_from_disk = disk_id(message.from_disk);
    decoded.m_to_disk = disk_id(message.to_disk);
    decoded.m_term = raft_term(message.term);
    decoded.m_index = message.index;
    decoded.m_log_term = raft_term(message.log_term);
    decoded.m_commit = message.commit;
    log_index index = message.index;
    for (const auto& entry : message.entries) {
        if (entry->kind > static_cast<std::uint8_t>(entry_kind::members)) {
            return core::result<raft_message>::failure("unknown log entry kind");
        }
        decoded.m_entries.push_back({raft_term(entry->term), ++index, static_cast<entry_kind>(entry->kind),
                                     std::string(entry->payload.begin(), entry->payload.end())});
        if (decoded.m_entries.back().m_kind == entry_kind::members &&
            !decode_membership(decoded.m_entries.back().m_payload)) {
            return core::result<raft_message>::failure("cannot decode the members of a log entry");
        }
    }
    decoded.m_granted = message.granted;
    decoded.m_round = message.round;
    if (!message.members.empty()) {
        const auto* bytes = reinterpret_cast<const char*>(message.members.data());
        auto members = decode_membership({bytes, message.members.size()});
        if (!members) {
            return core::result<raft_message>::failure(members.reason());
        }
        decoded.m_members = *members;
    }
    decoded.m_state.assign(message.snapshot.begin(), message.snapshot.end());
    decoded.m_offset = message.offset;
    decoded.m_total = message.total;
    return decoded;
}

} // namespace mangoquay::consensus
