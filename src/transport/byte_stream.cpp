// Reading, writing and closing of non-blocking TCP connections.
#include "transport/byte_stream.h"

#include "transport/socket_options.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace mangoquay::transport {
namespace {

constexpr std::size_t read_bytes = 16384;
constexpr int listen_backlog = 1024;
constexpr core::milliseconds close_timeout{1000};
// A buffer that grew above this size gives its memory back once most of it is unused. Ordinary messages are
// smaller, so their buffers are kept.
constexpr std::size_t kept_buffer_bytes = 65536;

// Moves the bytes to a buffer of this size. std::string::reserve() would at least double it.
void reallocate(std::string& buffer, std::size_t capacity) {
    std::string moved;
    moved.reserve(capacity);
    moved.append(buffer);
    buffer.swap(moved);
}

void release_unused(std::string& buffer) {
    if (buffer.capacity() > kept_buffer_bytes && buffer.size() < buffer.capacity() / 4) {
        reallocate(buffer, buffer.size());
    }
}

} // namespace

byte_stream::byte_stream(event_loop& loop, int socket, stream_handlers handlers)
    : m_loop(loop), m_socket(socket), m_handlers(std::move(handlers)) {
    set_stream_options(m_socket);
    update_watched_events();
}

byte_stream::byte_stream(event_loop& loop, const control::socket_address& address, stream_handlers handlers)
    : m_loop(loop), m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      m_handlers(std::move(handlers)), m_connecting(true) {
    const auto target = to_socket_address(address);
    if (m_socket < 0 || !target) {
        fail(m_socket < 0 ? std::strerror(errno) : "not an IPv4 address");
        return;
    }
    set_stream_options(m_socket);
    const int connected = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&*target), sizeof *target);
    if (connected < 0 && errno != EINPROGRESS) {
        fail(std::strerror(errno));
        return;
    }
    update_watched_events();
}

byte_stream::~byte_stream() {
    if (m_socket >= 0) {
        m_loop.unwatch(m_socket);
        ::close(m_socket);
    }
}

void byte_stream::update_watched_events() {
    std::uint32_t events_to_watch = m_connecting || !m_unsent.empty() ? EPOLLOUT : 0U;
    if (!m_connecting && m_reading && m_unsent.size() < max_unsent_bytes &&
        m_received.size() < max_received_bytes) {
        events_to_watch |= EPOLLIN;
    }
    if (events_to_watch != m_events) {
        m_events = events_to_watch;
        m_loop.watch(m_socket, events_to_watch, [this](std::uint32_t events) { on_events(events); });
    }
}

void byte_stream::on_events(std::uint32_t events) {
    if (m_failed) {
        return;
    }
    if (m_connecting) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            fail(std::strerror(error));
            return;
        }
        m_connecting = false;
        flush();
        const std::weak_ptr<int> alive = m_alive;
        m_handlers.m_on_connected();
        if (alive.expired() || m_failed) {
            return;
        }
        update_watched_events();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (m_failed) {
        return;
    }
    if (!m_reading) { // The event may be older than the stop of reading.
        if ((events & (EPOLLHUP | EPOLLERR)) != 0) {
            fail("connection closed by the peer");
        }
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        read_available();
    }
}

void byte_stream::set_reading(bool enabled) {
    if (m_reading != enabled) {
        m_reading = enabled;
        if (!m_failed) {
            update_watched_events();
        }
    }
}

void byte_stream::append_received(std::string_view bytes) {
    const std::size_t size = m_received.size() + bytes.size();
    if (size > m_received.capacity() && size > kept_buffer_bytes) {
        // Large messages grow in smaller steps, so that little memory is unused.
        reallocate(m_received, size + size / 4);
    }
    m_received.append(bytes);
}

void byte_stream::read_available() {
    std::array<char, read_bytes> buffer{};
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (count == 0) {
        fail("connection closed by the peer");
        return;
    }
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            fail(std::strerror(errno));
        }
        return;
    }
    m_received_count += static_cast<std::uint64_t>(count);
    append_received({buffer.data(), static_cast<std::size_t>(count)});
    const std::weak_ptr<int> alive = m_alive;
    m_handlers.m_on_bytes_received(m_received); // May destroy this object.
    if (alive.expired() || m_failed) {
        return;
    }
    release_unused(m_received);
    if (m_received.size() >= max_received_bytes) {
        update_watched_events();
    }
}

