// Opening, writing and reading of links.
#include "transport/peer_link.h"

#include "transport/socket_options.h"

#include "core/log.h"

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

constexpr auto handshake_limit = core::milliseconds(2000);
constexpr auto first_backoff = core::milliseconds(50);
// Short, so that a restarted peer is reached again well within one lease of 1,000 ms.
constexpr auto largest_backoff = core::milliseconds(400);
// Unacknowledged data older than this closes a link, so that a silent cut is noticed.
constexpr std::size_t read_chunk_bytes = 64U * 1024U;
constexpr std::size_t compaction_bytes = 1U << 20U;

bool parse_address(const control::socket_address& address, sockaddr_in& parsed) {
    parsed = {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(address.m_port);
    return inet_pton(AF_INET, address.m_host.c_str(), &parsed.sin_addr) == 1;
}

bool send_all(int socket, byte_view bytes) {
    // Handshake steps are far below the smallest socket buffer.
    return ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

} // namespace

outgoing_link::outgoing_link(peer_network& network, core::entry_host_id peer, control::socket_address address)
    : m_network(network), m_peer(std::move(peer)), m_address(std::move(address)) {}

outgoing_link::~outgoing_link() {
    m_network.m_loop.cancel(m_handshake_timer);
    if (m_socket >= 0) {
        m_network.m_loop.unwatch(m_socket);
        ::close(m_socket);
    }
}

void outgoing_link::set_address(const control::socket_address& address) {
    if (address == m_address) {
        return;
    }
    m_address = address;
    if (m_state != link_state::closed) {
        fail("address changed");
    }
    m_redial_after = {};
    m_backoff = {};
}

bool outgoing_link::send(std::vector<std::uint8_t> body) {
    if (m_state == link_state::closed) {
        if (!m_redial_after.passed(event_loop::now())) {
            return false;
        }
        dial();
    }
    if (m_waiting_bytes + m_unsent.size() - m_sent + body.size() > largest_backlog_bytes) {
        return false;
    }
    if (m_state != link_state::open) {
        m_waiting_bytes += body.size();
        m_waiting.push_back(std::move(body));
        return m_state != link_state::closed;
    }
    m_sealer->seal(body, m_unsent);
    if (!m_writing) {
        flush();
    }
    return true;
}

void outgoing_link::dial() {
    sockaddr_in address{};
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0 || !parse_address(m_address, address)) {
        fail("no socket or bad address");
        return;
    }
    set_stream_options(m_socket);
    m_state = link_state::connecting;
    const int outcome = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (outcome < 0 && errno != EINPROGRESS) {
        fail("connect refused");
        return;
    }
    m_network.m_loop.watch(m_socket, EPOLLOUT, [this](std::uint32_t events) { ready(events); });
    m_handshake_timer = m_network.m_loop.after(handshake_limit, [this] { fail("handshake timed out"); });
}

void outgoing_link::fail(const char* why) {
    core::log_line(core::log_level::debug, "transport",
                   "link to " + m_peer.value() + " closed reason=" + why);
    m_network.m_loop.cancel(m_handshake_timer);
    if (m_socket >= 0) {
        m_network.m_loop.unwatch(m_socket);
        ::close(m_socket);
        m_socket = -1;
    }
    m_state = link_state::closed;
    m_backoff = std::clamp<core::duration>(m_backoff * 2, first_backoff, largest_backoff);
    m_redial_after = core::deadline_after(event_loop::now(), m_backoff);
    m_handshake.reset();
    m_sealer.reset();
    m_received.clear();
    m_waiting.clear();
    m_waiting_bytes = 0;
    m_unsent.clear();
    m_sent = 0;
    m_writing = false;
    m_network.report_lost(m_peer);
}

void outgoing_link::ready(std::uint32_t events) {
    if (m_state == link_state::connecting) {
        connected();
        return;
    }
    if (m_state == link_state::awaiting_welcome) {
        read_welcome();
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        // The listener never sends on an open link, so this is its end.
        fail("closed by peer");
        return;
    }
    flush();
}

void outgoing_link::connected() {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    m_handshake.emplace(m_network.m_cluster_key, m_network.m_self.value(), m_peer.value());
    if (error != 0 || !send_all(m_socket, m_handshake->hello())) {
        fail("connect failed");
        return;
    }
    m_state = link_state::awaiting_welcome;
    m_network.m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t events) { ready(events); });
}

