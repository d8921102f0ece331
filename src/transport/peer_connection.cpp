// Opening, writing and reading of peer connections.
#include "transport/peer_connection.h"

#include "transport/socket_options.h"

#include "core/log.h"
#include "core/quoting.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace mangoquay::transport {
namespace {

constexpr auto handshake_timeout = core::milliseconds(2000);
// A host without power answers no SYN, and the kernel repeats it only after 1 s. A new attempt reaches a host
// that starts meanwhile sooner. Elections end within 500 ms, so a slower network carries no cell anyway.
constexpr auto min_connect_timeout = core::milliseconds(250);
constexpr auto max_connect_timeout = core::milliseconds(500);
constexpr auto initial_backoff = core::milliseconds(50);
// Short, so that a restarted peer is reached again well within a lease, which lasts 1,000 ms.
constexpr auto max_backoff = core::milliseconds(400);
constexpr std::size_t read_chunk_bytes = 64U * 1024U;
// Written bytes are removed from the front of the send buffer when there are more than this.
constexpr std::size_t compaction_threshold_bytes = 1U << 20U;

bool parse_address(const control::socket_address& address, sockaddr_in& parsed) {
    parsed = {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(address.m_port);
    return inet_pton(AF_INET, address.m_host.c_str(), &parsed.sin_addr) == 1;
}

bool send_all(int socket, byte_view bytes) {
    // Messages of the handshake are much smaller than the smallest socket buffer, so a partial write is a
    // failure.
    return ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

} // namespace

outgoing_connection::outgoing_connection(peer_network& network, core::entry_host_id peer,
                                         control::socket_address address)
    : m_network(network), m_peer(std::move(peer)), m_address(std::move(address)) {}

outgoing_connection::~outgoing_connection() {
    m_network.m_loop.cancel_timer(m_handshake_timer);
    if (m_socket >= 0) {
        m_network.m_loop.unwatch(m_socket);
        ::close(m_socket);
    }
}

void outgoing_connection::set_address(const control::socket_address& address) {
    if (address == m_address) {
        return;
    }
    m_address = address;
    if (m_state != connection_state::closed) {
        fail("address changed");
    }
    m_next_attempt = {};
    m_backoff = {};
}

bool outgoing_connection::send(std::vector<std::uint8_t> body) {
    if (m_state == connection_state::closed) {
        if (!m_next_attempt.passed(event_loop::now())) {
            return false;
        }
        start_connecting();
        if (m_state == connection_state::closed) {
            return false; // Connecting failed at once.
        }
    }
    if (m_pending_bytes + m_unsent.size() - m_sent + body.size() > max_backlog_bytes) {
        return false;
    }
    if (m_state != connection_state::open) {
        m_pending_bytes += body.size();
        m_pending.push_back(std::move(body));
        return true;
    }
    m_sealer->seal(body, m_unsent);
    if (!m_watching_writes) {
        flush();
    }
    return true;
}

void outgoing_connection::start_connecting() {
    sockaddr_in address{};
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0 || !parse_address(m_address, address)) {
        fail("cannot create a socket, or the address is not an IPv4 address");
        return;
    }
    set_stream_options(m_socket);
    m_state = connection_state::connecting;
    const int outcome = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (outcome < 0 && errno != EINPROGRESS) {
        fail("connect failed");
        return;
    }
    m_network.m_loop.watch(m_socket, EPOLLOUT, [this](std::uint32_t events) { on_events(events); });
    m_connect_timeout =
        std::clamp<core::duration>(m_connect_timeout * 2, min_connect_timeout, max_connect_timeout);
    m_handshake_timer =
        m_network.m_loop.run_after(m_connect_timeout, [this] { fail("connecting timed out"); });
}

void outgoing_connection::fail(const char* reason) {
    core::log_line(core::log_level::debug, "transport",
                   "connection to " + m_peer.value() + " closed reason=" + reason);
    m_network.m_loop.cancel_timer(m_handshake_timer);
    if (m_socket >= 0) {
        m_network.m_loop.unwatch(m_socket);
        ::close(m_socket);
        m_socket = -1;
    }
    m_state = connection_state::closed;
    m_backoff = std::clamp<core::duration>(m_backoff * 2, initial_backoff, max_backoff);
    m_next_attempt = core::deadline_after(event_loop::now(), m_backoff);
    m_handshake.reset();
    m_sealer.reset();
    m_received.clear();
    m_pending.clear();
    m_pending_bytes = 0;
    m_unsent.clear();
    m_sent = 0;
    m_watching_writes = false;
    m_network.report_peer_lost(m_peer);
}

void outgoing_connection::on_events(std::uint32_t events) {
    if (m_state == connection_state::connecting) {
        on_connected();
        return;
    }
    if (m_state == connection_state::awaiting_welcome) {
        read_welcome();
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        // The listener sends nothing after the handshake, so this event means that the connection has ended.
        fail("closed by the peer");
        return;
    }
    flush();
}

void outgoing_connection::on_connected() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    m_handshake.emplace(m_network.m_cluster_key, m_network.m_self.value(), m_peer.value());
    if (error != 0 || !send_all(m_socket, m_handshake->hello())) {
        fail("connect or first handshake message failed");
        return;
    }
    m_connect_timeout = {};
    m_network.m_loop.cancel_timer(m_handshake_timer);
    m_handshake_timer =
        m_network.m_loop.run_after(handshake_timeout, [this] { fail("handshake timed out"); });
    m_state = connection_state::awaiting_welcome;
    m_network.m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t events) { on_events(events); });
}

