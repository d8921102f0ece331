// The open connections of the HTTP server and what they are doing. Called from all of the server's threads.
//
// Decides: whether a connection is beyond the limit. Owns: the counts. Connections are told apart by the
// client's address and port, which is all that the server's callbacks have in common.
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_set>

struct sockaddr;

namespace mangoquay::gateway {

std::string connection_key(const sockaddr* client);

class connection_table {
public:
    explicit connection_table(std::size_t limit) : m_limit(limit) {}

    void on_connection_opened(const std::string& connection);
    void on_connection_closed(const std::string& connection);
    // A request of the connection is handled, and then its response sent, until on_request_finished().
    void on_request_started(const std::string& connection);
    void on_request_finished(const std::string& connection);

    [[nodiscard]] bool exceeds_limit(const std::string& connection) const;
    [[nodiscard]] bool idle() const;
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_limit;
    mutable std::mutex m_mutex; // guards all below
    std::size_t m_open = 0;
    std::unordered_set<std::string> m_over_limit;
    std::unordered_set<std::string> m_active;
};

} // namespace mangoquay::gateway
