// Sockets and HTTP.
#include "soak/network.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <condition_variable>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace mangoquay::soak {
namespace {

constexpr std::size_t receive_bytes = 16384;
constexpr int backlog = 256;
constexpr milliseconds accept_poll{50};

sockaddr_in to_socket_address(const ip_endpoint& where) {
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(where.m_port);
    inet_pton(AF_INET, where.m_ip.c_str(), &converted.sin_addr);
    return converted;
}

int listen_on(const ip_endpoint& where) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = to_socket_address(where);
    const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    if (!bound || ::listen(socket, backlog) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot listen on " + to_text(where));
    }
    return socket;
}

bool wait_for(int socket, short events, steady_time deadline) {
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
    pollfd waiting{socket, events, 0};
    return ::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) == 1;
}

std::optional<std::vector<std::string>> read_head(connection& from, steady_time deadline) {
    std::vector<std::string> head;
    while (auto line = from.read_line(deadline)) {
        if (line->empty()) {
            return head;
        }
        head.push_back(std::move(*line));
    }
    return std::nullopt;
}

std::optional<std::string> read_body(connection& from, const std::vector<std::string>& head,
                                     steady_time deadline) {
    const std::string length = head_field(head, "content-length");
    return from.read_bytes(length.empty() ? 0 : std::stoul(length), deadline);
}

} // namespace

std::string to_text(const ip_endpoint& where) {
    return where.m_ip + ":" + std::to_string(where.m_port);
}

std::optional<ip_endpoint> parse_ip_endpoint(const std::string& text) {
    const auto colon = text.find(':');
    ip_endpoint parsed{text.substr(0, colon), 0};
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto result = std::from_chars(text.data() + colon + 1, text.data() + text.size(), parsed.m_port);
    return result.ec == std::errc{} ? std::optional(parsed) : std::nullopt;
}

connection::connection(int socket) : m_socket(socket) {
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection() {
    ::close(m_socket);
}

std::unique_ptr<connection> connection::open(const ip_endpoint& target, milliseconds limit) {
    const steady_time deadline = steady_clock::now() + limit;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto opened = std::make_unique<connection>(socket);
    const sockaddr_in address = to_socket_address(target);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        return nullptr;
    }
    int error = 0;
    socklen_t size = sizeof error;
    if (!wait_for(socket, POLLOUT, deadline) ||
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        return nullptr;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    return opened;
}

bool connection::send(const std::string& text) const {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(m_socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool connection::send_in_parts(const std::string& text, std::size_t cut, milliseconds pause) const {
    if (!send(text.substr(0, cut))) {
        return false;
    }
    if (cut < text.size()) {
        sleep_for(pause);
    }
    return cut >= text.size() || send(text.substr(cut));
}

bool connection::receive(steady_time deadline) {
    if (m_ended || !wait_for(m_socket, POLLIN, deadline)) {
        return false;
    }
    std::array<char, receive_bytes> buffer{};
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        m_ended = true;
        return false;
    }
    m_received.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> connection::read_line(steady_time deadline) {
    for (;;) {
        const auto end = m_received.find("\r\n");
        if (end != std::string::npos) {
            std::string line = m_received.substr(0, end);
            m_received.erase(0, end + 2);
            return line;
        }
        if (!receive(deadline)) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> connection::read_bytes(std::size_t size, steady_time deadline) {
    while (m_received.size() < size) {
        if (!receive(deadline)) {
            return std::nullopt;
        }
    }
    std::string bytes = m_received.substr(0, size);
    m_received.erase(0, size);
    return bytes;
}

bool connection::is_disturbed() const {
    return m_ended || !m_received.empty() || wait_for(m_socket, POLLIN, steady_clock::now());
}

void connection::shut_down() const {
    ::shutdown(m_socket, SHUT_RDWR);
}

void connection::reset() const {
    const linger discard{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    ::shutdown(m_socket, SHUT_RD);
}

struct listener::state {
    serve_function m_serve;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
    std::set<connection*> m_connections;
};

listener::listener(const ip_endpoint& where, serve_function serve)
    : m_socket(listen_on(where)), m_state(std::make_shared<state>()) {
    m_state->m_serve = std::move(serve);
    m_thread = std::thread([this] { accept_connections(); });
}

listener::~listener() {
    stop();
}

void listener::accept_connections() {
    for (;;) {
        const bool ready = wait_for(m_socket, POLLIN, steady_clock::now() + accept_poll);
        const std::lock_guard lock(m_state->m_mutex);
        if (m_state->m_stopped) {
            return;
        }
        const int socket = ready ? ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC) : -1;
        if (socket < 0) {
            continue;
        }
        auto accepted = std::make_unique<connection>(socket);
        m_state->m_connections.insert(accepted.get());
        std::thread([served = std::move(accepted), shared = m_state]() mutable {
            shared->m_serve(*served);
            const std::lock_guard ended(shared->m_mutex);
            shared->m_connections.erase(served.get());
            served.reset();
            shared->m_changed.notify_all();
        }).detach();
    }
}

void listener::stop() {
    {
        const std::lock_guard lock(m_state->m_mutex);
        if (std::exchange(m_state->m_stopped, true)) {
            return;
        }
        for (const connection* one : m_state->m_connections) {
            one->shut_down();
        }
    }
    m_thread.join();
    ::close(m_socket);
    std::unique_lock lock(m_state->m_mutex);
    m_state->m_changed.wait(lock, [this] { return m_state->m_connections.empty(); });
}

void listener::reset_connections() {
    const std::lock_guard lock(m_state->m_mutex);
    for (const connection* one : m_state->m_connections) {
        one->reset();
    }
}

std::string head_field(const std::vector<std::string>& head, const std::string& name) {
    for (const std::string& line : head) {
        const auto colon = line.find(':');
        const bool same =
            colon == name.size() &&
            std::equal(name.begin(), name.end(), line.begin(), [](unsigned char left, unsigned char right) {
                return std::tolower(left) == std::tolower(right);
            });
        if (same) {
            const auto begin = line.find_first_not_of(' ', colon + 1);
            return begin == std::string::npos ? std::string() : line.substr(begin);
        }
    }
    return {};
}

http_answer call_http(const ip_endpoint& target, const std::string& method, const std::string& path,
                      const std::string& body, milliseconds limit) {
    http_answer answer;
    const steady_time deadline = steady_clock::now() + limit;
    const auto opened = connection::open(target, limit);
    const std::string request =
        method + " " + path + " HTTP/1.1\r\nHost: " + to_text(target) +
        "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (opened == nullptr || !opened->send(request)) {
        return answer;
    }
    const auto head = read_head(*opened, deadline);
    const auto received = head && !head->empty() ? read_body(*opened, *head, deadline) : std::nullopt;
    if (received) {
        const auto blank = head->front().find(' ');
        answer.m_status = blank == std::string::npos ? 0 : std::atoi(head->front().c_str() + blank);
        answer.m_body = *received;
        answer.m_location = head_field(*head, "location");
    }
    return answer;
}

std::optional<http_request> read_http_request(connection& from, steady_time deadline) {
    auto head = read_head(from, deadline);
    if (!head || head->empty()) {
        return std::nullopt;
    }
    auto body = read_body(from, *head, deadline);
    const std::string& first = head->front();
    const auto blank = first.find(' ');
    if (!body || blank == std::string::npos) {
        return std::nullopt;
    }
    const auto end = first.find(' ', blank + 1);
    return http_request{first.substr(0, blank), first.substr(blank + 1, end - blank - 1), *head, *body};
}

} // namespace mangoquay::soak