void outgoing_link::read_welcome() {
    std::array<std::uint8_t, welcome_bytes> bytes{};
    const ssize_t count = ::recv(m_socket, bytes.data(), welcome_bytes - m_received.size(), 0);
    if (count <= 0) {
        if (count == 0 || errno != EAGAIN) {
            fail("closed during handshake");
        }
        return;
    }
    m_received.insert(m_received.end(), bytes.begin(), bytes.begin() + count);
    if (m_received.size() < welcome_bytes) {
        return;
    }
    const auto proof = m_handshake->answer(m_received);
    if (!proof || !send_all(m_socket, *proof)) {
        fail("peer did not prove the cluster key");
        return;
    }
    m_network.m_loop.cancel(m_handshake_timer);
    m_state = link_state::open;
    m_backoff = {};
    m_sealer.emplace(m_handshake->session_key());
    for (const auto& body : m_waiting) {
        m_sealer->seal(body, m_unsent);
    }
    m_waiting.clear();
    m_waiting_bytes = 0;
    flush();
}

void outgoing_link::flush() {
    while (m_sent < m_unsent.size()) {
        const ssize_t count =
            ::send(m_socket, m_unsent.data() + m_sent, m_unsent.size() - m_sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EAGAIN) {
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
    } else if (m_sent > compaction_bytes) {
        m_unsent.erase(m_unsent.begin(), m_unsent.begin() + static_cast<std::ptrdiff_t>(m_sent));
        m_sent = 0;
    }
    watch_for_writing(!m_unsent.empty());
}

void outgoing_link::watch_for_writing(bool wanted) {
    if (wanted == m_writing) {
        return;
    }
    m_writing = wanted;
    const std::uint32_t events = wanted ? EPOLLIN | EPOLLOUT : EPOLLIN;
    m_network.m_loop.watch(m_socket, events, [this](std::uint32_t ready_events) { ready(ready_events); });
}

incoming_link::incoming_link(peer_network& network, int socket)
    : m_network(network), m_socket(socket), m_handshake(network.m_cluster_key, network.m_self.value()) {
    set_stream_options(m_socket);
    m_network.m_loop.watch(m_socket, EPOLLIN, [this](std::uint32_t) { ready(); });
    // A stranger that connects and stays silent is dropped.
    m_handshake_timer = m_network.m_loop.after(handshake_limit, [this] { m_network.incoming_closed(this); });
}

incoming_link::~incoming_link() {
    m_network.m_loop.cancel(m_handshake_timer);
    m_network.m_loop.unwatch(m_socket);
    ::close(m_socket);
}

void incoming_link::ready() {
    std::array<std::uint8_t, read_chunk_bytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const ssize_t count = ::recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count < 0 && errno == EAGAIN) {
        return;
    }
    if (count <= 0 || !consume(byte_view(bytes).first(static_cast<std::size_t>(count)))) {
        m_network.incoming_closed(this); // destroys this
    }
}

bool incoming_link::consume(byte_view bytes) {
    if (!m_opener) {
        m_received.insert(m_received.end(), bytes.begin(), bytes.end());
        if (!shake_hands()) {
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
    while (const auto body = m_opener->next()) {
        m_network.deliver(m_peer, *body);
    }
    if (m_opener->damaged()) {
        core::log_line(core::log_level::warning, "transport", "frame rejected peer=" + m_peer.value());
    }
    return !m_opener->damaged();
}

bool incoming_link::shake_hands() {
    if (!m_welcomed && m_received.size() >= hello_bytes) {
        const auto welcome = m_handshake.welcome(byte_view(m_received).first(hello_bytes));
        if (!welcome || !send_all(m_socket, *welcome)) {
            return false;
        }
        m_welcomed = true;
        m_received.erase(m_received.begin(), m_received.begin() + hello_bytes);
    }
    if (!m_welcomed || m_received.size() < proof_bytes) {
        return true;
    }
    if (!m_handshake.accept(byte_view(m_received).first(proof_bytes))) {
        core::log_line(core::log_level::warning, "transport",
                       "peer refused reason=cluster_key peer=" + m_handshake.peer());
        return false;
    }
    m_received.erase(m_received.begin(), m_received.begin() + proof_bytes);
    m_network.m_loop.cancel(m_handshake_timer);
    m_peer = core::entry_host_id(m_handshake.peer());
    m_opener.emplace(m_handshake.session_key());
    return true;
}

} // namespace mangoquay::transport
