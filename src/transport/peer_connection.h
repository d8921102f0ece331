// TCP connections between two processes. Outgoing connections send frames, incoming connections receive them.
// Internal to peer_network, which owns all of them.
#pragma once

#include "transport/peer_handshake.h"
#include "transport/peer_network.h"

#include <optional>

namespace mangoquay::transport {

// A connection that this process opens. Frames are buffered while it is being opened and dropped when it
// fails.
class outgoing_connection {
public:
    outgoing_connection(peer_network& network, core::entry_host_id peer, control::socket_address address);
    ~outgoing_connection();
    outgoing_connection(const outgoing_connection&) = delete;
    outgoing_connection& operator=(const outgoing_connection&) = delete;
    outgoing_connection(outgoing_connection&&) = delete;
    outgoing_connection& operator=(outgoing_connection&&) = delete;

    // A changed address closes the connection and permits the next attempt at once.
    void set_address(const control::socket_address& address);
    // Opens the connection if needed. Returns false if the frame is refused; see peer_network::send().
    bool send(std::vector<std::uint8_t> body);

private:
    enum class connection_state : std::uint8_t { closed, connecting, awaiting_welcome, open };

    void start_connecting();
    void fail(const char* reason);
    void on_events(std::uint32_t events);
    void on_connected();
    void read_welcome();
    void flush();
    void watch_for_writing(bool enabled);

    peer_network& m_network;
    core::entry_host_id m_peer;
    control::socket_address m_address;
    connection_state m_state = connection_state::closed;
    int m_socket = -1;
    core::deadline m_next_attempt;      // No connection attempt is made before this time.
    core::duration m_backoff{};         // Doubled with each consecutive failure.
    core::duration m_connect_timeout{}; // Time limit of the latest attempt that got no answer.
    timer_id m_handshake_timer{};
    std::optional<dialler_handshake> m_handshake;
    std::vector<std::uint8_t> m_received;             // Received part of the welcome message.
    std::vector<std::vector<std::uint8_t>> m_pending; // Bodies to be sent when the connection is open.
    std::size_t m_pending_bytes = 0;
    std::optional<frame_sealer> m_sealer;
    std::vector<std::uint8_t> m_unsent;
    std::size_t m_sent = 0;         // Number of bytes of m_unsent that are written to the socket.
    bool m_watching_writes = false; // EPOLLOUT is watched.
};

// A connection that a peer has opened.
class incoming_connection {
public:
    incoming_connection(peer_network& network, int socket);
    ~incoming_connection();
    incoming_connection(const incoming_connection&) = delete;
    incoming_connection& operator=(const incoming_connection&) = delete;
    incoming_connection(incoming_connection&&) = delete;
    incoming_connection& operator=(incoming_connection&&) = delete;

    // Empty until the peer has proved that it knows the cluster key.
    [[nodiscard]] const core::entry_host_id& peer() const { return m_peer; }

private:
    void on_readable();
    // Both return false if the connection has to be closed.
    bool consume(byte_view bytes);
    bool advance_handshake();

    peer_network& m_network;
    int m_socket;
    core::entry_host_id m_peer;
    listener_handshake m_handshake;
    bool m_welcome_sent = false;
    timer_id m_handshake_timer{};
    std::vector<std::uint8_t> m_received; // Bytes of the handshake that are not processed yet.
    std::optional<frame_opener> m_opener; // Present after the handshake.
};

} // namespace mangoquay::transport
