// Lookups of routes and services in a configuration document.
#include "documents/configuration.h"

#include <algorithm>

namespace mangoquay::documents {

const route_rule* configuration::find_route(std::string_view database) const {
    const auto found = std::ranges::find(m_routes, database, &route_rule::m_database);
    return found == m_routes.end() ? nullptr : &*found;
}

const service_rule* configuration::find_service(const core::service_name& name) const {
    const auto found = std::ranges::find(m_services, name, &service_rule::m_name);
    return found == m_services.end() ? nullptr : &*found;
}

bool needs_primary_lease(const service_rule& service, bool executor_fences) {
    return !executor_fences || service.m_synchronous_replicas > 0;
}

} // namespace mangoquay::documents
