// Looks up versions.
#include "soak/configuration_history.h"

namespace mangoquay::soak {

void configuration_history::add(sent_configuration added) {
    const std::lock_guard lock(m_mutex);
    const document_version version = added.m_version;
    m_versions.emplace(version, std::move(added));
}

void configuration_history::mark_sent(document_version version) {
    const std::lock_guard lock(m_mutex);
    auto& sent = m_versions.at(version).m_sent;
    sent = sent ? sent : steady_clock::now();
}

void configuration_history::mark_acknowledged(document_version version) {
    const std::lock_guard lock(m_mutex);
    auto& acknowledged = m_versions.at(version).m_acknowledged;
    acknowledged = acknowledged ? acknowledged : steady_clock::now();
}

document_version configuration_history::acknowledged_at(steady_time time) const {
    const std::lock_guard lock(m_mutex);
    document_version newest(0);
    for (const auto& [version, configuration] : m_versions) {
        if (configuration.m_acknowledged && *configuration.m_acknowledged <= time) {
            newest = version;
        }
    }
    return newest;
}

document_version configuration_history::newest_acknowledged() const {
    return acknowledged_at(steady_clock::now());
}

std::string configuration_history::body_of(document_version version) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_versions.find(version);
    return found == m_versions.end() ? std::string() : found->second.m_body;
}

route_map configuration_history::newest_routes() const {
    const std::lock_guard lock(m_mutex);
    return m_versions.empty() ? route_map{} : m_versions.rbegin()->second.m_routes;
}

std::optional<document_version> configuration_history::explaining_version(const std::string& database,
                                                                          const handled_by& handled,
                                                                          document_version oldest) const {
    const std::lock_guard lock(m_mutex);
    for (auto at = m_versions.lower_bound(oldest); at != m_versions.end(); ++at) {
        const auto route = at->second.m_routes.find(database);
        const handled_by expected =
            route == at->second.m_routes.end() ? std::nullopt : handled_by(route->second);
        if (at->second.m_sent && expected == handled) {
            return at->first;
        }
    }
    return std::nullopt;
}

} // namespace mangoquay::soak
