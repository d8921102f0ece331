// The peer connections of one process.
#include "transport/peer_network.h"

#include "core/log.h"
#include "transport/byte_stream.h"
#include "transport/peer_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace mangoquay::transport {
namespace {

constexpr int listen_backlog = 1024;
constexpr core::milliseconds handshake_report_interval{5000};

core::result<std::uint16_t> bound_port(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) < 0) {
        return core::result<std::uint16_t>::failure(std::strerror(errno));
    }
    return ntohs(address.sin_port);
}

} // namespace

peer_network::peer_network(event_loop& loop, core::entry_host_id self, std::string cluster_key)
    : m_loop(loop), m_self(std::move(self)), m_cluster_key(std::move(cluster_key)) {}

peer_network::~peer_network() {
    // Closing connections call the handler, whose owner may already be destroyed.
    m_on_peer_lost = nullptr;
    m_outgoing.clear();
    m_incoming.clear();
    if (m_accept_retry) {
        m_loop.cancel_timer(*m_accept_retry);
    } else if (m_listener >= 0) {
        m_loop.unwatch(m_listener);
    }
    if (m_listener >= 0) {
        ::close(m_listener);
    }
}

core::result<std::uint16_t> peer_network::listen(const control::socket_address& address) {
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.m_port);
    if (inet_pton(AF_INET, address.m_host.c_str(), &bound.sin_addr) != 1) {
        return core::result<std::uint16_t>::failure("not an IPv4 address: " + address.m_host);
    }
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(m_listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) < 0 ||
        ::listen(m_listener, listen_backlog) < 0) {
        return core::result<std::uint16_t>::failure(address.m_host + ":" + std::to_string(address.m_port) +
                                                    ": " + std::strerror(errno));
    }
    m_loop.watch(m_listener, EPOLLIN, [this](std::uint32_t) { accept_pending(); });
    return bound_port(m_listener);
}

void peer_network::on_frame(frame_handler handler) {
    m_on_frame = std::move(handler);
}

void peer_network::on_peer_lost(peer_lost_handler handler) {
    m_on_peer_lost = std::move(handler);
}

void peer_network::set_address(const core::entry_host_id& peer, const control::socket_address& address) {
    auto& connection = m_outgoing[peer];
    if (!connection) {
        connection = std::make_unique<outgoing_connection>(*this, peer, address);
        return;
    }
    connection->set_address(address);
}

bool peer_network::send(const core::entry_host_id& to, std::vector<std::uint8_t> body) {
    const auto found = m_outgoing.find(to);
    if (found == m_outgoing.end() || body.size() > max_frame_bytes) {
        return false;
    }
    if (m_blocked.contains(to)) {
        return true;
    }
    return found->second->send(std::move(body));
}

void peer_network::set_blocked_peers(std::set<core::entry_host_id> peers) {
    m_blocked = std::move(peers);
}

void peer_network::accept_pending() {
    bool exhausted = false;
    while (const auto socket = accept_connection(m_listener, exhausted)) {
        m_incoming.push_back(std::make_unique<incoming_connection>(*this, *socket));
        close_extra_handshakes();
    }
    if (!exhausted) {
        return;
    }
    m_loop.unwatch(m_listener);
    m_accept_retry = m_loop.run_after(accept_retry_delay, [this] {
        m_accept_retry.reset();
        m_loop.watch(m_listener, EPOLLIN, [this](std::uint32_t) { accept_pending(); });
    });
}

void peer_network::close_extra_handshakes() {
    const auto in_handshake = [](const auto& connection) { return connection->peer().value().empty(); };
    if (std::ranges::count_if(m_incoming, in_handshake) <= static_cast<std::ptrdiff_t>(m_max_handshakes)) {
        return;
    }
    m_incoming.erase(std::ranges::find_if(m_incoming, in_handshake));
    ++m_displaced_handshakes;
    const core::time_point now = event_loop::now();
    if (now >= m_next_report) {
        m_next_report = now + handshake_report_interval;
        core::log_line(core::log_level::warning, "transport",
                       "connections without a handshake closed total=" +
                           std::to_string(m_displaced_handshakes));
    }
}

void peer_network::deliver(const core::entry_host_id& from, frame body) {
    if (m_on_frame && !m_blocked.contains(from)) {
        m_on_frame(from, body);
    }
}

void peer_network::on_incoming_closed(const incoming_connection* connection) {
    const auto found = std::find_if(m_incoming.begin(), m_incoming.end(),
                                    [&](const auto& candidate) { return candidate.get() == connection; });
    if (found == m_incoming.end()) {
        return;
    }
    const core::entry_host_id peer = (*found)->peer();
    m_incoming.erase(found);
    const bool others_open = std::any_of(m_incoming.begin(), m_incoming.end(),
                                         [&](const auto& remaining) { return remaining->peer() == peer; });
    if (!peer.value().empty() && !others_open) {
        report_peer_lost(peer);
    }
}

void peer_network::report_peer_lost(const core::entry_host_id& peer) {
    // Posted, because a connection may close during a call by the handler's owner.
    m_loop.post([this, peer] {
        if (m_on_peer_lost) {
            m_on_peer_lost(peer);
        }
    });
}

} // namespace mangoquay::transport
