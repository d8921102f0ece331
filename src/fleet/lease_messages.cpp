// Conversion and forwarding of the messages of primary leases.
#include "fleet/lease_messages.h"

#include <algorithm>
#include <utility>

namespace mangoquay::fleet {

wire::primary_lease_requestT to_wire(const primary_leases::lease_request& request) {
    wire::primary_lease_requestT message;
    message.number = request.m_number.value();
    message.list_term = request.m_applied.m_term.value();
    message.list_number = request.m_applied.m_number.value();
    return message;
}

primary_leases::lease_request from_wire(const wire::primary_lease_requestT& message) {
    return {
        primary_leases::request_number(message.number),
        {primary_leases::leader_term(message.list_term), primary_leases::list_number(message.list_number)}};
}

wire::primary_lease_grantT to_wire(const primary_leases::lease_grant& grant) {
    wire::primary_lease_grantT message;
    message.number = grant.m_number.value();
    message.list_term = grant.m_version.m_term.value();
    message.list_number = grant.m_version.m_number.value();
    message.lease_ms = static_cast<std::uint32_t>(grant.m_length.count());
    message.has_list = grant.m_primaries.has_value();
    if (grant.m_primaries) {
        for (const auto& [service, endpoint] : *grant.m_primaries) {
            auto assignment = std::make_unique<wire::primary_assignmentT>();
            assignment->service = service.value();
            assignment->endpoint = endpoint.value();
            message.assignments.push_back(std::move(assignment));
        }
    }
    return message;
}

primary_leases::lease_grant from_wire(const wire::primary_lease_grantT& message) {
    // A longer lease than the leader waits for would be unsafe, whatever the message says.
    const core::milliseconds length =
        std::min(core::milliseconds(message.lease_ms), primary_leases::lease_length);
    primary_leases::lease_grant grant{
        primary_leases::request_number(message.number),
        {primary_leases::leader_term(message.list_term), primary_leases::list_number(message.list_number)},
        length,
        std::nullopt};
    if (message.has_list) {
        grant.m_primaries.emplace();
        for (const auto& assignment : message.assignments) {
            (*grant.m_primaries)[core::service_name(assignment->service)] =
                core::endpoint_id(assignment->endpoint);
        }
    }
    return grant;
}

std::optional<wire::primary_lease_requestT> forwarded_request(const core::entry_host_id& from,
                                                              const wire::primary_lease_requestT& request) {
    if (request.path.size() >= max_forwarding_hosts) {
        return std::nullopt;
    }
    wire::primary_lease_requestT forwarded = request;
    forwarded.path.push_back(from.value());
    return forwarded;
}

std::optional<forwarded_grant> next_hop(const wire::primary_lease_grantT& grant) {
    if (grant.path.empty()) {
        return std::nullopt;
    }
    forwarded_grant next{core::entry_host_id(grant.path.back()), grant};
    next.m_grant.path.pop_back();
    return next;
}

} // namespace mangoquay::fleet
