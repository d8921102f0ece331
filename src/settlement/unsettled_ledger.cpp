// Registration of the open writes of business days.
#include "settlement/unsettled_ledger.h"

namespace mangoquay::settlement {

std::optional<write_ticket> unsettled_ledger::begin_write(const control::control_state& view,
                                                          const control::day_key& key,
                                                          const core::endpoint_id& endpoint,
                                                          core::owner_epoch epoch) {
    if (view.m_days.contains(key)) {
        return std::nullopt;
    }
    const write_ticket ticket{++m_last_ticket};
    m_open[ticket] = {key, endpoint, epoch};
    return ticket;
}

bool unsettled_ledger::may_acknowledge(const control::control_state& view, write_ticket ticket) const {
    const auto write = m_open.find(ticket);
    if (write == m_open.end()) {
        return false;
    }
    const auto day = view.m_days.find(write->second.m_key);
    const auto endpoint = view.m_endpoints.find(write->second.m_endpoint);
    const bool settled = day != view.m_days.end() && day->second.m_phase == control::day_phase::settled;
    return !settled && endpoint != view.m_endpoints.end() &&
           endpoint->second.m_owner_epoch == write->second.m_epoch;
}

void unsettled_ledger::end_write(write_ticket ticket) {
    m_open.erase(ticket);
}

void unsettled_ledger::end_all_at(const core::endpoint_id& endpoint) {
    std::erase_if(m_open, [&](const auto& write) { return write.second.m_endpoint == endpoint; });
}

std::vector<membership::unsettled_day> unsettled_ledger::unsettled_days() const {
    std::map<control::day_key, std::uint32_t> counts;
    for (const auto& [ticket, write] : m_open) {
        ++counts[write.m_key];
    }
    std::vector<membership::unsettled_day> days;
    days.reserve(counts.size());
    for (const auto& [key, writes] : counts) {
        days.push_back({key, writes});
    }
    return days;
}

} // namespace mangoquay::settlement
