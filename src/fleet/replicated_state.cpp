// Encoding of assignments and snapshots.
#include "fleet/replicated_state.h"

#include "wire/mangoquay_generated.h"

#include <algorithm>

namespace mangoquay::fleet {
namespace {

// Version 0 in the encoding of documents::document_register.
constexpr std::string_view assignment_prefix("\0\0\0\0\0\0\0\0", 8);

std::vector<std::unique_ptr<wire::primary_assignmentT>>
to_wire(const primary_leases::primary_list& primaries) {
    std::vector<std::unique_ptr<wire::primary_assignmentT>> assignments;
    for (const auto& [service, endpoint] : primaries) {
        auto assignment = std::make_unique<wire::primary_assignmentT>();
        assignment->service = service.value();
        assignment->endpoint = endpoint.value();
        assignments.push_back(std::move(assignment));
    }
    return assignments;
}

std::string encode(const wire::assigned_stateT& state) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::assigned_state::Pack(builder, &state));
    std::string bytes(assignment_prefix);
    bytes.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
    return bytes;
}

} // namespace

std::vector<core::service_name> replicated_state::apply(std::string_view entry) {
    if (entry.size() <= assignment_prefix.size() || !entry.starts_with(assignment_prefix)) {
        m_documents.apply(entry);
        return {};
    }
    // Copied, because the verifier requires alignment.
    const std::string body(entry.substr(assignment_prefix.size()));
    const auto* data = reinterpret_cast<const std::uint8_t*>(body.data());
    flatbuffers::Verifier verifier(data, body.size());
    if (!verifier.VerifyBuffer<wire::assigned_state>(nullptr)) {
        return {};
    }
    wire::assigned_stateT state;
    flatbuffers::GetRoot<wire::assigned_state>(data)->UnPackTo(&state);
    std::vector<core::service_name> assigned;
    for (const auto& assignment : state.assignments) {
        assigned.emplace_back(assignment->service);
        m_primaries[assigned.back()] = core::endpoint_id(assignment->endpoint);
    }
    for (const std::string& host : state.quota_holders) {
        m_quota_holders.emplace(host);
    }
    for (const std::string& host : state.former_quota_holders) {
        m_quota_holders.erase(core::entry_host_id(host));
    }
    if (!state.document.empty()) {
        m_documents.apply(std::string(state.document.begin(), state.document.end()));
    }
    return assigned;
}

std::string replicated_state::encode_snapshot() const {
    std::string document = documents::document_register::encode(m_documents.version(), m_documents.bytes());
    if (m_primaries.empty() && m_quota_holders.empty()) {
        return document;
    }
    wire::assigned_stateT state;
    state.assignments = to_wire(m_primaries);
    state.document.assign(document.begin(), document.end());
    for (const core::entry_host_id& host : m_quota_holders) {
        state.quota_holders.push_back(host.value());
    }
    return encode(state);
}

std::string replicated_state::encode_assignment(const core::service_name& service,
                                                const core::endpoint_id& endpoint) {
    wire::assigned_stateT state;
    state.assignments = to_wire({{service, endpoint}});
    return encode(state);
}

std::string replicated_state::encode_quota_holder(const core::entry_host_id& host, bool holds) {
    wire::assigned_stateT state;
    (holds ? state.quota_holders : state.former_quota_holders).push_back(host.value());
    return encode(state);
}

} // namespace mangoquay::fleet
