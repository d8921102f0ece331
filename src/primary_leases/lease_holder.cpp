// Requests and their grants.
#include "primary_leases/lease_holder.h"

#include <algorithm>

namespace mangoquay::primary_leases {
namespace {

// The lease of an older request has ended before its grant could arrive.
constexpr std::size_t max_remembered_requests = 16;

} // namespace

lease_request lease_holder::next_request(core::time_point now) {
    m_last_number = request_number(m_last_number.value() + 1);
    m_sent.push_back({m_last_number, now});
    if (m_sent.size() > max_remembered_requests) {
        m_sent.pop_front();
    }
    return {m_last_number, m_version};
}

bool lease_holder::on_grant(const lease_grant& grant) {
    if (grant.m_version < m_version || (grant.m_version != m_version && !grant.m_primaries)) {
        return false;
    }
    bool changed = false;
    if (grant.m_primaries && grant.m_version != m_version) {
        // The lease of an earlier leader says nothing about the list of a later one.
        if (grant.m_version.m_term != m_version.m_term) {
            m_lease_end = {};
        }
        m_version = grant.m_version;
        m_primaries = *grant.m_primaries;
        changed = true;
    }
    const auto sent = std::ranges::find(m_sent, grant.m_number, &sent_request::m_number);
    if (sent != m_sent.end() && m_lease_end.m_at < sent->m_at + grant.m_length) {
        m_lease_end.m_at = sent->m_at + grant.m_length;
        changed = true;
    }
    return changed;
}

} // namespace mangoquay::primary_leases
