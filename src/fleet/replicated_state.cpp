// Encoding of assignments, copies and snapshots.
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

std::unique_ptr<wire::copy_entryT> to_wire(const core::service_name& service,
                                           const promotion::endpoint_incarnation& copy,
                                           const promotion::copy_record& record) {
    auto entry = std::make_unique<wire::copy_entryT>();
    entry->service = service.value();
    entry->endpoint = copy.m_endpoint.value();
    entry->started_ms = copy.m_started_ms;
    entry->stage = static_cast<std::uint8_t>(record.m_stage);
    entry->host = record.m_address.m_host;
    entry->port = record.m_address.m_port;
    return entry;
}

void apply_copy(promotion::copy_list& copies, const wire::copy_entryT& entry) {
    const core::service_name service(entry.service);
    const promotion::endpoint_incarnation copy{core::endpoint_id(entry.endpoint), entry.started_ms};
    // A stage of a later program version counts like a copy that may receive commits.
    const auto stage = entry.stage <= static_cast<std::uint8_t>(promotion::copy_stage::released)
                           ? static_cast<promotion::copy_stage>(entry.stage)
                           : promotion::copy_stage::receiving;
    if (stage != promotion::copy_stage::forgotten) {
        copies[service][copy] = {stage, {entry.host, entry.port}};
        return;
    }
    const auto found = copies.find(service);
    if (found != copies.end() && found->second.erase(copy) > 0 && found->second.empty()) {
        copies.erase(found);
    }
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
    for (const auto& entry : state.copies) {
        apply_copy(m_copies, *entry);
    }
    if (!state.document.empty()) {
        m_documents.apply(std::string(state.document.begin(), state.document.end()));
    }
    return assigned;
}

std::vector<core::service_name> replicated_state::install(std::string_view snapshot) {
    m_primaries.clear();
    m_copies.clear();
    m_quota_holders.clear();
    return apply(snapshot);
}

std::string replicated_state::encode_snapshot() const {
    std::string document = documents::document_register::encode(m_documents.version(), m_documents.bytes());
    if (m_primaries.empty() && m_copies.empty() && m_quota_holders.empty()) {
        return document;
    }
    wire::assigned_stateT state;
    state.assignments = to_wire(m_primaries);
    state.document.assign(document.begin(), document.end());
    for (const core::entry_host_id& host : m_quota_holders) {
        state.quota_holders.push_back(host.value());
    }
    for (const auto& [service, copies] : m_copies) {
        for (const auto& [copy, record] : copies) {
            state.copies.push_back(to_wire(service, copy, record));
        }
    }
    return encode(state);
}

std::string replicated_state::encode_copies(const std::vector<promotion::copy_change>& changes) {
    wire::assigned_stateT state;
    for (const promotion::copy_change& change : changes) {
        state.copies.push_back(to_wire(change.m_service, change.m_copy, change.m_record));
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