void byte_stream::deliver_received() {
    if (!m_failed && !m_received.empty()) {
        const std::weak_ptr<int> alive = m_alive;
        m_handlers.m_on_bytes_received(m_received); // May destroy this object.
        if (!alive.expired() && !m_failed) {
            release_unused(m_received);
            update_watched_events();
        }
    }
}

void byte_stream::write(std::string_view bytes) {
    if (m_failed) {
        return;
    }
    if (m_unsent.size() + bytes.size() > 4 * max_unsent_bytes) {
        fail("send buffer limit exceeded: the peer does not read");
        return;
    }
    m_unsent.append(bytes);
    if (!m_connecting && (m_events & EPOLLOUT) == 0) {
        flush();
    }
}

void byte_stream::flush() {
    while (!m_unsent.empty()) {
        const ssize_t count = ::send(m_socket, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && errno != EAGAIN) {
            fail(std::strerror(errno));
            return;
        }
        if (count < 0) {
            break;
        }
        m_sent_count += static_cast<std::uint64_t>(count);
        m_unsent.erase(0, static_cast<std::size_t>(count));
    }
    release_unused(m_unsent);
    update_watched_events();
}

void byte_stream::fail(const std::string& reason) {
    if (m_failed) {
        return;
    }
    m_failed = true;
    if (m_socket >= 0) {
        m_loop.unwatch(m_socket);
        m_events = 0;
    }
    m_loop.post([this, alive = std::weak_ptr(m_alive), reason] {
        if (!alive.expired()) {
            m_handlers.m_on_closed(reason); // May destroy this object.
        }
    });
}

void byte_stream::close_when_sent(std::unique_ptr<byte_stream> stream) {
    if (stream->m_failed || stream->m_unsent.empty()) {
        return;
    }
    event_loop& loop = stream->m_loop;
    const std::shared_ptr<byte_stream> closing = std::move(stream);
    closing->m_received = std::string();
    closing->m_handlers.m_on_bytes_received = [](std::string& received) { received.clear(); };
    closing->m_handlers.m_on_closed = [](const std::string&) {};
    loop.run_after(close_timeout, [closing] {});
}

stream_listener::~stream_listener() {
    close();
}

void stream_listener::close() {
    if (m_socket >= 0) {
        m_loop.unwatch(m_socket);
        ::close(m_socket);
        m_socket = -1;
    }
}

core::result<std::uint16_t> stream_listener::listen(const control::socket_address& address,
                                                    accept_handler handler) {
    const auto bound = to_socket_address(address);
    if (!bound) {
        return core::result<std::uint16_t>::failure("not an IPv4 address: " + address.m_host);
    }
    m_on_accept = std::move(handler);
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in given = *bound;
    socklen_t size = sizeof given;
    const bool listening = ::bind(m_socket, reinterpret_cast<const sockaddr*>(&given), sizeof given) == 0 &&
                           ::listen(m_socket, listen_backlog) == 0 &&
                           getsockname(m_socket, reinterpret_cast<sockaddr*>(&given), &size) == 0;
    if (!listening) {
        return core::result<std::uint16_t>::failure(address.m_host + ":" + std::to_string(address.m_port) +
                                                    ": " + std::strerror(errno));
    }
    m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t) { accept_pending(); });
    return ntohs(given.sin_port);
}

void stream_listener::accept_rest_and_close() {
    if (m_socket >= 0) {
        ::listen(m_socket, 0); // Few new connections join the queue from now on.
        accept_pending();
        close();
    }
}

void stream_listener::accept_pending() {
    bool exhausted = false;
    while (m_socket >= 0) {
        const auto accepted = accept_connection(m_socket, exhausted);
        if (!accepted) {
            break;
        }
        m_on_accept(*accepted);
    }
    if (!exhausted) {
        return;
    }
    m_loop.unwatch(m_socket);
    m_loop.run_after(accept_retry_delay, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired() && m_socket >= 0) {
            m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t) { accept_pending(); });
        }
    });
}

std::optional<int> accept_connection(int listener, bool& exhausted) {
    for (;;) {
        const int socket = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            return socket;
        }
        // Errors of a single connection that ended before it was accepted.
        if (errno == EINTR || errno == ECONNABORTED || errno == EPROTO) {
            continue;
        }
        exhausted = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
        return std::nullopt;
    }
}

} // namespace mangoquay::transport
