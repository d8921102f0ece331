// One TCP link between two processes: outgoing ones send frames, incoming ones receive them. Internal to
// peer_network, which owns all links.
#pragma once

#include "transport/link_handshake.h"
#include "transport/peer_network.h"

#include <optional>

namespace mangoquay::transport {

// Dialled by this process. Frames wait here while the link opens; a link that fails drops them.
class outgoing_link {
public:
    outgoing_link(peer_network& network, core::entry_host_id peer, control::socket_address address);
    ~outgoing_link();
    outgoing_link(const outgoing_link&) = delete;
    outgoing_link& operator=(const outgoing_link&) = delete;
    outgoing_link(outgoing_link&&) = delete;
    outgoing_link& operator=(outgoing_link&&) = delete;

    void set_address(const control::socket_address& address);
    bool send(std::vector<std::uint8_t> body);

private:
    enum class link_state : std::uint8_t { closed, connecting, awaiting_welcome, open };

    void dial();
    void fail(const char* why);
    void ready(std::uint32_t events);
    void connected();
    void read_welcome();
    void flush();
    void watch_for_writing(bool wanted);

    peer_network& m_network;
    core::entry_host_id m_peer;
    control::socket_address m_address;
    link_state m_state = link_state::closed;
    int m_socket = -1;
    core::deadline m_redial_after; // no dialling before this moment
    core::duration m_backoff{};    // grows with each failure in a row
    timer_id m_handshake_timer{};
    std::optional<dialler_handshake> m_handshake;
    std::vector<std::uint8_t> m_received;             // part of the welcome
    std::vector<std::vector<std::uint8_t>> m_waiting; // bodies, while the link opens
    std::size_t m_waiting_bytes = 0;
    std::optional<frame_sealer> m_sealer;
    std::vector<std::uint8_t> m_unsent;
    std::size_t m_sent = 0; // bytes of m_unsent already written
    bool m_writing = false; // EPOLLOUT is watched
};

class incoming_link {
public:
    incoming_link(peer_network& network, int socket);
    ~incoming_link();
    incoming_link(const incoming_link&) = delete;
    incoming_link& operator=(const incoming_link&) = delete;
    incoming_link(incoming_link&&) = delete;
    incoming_link& operator=(incoming_link&&) = delete;

    // Empty until the peer has proved the cluster key.
    [[nodiscard]] const core::entry_host_id& peer() const { return m_peer; }

private:
    void ready();
    // False when the link is to be closed.
    bool consume(byte_view bytes);
    bool shake_hands();

    peer_network& m_network;
    int m_socket;
    core::entry_host_id m_peer;
    listener_handshake m_handshake;
    bool m_welcomed = false;
    timer_id m_handshake_timer{};
    std::vector<std::uint8_t> m_received; // before the link is open
    std::optional<frame_opener> m_opener; // once it is open
};

} // namespace mangoquay::transport