void outgoing_connection::read_welcome() {
    std::array<std::uint8_t, welcome_bytes> bytes{};
    const ssize_t count = ::recv(m_socket, bytes.data(), welcome_bytes - m_received.size(), 0);
    if (count <= 0) {
        if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
            fail("closed during the handshake");
        }
        return;
    }
    m_received.insert(m_received.end(), bytes.begin(), bytes.begin() + count);
    if (m_received.size() < welcome_bytes) {
        return;
    }
    const auto proof = m_handshake->verify_welcome(m_received);
    if (!proof || !send_all(m_socket, *proof)) {
        fail("the peer did not prove its id and the cluster key");
        return;
    }
    m_network.m_loop.cancel_timer(m_handshake_timer);
    m_state = connection_state::open;
    m_backoff = {};
    m_sealer.emplace(m_handshake->session_key());
    for (const auto& body : m_pending) {
        m_sealer->seal(body, m_unsent);
    }
    m_pending.clear();
    m_pending_bytes = 0;
    flush();
}

void outgoing_connection::flush() {
    while (m_sent < m_unsent.size()) {
        const ssize_t count =
            ::send(m_socket, m_unsent.data() + m_sent, m_unsent.size() - m_sent, MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (count <= 0) {
            fail("write failed");
            return;
        }
        m_sent += static_cast<std::size_t>(count);
    }
    if (m_sent == m_unsent.size()) {
        m_unsent.clear();
        m_sent = 0;
    } else if (m_sent > compaction_threshold_bytes) {
        m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(m_sent));
        m_sent = 0;
    }
    watch_for_writing(!m_unsent.empty());
}

void outgoing_connection::watch_for_writing(bool enabled) {
    if (enabled == m_watching_writes) {
        return;
    }
    m_watching_writes = enabled;
    const std::uint32_t events = enabled ? EPOLLIN | EPOLLOUT : EPOLLIN;
    m_network.m_loop.watch(m_socket, events, [this](std::uint32_t ready_events) { on_events(ready_events); });
}

incoming_connection::incoming_connection(peer_network& network, int socket)
    : m_network(network), m_socket(socket), m_handshake(network.m_cluster_key, network.m_self.value()) {
    set_stream_options(m_socket);
    m_network.m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t) { on_readable(); });
    // Closes connections of clients that do not complete the handshake.
    m_handshake_timer =
        m_network.m_loop.run_after(handshake_timeout, [this] { m_network.on_incoming_closed(this); });
}

incoming_connection::~incoming_connection() {
    m_network.m_loop.cancel_timer(m_handshake_timer);
    m_network.m_loop.unwatch(m_socket);
    ::close(m_socket);
}

void incoming_connection::on_readable() {
    std::array<std::uint8_t, read_chunk_bytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0 || !consume(byte_view(bytes).first(static_cast<std::size_t>(count)))) {
        m_network.on_incoming_closed(this); // Destroys this object.
    }
}

bool incoming_connection::consume(byte_view bytes) {
    if (!m_opener) {
        m_received.insert(m_received.end(), bytes.begin(), bytes.end());
        if (!advance_handshake()) {
            return false;
        }
        if (!m_opener) {
            return true;
        }
        m_opener->feed(m_received);
        m_received.clear();
    } else {
        m_opener->feed(bytes);
    }
    while (const auto body = m_opener->next_body()) {
        m_network.deliver(m_peer, *body);
    }
    if (m_opener->damaged()) {
        core::log_line(core::log_level::warning, "transport", "frame rejected peer=" + m_peer.value());
    }
    return !m_opener->damaged();
}

bool incoming_connection::advance_handshake() {
    if (!m_welcome_sent && m_received.size() >= hello_bytes) {
        const auto welcome = m_handshake.welcome(byte_view(m_received).first(hello_bytes));
        if (!welcome || !send_all(m_socket, *welcome)) {
            return false;
        }
        m_welcome_sent = true;
        m_received.erase(m_received.begin(), m_received.begin() + hello_bytes);
    }
    if (!m_welcome_sent || m_received.size() < proof_bytes) {
        return true;
    }
    if (!m_handshake.verify_proof(byte_view(m_received).first(proof_bytes))) {
        core::log_line(core::log_level::warning, "transport",
                       "peer refused reason=cluster_key peer=" + core::word_or_quoted(m_handshake.peer()));
        return false;
    }
    m_received.erase(m_received.begin(), m_received.begin() + proof_bytes);
    m_network.m_loop.cancel_timer(m_handshake_timer);
    m_peer = core::entry_host_id(m_handshake.peer());
    m_opener.emplace(m_handshake.session_key());
    return true;
}

} // namespace mangoquay::transport
