// Lease messages of a control host.
#include "fleet/lease_service.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace mangoquay::fleet {

lease_service::lease_service(transport::message_bus& bus, proposer propose, lease_check holds_lease,
                             leader_source other_leader)
    : m_bus(bus), m_propose(std::move(propose)), m_holds_lease(std::move(holds_lease)),
      m_other_leader(std::move(other_leader)),
      m_authority(static_cast<primary_leases::authority_ports&>(*this)) {
    m_bus.set_handler<wire::primary_lease_requestT>(
        [this](const auto& from, const auto& request) { on_request_received(from, request); });
    m_bus.set_handler<wire::primary_lease_grantT>([this](const auto&, const auto& grant) {
        if (auto next = next_hop(grant)) {
            m_bus.send(next->m_to, std::move(next->m_grant));
        }
    });
}

void lease_service::on_request_received(const core::entry_host_id& from,
                                        const wire::primary_lease_requestT& request) {
    if (m_holds_lease() != m_authority.granter().version().m_term) {
        const auto leader = m_other_leader();
        auto forwarded = forwarded_request(from, request);
        if (leader && forwarded) {
            m_bus.send(*leader, std::move(*forwarded));
        }
        return;
    }
    std::vector<std::string> path = request.path;
    path.push_back(from.value());
    const core::entry_host_id host(path.front());
    if (const auto grant = m_authority.on_request(host, from_wire(request), core::now())) {
        ++m_granted_count;
        m_paths[host] = std::move(path);
        send_grant(host, *grant);
    }
}

void lease_service::send_grant(const core::entry_host_id& host, const primary_leases::lease_grant& grant) {
    wire::primary_lease_grantT message = to_wire(grant);
    message.path = m_paths.at(host);
    if (auto next = next_hop(message)) {
        m_bus.send(next->m_to, std::move(next->m_grant));
    }
}

void lease_service::announce_list() {
    const primary_leases::lease_granter& granter = m_authority.granter();
    const std::vector<core::entry_host_id> holders = granter.current_holders(core::now());
    std::erase_if(m_paths, [&holders](const auto& one) {
        return std::ranges::find(holders, one.first) == holders.end();
    });
    for (const core::entry_host_id& host : holders) {
        send_grant(host, granter.announcement());
    }
}

void lease_service::record_event(const std::string& text) {
    core::log_line(core::log_level::info, "primary_leases", text);
}

} // namespace mangoquay::fleet
