// Blocking sockets of the soak: listeners, connections that read lines, and single HTTP calls.
#pragma once

#include "soak/run_record.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mangoquay::soak {

struct ip_endpoint {
    std::string m_ip;
    std::uint16_t m_port = 0;

    friend bool operator==(const ip_endpoint&, const ip_endpoint&) = default;
};
std::string to_text(const ip_endpoint& where);
std::optional<ip_endpoint> parse_ip_endpoint(const std::string& text);

// One TCP connection. Only one thread reads and writes; any thread may call shut_down() and reset().
class connection {
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    static std::unique_ptr<connection> open(const ip_endpoint& target, milliseconds limit);
    [[nodiscard]] bool send(const std::string& text) const;
    // Sends the first `cut` bytes, and the rest after a pause, so that the peer reads them apart.
    [[nodiscard]] bool send_in_parts(const std::string& text, std::size_t cut, milliseconds pause) const;
    // The next line without CR LF; nothing at the deadline and at the end of the connection.
    std::optional<std::string> read_line(steady_time deadline);
    // Exactly `size` bytes; nothing if they do not arrive.
    std::optional<std::string> read_bytes(std::size_t size, steady_time deadline);
    // True if the peer closed or sent something; does not wait.
    [[nodiscard]] bool is_disturbed() const;
    [[nodiscard]] bool has_ended() const { return m_ended; }
    void shut_down() const;
    // Makes the close send a reset.
    void reset() const;

private:
    bool receive(steady_time deadline);
    int m_socket;
    bool m_ended = false;
    std::string m_received;
};

// Accepts connections in a thread and serves each in a thread of its own. stop() returns after all have
// ended.
class listener {
public:
    using serve_function = std::function<void(connection&)>;
    // Throws std::runtime_error if the address cannot be bound.
    listener(const ip_endpoint& where, serve_function serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    listener(listener&&) = delete;
    listener& operator=(listener&&) = delete;

    void stop();
    // Resets all present connections; the listener goes on.
    void reset_connections();

private:
    struct state;
    void accept_connections();
    int m_socket = -1;
    std::shared_ptr<state> m_state;
    std::thread m_thread;
};

struct http_request {
    std::string m_method;
    std::string m_path;
    std::vector<std::string> m_head;
    std::string m_body;
};
struct http_answer {
    int m_status = 0; // 0 without a complete answer.
    std::string m_body;
    std::string m_location;
};
http_answer call_http(const ip_endpoint& target, const std::string& method, const std::string& path,
                      const std::string& body, milliseconds limit);
std::optional<http_request> read_http_request(connection& from, steady_time deadline);
std::string head_field(const std::vector<std::string>& head, const std::string& name);

} // namespace mangoquay::soak
