// Non-blocking TCP connection for protocols that are decoded elsewhere, and the listening socket for them.
//
// Owns: the socket and the bytes that are not sent yet. Runs on the event loop's thread. While a peer does
// not read its answers, no further requests are read from it, so that unsent answers stay bounded.
#pragma once

#include "control/control_state.h"
#include "core/result.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace mangoquay::transport {

// No bytes are read from a peer while at least this many bytes to it are unsent. The connection fails above
// four times this number.
inline constexpr std::size_t max_unsent_bytes = 1U << 20U;
// No bytes are read from a peer while at least this many received bytes are not consumed. Larger than any
// message of a protocol above, so that a message is not held up.
inline constexpr std::size_t max_received_bytes = 2U << 20U;

struct stream_handlers {
    std::function<void()> m_on_connected; // Called for outgoing connections only.
    // Gets all bytes received and not yet consumed. Removes from the front the bytes that it consumes. May
    // destroy the stream.
    std::function<void(std::string& received)> m_on_bytes_received;
    // Called at most once, from the event loop and never from within a call of this class. No other handler
    // is called after it. May destroy the stream.
    std::function<void(const std::string& reason)> m_on_closed;
};

class byte_stream {
public:
    // Takes ownership of an accepted socket.
    byte_stream(event_loop& loop, int socket, stream_handlers handlers);
    // Starts to connect to an IPv4 address. A failure is reported through m_on_closed.
    byte_stream(event_loop& loop, const control::socket_address& address, stream_handlers handlers);
    ~byte_stream();
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;
    byte_stream(byte_stream&&) = delete;
    byte_stream& operator=(byte_stream&&) = delete;

    // Sends the bytes, or buffers them until the socket accepts them. Ignored after a failure.
    void write(std::string_view bytes);
    // Passes the received bytes that are not consumed yet to m_on_bytes_received again.
    void deliver_received();
    // While it is off, the peer's bytes stay in the operating system, which stops the peer once its buffers
    // are full. The end of the connection is still noticed.
    void set_reading(bool enabled);
    // Memory of the received and the unsent bytes, including what their buffers keep for later ones.
    [[nodiscard]] std::size_t held_bytes() const { return m_received.capacity() + m_unsent.capacity(); }
    [[nodiscard]] std::size_t unsent_bytes() const { return m_unsent.size(); }
    // Numbers of bytes that the operating system has taken over, and handed over, since the connection began.
    [[nodiscard]] std::uint64_t sent_count() const { return m_sent_count; }
    [[nodiscard]] std::uint64_t received_count() const { return m_received_count; }
    // Closes the connection 1 s later if there are unsent bytes, so that they can still be sent; immediately
    // otherwise. Received bytes are discarded, and m_on_closed is not called any more.
    static void close_when_sent(std::unique_ptr<byte_stream> stream);

private:
    void on_events(std::uint32_t events);
    void read_available();
    void flush();
    void fail(const std::string& reason);
    void update_watched_events();
    void append_received(std::string_view bytes);

    event_loop& m_loop;
    int m_socket = -1;
    stream_handlers m_handlers;
    bool m_connecting = false;
    bool m_failed = false;
    bool m_reading = true;
    std::uint32_t m_events = 0; // Epoll events that are being watched. 0: not watched.
    std::string m_received;
    std::string m_unsent;
    std::uint64_t m_sent_count = 0;
    std::uint64_t m_received_count = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0); // Expires with this object.
};

// Listening socket that passes accepted sockets to a handler.
class stream_listener {
public:
    // Takes ownership of the socket.
    using accept_handler = std::function<void(int socket)>;

    explicit stream_listener(event_loop& loop) : m_loop(loop) {}
    ~stream_listener();
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    stream_listener(stream_listener&&) = delete;
    stream_listener& operator=(stream_listener&&) = delete;

    // Returns the bound port, or the reason of the failure. Port 0 binds a free port.
    core::result<std::uint16_t> listen(const control::socket_address& address, accept_handler handler);
    // Stops listening. Accepted sockets stay open.
    void close();
    // Accepts the connections that clients have established already, then stops listening: closing the socket
    // resets connections that are not accepted.
    void accept_rest_and_close();

private:
    void accept_pending();

    event_loop& m_loop;
    int m_socket = -1;
    accept_handler m_on_accept;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// The next pending connection of a listening socket, which must be non-blocking. Empty if there is none, or
// if the process or the system has no descriptor or memory left; `exhausted` tells these apart.
std::optional<int> accept_connection(int listener, bool& exhausted);

// Accepting is tried again after this time when descriptors or memory have run out: the listening socket
// stays readable meanwhile, so waiting for it would spin.
inline constexpr core::milliseconds accept_retry_delay{100};

} // namespace mangoquay::transport
