// Membership queries and the membership encoding.
#include "consensus/raft_types.h"

#include "wire/mangoquay_generated.h"

#include <algorithm>
#include <iterator>

namespace mangoquay::consensus {
namespace {

using wire_members = std::vector<std::unique_ptr<wire::raft_memberT>>;

wire_members to_wire_members(const std::set<member>& members) {
    wire_members encoded;
    for (const member& value : members) {
        auto entry = std::make_unique<wire::raft_memberT>();
        entry->host = value.m_host.value();
        entry->disk = value.m_disk.value();
        encoded.push_back(std::move(entry));
    }
    return encoded;
}

std::set<member> from_wire_members(const wire_members& members) {
    std::set<member> decoded;
    for (const auto& value : members) {
        decoded.insert({core::entry_host_id(value->host), disk_id(value->disk)});
    }
    return decoded;
}

} // namespace

bool membership::contains_host(const core::entry_host_id& host) const {
    const auto has_host = [&host](const member& value) { return value.m_host == host; };
    return std::ranges::any_of(m_voters, has_host) || std::ranges::any_of(m_learners, has_host);
}

bool membership::is_single_change(const membership& next) const {
    std::vector<member> changed;
    std::ranges::set_symmetric_difference(m_voters, next.m_voters, std::back_inserter(changed));
    return changed.size() <= 1;
}

std::string encode_membership(const membership& members) {
    wire::raft_membersT encoded;
    encoded.voters = to_wire_members(members.m_voters);
    encoded.learners = to_wire_members(members.m_learners);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::raft_members::Pack(builder, &encoded));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

core::result<membership> decode_membership(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::raft_members>(nullptr)) {
        return core::result<membership>::failure("cannot decode the members");
    }
    const std::unique_ptr<wire::raft_membersT> decoded(
        flatbuffers::GetRoot<wire::raft_members>(data)->UnPack());
    return membership{from_wire_members(decoded->voters), from_wire_members(decoded->learners)};
}

} // namespace mangoquay::consensus
