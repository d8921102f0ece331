// Blocking sockets on loopback, lines and HTTP calls for the stand-ins of the review's scripts.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

std::optional<address> parse_address(const std::string& text);

// A connected socket. Reads lines that end with CR LF or LF.
class stream {
public:
    explicit stream(int socket) : m_socket(socket) {}
    ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    bool is_open() const { return m_socket >= 0; }
    bool send(const std::string& bytes);
    // Nothing at the deadline or at the end of the connection; ended() tells which.
    std::optional<std::string> read_line(steady::time_point deadline);
    std::optional<std::string> read_bytes(std::size_t count, steady::time_point deadline);
    bool ended() const { return m_ended; }
    // Reads no faster than this from now on; 0: no limit.
    void set_rate(std::size_t bytes_per_s) { m_bytes_per_s = bytes_per_s; }
    std::size_t received_bytes() const { return m_received_bytes; }
    // Unblocks a reader in another thread.
    void shut();

private:
    bool fill(steady::time_point deadline);

    int m_socket;
    std::string m_received;
    bool m_ended = false;
    std::size_t m_bytes_per_s = 0;
    std::size_t m_received_bytes = 0;
};

// A socket whose connection was refused or didn't open in time is -1. With a small window little of what the
// reader hasn't read yet lies in the buffers of the operating system.
int connect_to(const address& target, milliseconds limit, bool small_window = false);

// Accepts connections until it is closed; each one is served on its own thread. Closing ends them all.
class listener {
public:
    listener(const address& at, std::function<void(stream&)> serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    bool is_listening() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> m_state;
};

struct http_request {
    std::string method;
    std::string path;
    std::string head;
    std::string body;
};
std::optional<http_request> read_http(stream& peer, milliseconds limit);
// The value of a header, whose name is given in lower case.
std::string header(const std::string& head, const std::string& name);

struct http_answer {
    int status = 0; // 0: no response.
    std::string body;
};
// Follows a 307 twice.
http_answer call_http(const address& target, const std::string& method, const std::string& path,
                      const std::string& body, milliseconds limit);

// The text of a string member of a flat JSON object; empty if absent.
std::string json_text(const std::string& body, const std::string& member);

std::vector<std::string> split(const std::string& text, std::size_t most);

// A folder-wide record of what was sent, answered and run.
class record {
public:
    explicit record(const std::string& file);
    void write(const std::string& line);
    double elapsed_s() const;

private:
    std::mutex m_mutex;
    int m_file;
    steady::time_point m_start = steady::now();
};

} // namespace review
