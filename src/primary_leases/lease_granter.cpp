// Grants, withdrawals and the end of leases.
#include "primary_leases/lease_granter.h"

#include <algorithm>
#include <utility>

namespace mangoquay::primary_leases {

void lease_granter::start_leading(leader_term term, primary_list assigned, core::time_point now) {
    m_leads = true;
    m_term = term;
    m_number = list_number(1);
    m_earlier_leases_end = core::deadline_after(now, longest_lease);
    m_assigned = std::move(assigned);
    m_withdrawn.clear();
    m_holders.clear();
}

void lease_granter::stop_leading() {
    m_leads = false;
    m_withdrawn.clear();
    m_holders.clear();
}

void lease_granter::assign(const core::service_name& service, const core::endpoint_id& endpoint) {
    m_assigned[service] = endpoint;
    advance_list();
}

void lease_granter::withdraw(const core::service_name& service) {
    if (!m_withdrawn.contains(service)) {
        advance_list();
        m_withdrawn[service] = {m_number, false};
    }
}

void lease_granter::restore(const core::service_name& service) {
    if (m_withdrawn.erase(service) > 0) {
        advance_list();
    }
}

void lease_granter::on_stepped_down(const core::service_name& service, const core::endpoint_id& endpoint) {
    if (assigned(service) == endpoint) {
        withdraw(service);
        m_withdrawn[service].m_stepped_down = true;
    }
}

std::optional<core::endpoint_id> lease_granter::assigned(const core::service_name& service) const {
    const auto found = m_assigned.find(service);
    return found == m_assigned.end() ? std::nullopt : std::optional(found->second);
}

std::size_t lease_granter::waiting_for(const core::service_name& service, core::time_point now) const {
    const auto found = m_withdrawn.find(service);
    if (found == m_withdrawn.end() || found->second.m_stepped_down || !m_assigned.contains(service)) {
        return 0;
    }
    const auto current = std::ranges::count_if(m_holders, [&](const auto& one) {
        return !one.second.m_end.passed(now) && one.second.m_applied < found->second.m_number;
    });
    return static_cast<std::size_t>(current) + (m_earlier_leases_end.passed(now) ? 0 : 1);
}

bool lease_granter::leases_ended(const core::service_name& service, core::time_point now) const {
    return m_leads && m_withdrawn.contains(service) && waiting_for(service, now) == 0;
}

primary_list lease_granter::listed() const {
    primary_list list = m_assigned;
    std::erase_if(list, [this](const auto& one) { return m_withdrawn.contains(one.first); });
    return list;
}

std::optional<lease_grant> lease_granter::on_request(const core::entry_host_id& host,
                                                     const lease_request& request, core::time_point now) {
    if (!m_leads) {
        return std::nullopt;
    }
    std::erase_if(m_holders, [now](const auto& one) { return one.second.m_end.passed(now); });
    holder& record = m_holders[host];
    record.m_end = core::deadline_after(now, longest_lease);
    // A restarted host applies no list, so the number may decrease.
    record.m_applied = request.m_applied.m_term == m_term ? request.m_applied.m_number : list_number();
    lease_grant grant{request.m_number, version(), lease_length, std::nullopt};
    if (request.m_applied != version()) {
        grant.m_primaries = listed();
    }
    return grant;
}

lease_grant lease_granter::announcement() const {
    return {request_number(), version(), core::milliseconds(0), listed()};
}

std::vector<core::entry_host_id> lease_granter::current_holders(core::time_point now) const {
    std::vector<core::entry_host_id> hosts;
    for (const auto& [host, record] : m_holders) {
        if (!record.m_end.passed(now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

bool lease_granter::may_hold_lease(const core::entry_host_id& host, core::time_point now) const {
    const auto found = m_holders.find(host);
    return !m_earlier_leases_end.passed(now) ||
           (found != m_holders.end() && !found->second.m_end.passed(now));
}

} // namespace mangoquay::primary_leases
