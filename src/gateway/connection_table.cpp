// Counts open and active connections under one lock.
#include "gateway/connection_table.h"

#include <netinet/in.h>
#include <sys/socket.h>

namespace mangoquay::gateway {

std::string connection_key(const sockaddr* client) {
    if (client == nullptr) {
        return {};
    }
    const std::size_t size = client->sa_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
    return {reinterpret_cast<const char*>(client), size};
}

void connection_table::on_connection_opened(const std::string& connection) {
    const std::lock_guard lock(m_mutex);
    if (++m_open > m_limit) {
        m_over_limit.insert(connection);
    }
}

void connection_table::on_connection_closed(const std::string& connection) {
    const std::lock_guard lock(m_mutex);
    --m_open;
    m_over_limit.erase(connection);
    m_active.erase(connection);
}

void connection_table::on_request_started(const std::string& connection) {
    const std::lock_guard lock(m_mutex);
    m_active.insert(connection);
}

void connection_table::on_request_finished(const std::string& connection) {
    const std::lock_guard lock(m_mutex);
    m_active.erase(connection);
}

bool connection_table::exceeds_limit(const std::string& connection) const {
    const std::lock_guard lock(m_mutex);
    return m_over_limit.contains(connection);
}

bool connection_table::idle() const {
    const std::lock_guard lock(m_mutex);
    return m_active.empty();
}

std::size_t connection_table::size() const {
    const std::lock_guard lock(m_mutex);
    return m_open;
}

} // namespace mangoquay::gateway
