#include "net.h"

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

sockaddr_in to_sockaddr(const address& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

int wait_for(int socket, short events, steady::time_point deadline) {
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
    pollfd watched{socket, events, 0};
    return ::poll(&watched, 1, left < 0 ? 0 : static_cast<int>(std::min<long>(left + 1, 3'600'000)));
}

} // namespace

std::optional<address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    return address{text.substr(0, colon), static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

stream::~stream() {
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

void stream::shut() {
    if (m_socket >= 0) {
        ::shutdown(m_socket, SHUT_RDWR);
    }
}

bool stream::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (m_socket >= 0 && sent < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            m_ended = true;
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return m_socket >= 0;
}

bool stream::fill(steady::time_point deadline) {
    if (m_socket < 0 || m_ended || wait_for(m_socket, POLLIN, deadline) <= 0) {
        return false;
    }
    std::string buffer(m_bytes_per_s > 0 ? 4096 : 1 << 16, '\0');
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        m_ended = true;
        return false;
    }
    m_received.append(buffer, 0, static_cast<std::size_t>(count));
    m_received_bytes += static_cast<std::size_t>(count);
    if (m_bytes_per_s > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(count) /
                                                                  static_cast<double>(m_bytes_per_s)));
    }
    return true;
}

std::optional<std::string> stream::read_line(steady::time_point deadline) {
    std::size_t searched = 0;
    for (;;) {
        const auto end = m_received.find('\n', searched);
        if (end != std::string::npos) {
            std::string line = m_received.substr(0, end);
            m_received.erase(0, end + 1);
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return line;
        }
        searched = m_received.size();
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
}

std::optional<std::string> stream::read_bytes(std::size_t count, steady::time_point deadline) {
    while (m_received.size() < count) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    std::string bytes = m_received.substr(0, count);
    m_received.erase(0, count);
    return bytes;
}

int connect_to(const address& target, milliseconds limit, bool small_window) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (small_window) {
        const int bytes = 32768;
        ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        const int segment = 1460; // Of an Ethernet; that of loopback lets the sender's buffer grow to 2.6 MB.
        ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const sockaddr_in to = to_sockaddr(target);
    ::fcntl(socket, F_SETFL, O_NONBLOCK);
    int result = ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (result != 0 && errno == EINPROGRESS && wait_for(socket, POLLOUT, steady::now() + limit) > 0) {
        socklen_t size = sizeof(result);
        ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &result, &size);
    }
    if (result != 0) {
        ::close(socket);
        return -1;
    }
    ::fcntl(socket, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return socket;
}

struct listener::shared_state {
    std::mutex mutex;
    std::set<stream*> open;
    std::atomic<int> running{0};
    std::atomic<bool> closing{false};
    int socket = -1;
    std::thread acceptor;
};

listener::listener(const address& at, std::function<void(stream&)> serve)
    : m_state(std::make_shared<shared_state>()) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in to = to_sockaddr(at);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 || ::listen(socket, 512) != 0) {
        ::close(socket);
        return;
    }
    m_state->socket = socket;
    m_state->acceptor = std::thread([state = m_state, serve] {
        while (!state->closing) {
            if (wait_for(state->socket, POLLIN, steady::now() + milliseconds(20)) <= 0) {
                continue;
            }
            const int accepted = ::accept4(state->socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            ++state->running;
            std::thread([state, serve, accepted] {
                {
                    stream peer(accepted);
                    {
                        const std::lock_guard lock(state->mutex);
                        state->open.insert(&peer);
                        if (state->closing) {
                            peer.shut();
                        }
                    }
                    serve(peer);
                    const std::lock_guard lock(state->mutex);
                    state->open.erase(&peer);
                }
                --state->running;
            }).detach();
        }
    });
}

listener::~listener() {
    if (m_state->socket < 0) {
        return;
    }
    m_state->closing = true;
    m_state->acceptor.join();
    ::close(m_state->socket);
    {
        const std::lock_guard lock(m_state->mutex);
        for (stream* peer : m_state->open) {
            peer->shut();
        }
    }
    while (m_state->running > 0) {
        std::this_thread::sleep_for(milliseconds(2));
    }
}

