// Lookups in the view of a service.
#pragma once

#include "promotion/promotion_core.h"

#include <algorithm>

namespace mangoquay::promotion {

// Null if the service has no endpoint of that id.
inline const registry::endpoint_report* find(const service_view& service, const core::endpoint_id& id) {
    const auto found = std::ranges::find(service.m_endpoints, id, &registry::endpoint_report::m_id);
    return found == service.m_endpoints.end() ? nullptr : &*found;
}

// Whether an endpoint other than the primary is ready.
inline bool has_successor(const service_view& service, const core::endpoint_id& primary) {
    return std::ranges::any_of(service.m_endpoints, [&](const registry::endpoint_report& report) {
        return report.m_id != primary && report.m_state == registry::report_state::ready;
    });
}

} // namespace mangoquay::promotion
