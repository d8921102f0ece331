// Tracks the open connections of the HTTP server and which of them have a request in progress. Thread-safe.
//
// Decides whether a connection exceeds the limit. Owns the counts. Connections are identified by the client's
// address and port, which is the only information that all of the server's callbacks receive.
#pragma once

#include <cstddef>
#include <mutex>
#include <string>
#include <unordered_set>

struct sockaddr;

namespace mangoquay::gateway {

// Returns the key of a connection, made of the client's address and port. Empty if `client` is null.
std::string connection_key(const sockaddr* client);

class connection_table {
public:
    explicit connection_table(std::size_t limit) : m_limit(limit) {}

    void on_connection_opened(const std::string& connection);
    void on_connection_closed(const std::string& connection);
    // The connection counts as active until on_request_finished(), which is called after the response was
    // sent.
    void on_request_started(const std::string& connection);
    void on_request_finished(const std::string& connection);

    [[nodiscard]] bool exceeds_limit(const std::string& connection) const;
    // Returns whether no connection has a request in progress.
    [[nodiscard]] bool idle() const;
    // Returns the number of open connections, including those over the limit.
    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_limit;
    mutable std::mutex m_mutex; // Guards all following members.
    std::size_t m_open = 0;
    std::unordered_set<std::string> m_over_limit;
    std::unordered_set<std::string> m_active;
};

} // namespace mangoquay::gateway