bool listener::is_listening() const {
    return m_state->socket >= 0;
}

std::string header(const std::string& head, const std::string& name) {
    std::string lower = head;
    for (char& letter : lower) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    const auto at = lower.find("\n" + name + ":");
    if (at == std::string::npos) {
        return {};
    }
    auto begin = at + name.size() + 2;
    while (begin < head.size() && head[begin] == ' ') {
        ++begin;
    }
    return head.substr(begin, head.find_first_of("\r\n", begin) - begin);
}

std::optional<http_request> read_http(stream& peer, milliseconds limit) {
    const auto deadline = steady::now() + limit;
    http_request request;
    auto line = peer.read_line(deadline);
    if (!line) {
        return std::nullopt;
    }
    const auto words = split(*line, 3);
    if (words.size() < 2) {
        return std::nullopt;
    }
    request.method = words[0];
    request.path = words[1];
    for (line = peer.read_line(deadline); line && !line->empty(); line = peer.read_line(deadline)) {
        request.head += "\n" + *line;
    }
    auto body = peer.read_bytes(std::strtoul(header(request.head, "content-length").c_str(), nullptr, 10), deadline);
    if (!line || !body) {
        return std::nullopt;
    }
    request.body = *body;
    return request;
}

http_answer call_http(const address& target, const std::string& method, const std::string& path,
                      const std::string& body, milliseconds limit) {
    address at = target;
    std::string to = path;
    for (int hops = 0; hops < 3; ++hops) {
        const auto deadline = steady::now() + limit;
        stream peer(connect_to(at, limit));
        if (!peer.is_open() ||
            !peer.send(method + " " + to + " HTTP/1.1\r\nHost: " + at.text() +
                       "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\nConnection: close\r\n\r\n" + body)) {
            return {};
        }
        http_answer answer;
        auto line = peer.read_line(deadline);
        if (!line || line->size() < 12) {
            return {};
        }
        answer.status = std::atoi(line->c_str() + 9);
        std::string head;
        for (line = peer.read_line(deadline); line && !line->empty(); line = peer.read_line(deadline)) {
            head += "\n" + *line;
        }
        const auto size = std::strtoul(header(head, "content-length").c_str(), nullptr, 10);
        auto received = peer.read_bytes(size, deadline);
        if (!line || !received) {
            return {};
        }
        answer.body = *received;
        if (answer.status != 307) {
            return answer;
        }
        const std::string location = header(head, "location");
        const auto host = location.find("://");
        const auto slash = location.find('/', host == std::string::npos ? 0 : host + 3);
        const auto next = parse_address(location.substr(host + 3, slash - host - 3));
        if (host == std::string::npos || slash == std::string::npos || !next) {
            return answer;
        }
        at = *next;
        to = location.substr(slash);
    }
    return {};
}

std::string json_text(const std::string& body, const std::string& member) {
    const auto at = body.find("\"" + member + "\"");
    const auto begin = at == std::string::npos ? at : body.find('"', body.find(':', at));
    if (begin == std::string::npos) {
        return {};
    }
    return body.substr(begin + 1, body.find('"', begin + 1) - begin - 1);
}

std::vector<std::string> split(const std::string& text, std::size_t most) {
    std::vector<std::string> fields;
    std::size_t begin = 0;
    while (fields.size() + 1 < most) {
        const auto blank = text.find(' ', begin);
        if (blank == std::string::npos) {
            break;
        }
        fields.push_back(text.substr(begin, blank - begin));
        begin = blank + 1;
    }
    fields.push_back(text.substr(begin));
    return fields;
}

record::record(const std::string& file)
    : m_file(::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

double record::elapsed_s() const {
    return std::chrono::duration<double>(steady::now() - m_start).count();
}

void record::write(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", elapsed_s());
    const std::string text = time + line + "\n";
    const std::lock_guard lock(m_mutex);
    (void)!::write(m_file, text.data(), text.size());
}

} // namespace review
