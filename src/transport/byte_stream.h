// A non-blocking TCP connection that carries the bytes of a protocol decoded elsewhere.
//
// Owns: the socket and the bytes not yet sent. Runs on the event loop's thread. A peer that does not read
// stops being read from, so its own requests cannot pile up answers.
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

// A peer with more unsent bytes than this is not read from; past four times as many its connection is closed.
inline constexpr std::size_t max_unsent_bytes = 1U << 20U;

struct stream_handlers {
    std::function<void()> m_on_connected; // of an outgoing stream
    // Takes what it can use from the front of the bytes received so far.
    std::function<void(std::string& received)> m_on_bytes_received;
    // Called once, never from inside a call of this class; nothing follows it.
    std::function<void(const std::string& reason)> m_on_closed;
};

class byte_stream {
public:
    // Takes over an accepted socket.
    byte_stream(event_loop& loop, int socket, stream_handlers handlers);
    // Connects.
    byte_stream(event_loop& loop, const control::socket_address& address, stream_handlers handlers);
    ~byte_stream();
    byte_stream(const byte_stream&) = delete;
    byte_stream& operator=(const byte_stream&) = delete;
    byte_stream(byte_stream&&) = delete;
    byte_stream& operator=(byte_stream&&) = delete;

    void write(std::string_view bytes);
    // Closes after the bytes written so far have been handed to the system, at the latest after a second.
    static void close_when_sent(std::unique_ptr<byte_stream> stream);

private:
    void on_events(std::uint32_t events);
    void read_available();
    void flush();
    void fail(const std::string& reason);
    void update_watched_events();

    event_loop& m_loop;
    int m_socket = -1;
    stream_handlers m_handlers;
    bool m_connecting = false;
    bool m_failed = false;
    std::uint32_t m_events = 0; // watched
    std::string m_received;
    std::string m_unsent;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

// A listening socket that hands over what it accepts.
class stream_listener {
public:
    using accept_handler = std::function<void(int socket)>;

    explicit stream_listener(event_loop& loop) : m_loop(loop) {}
    ~stream_listener();
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    stream_listener(stream_listener&&) = delete;
    stream_listener& operator=(stream_listener&&) = delete;

    core::result<std::uint16_t> listen(const control::socket_address& address, accept_handler handler);
    void close();

private:
    void accept_pending();

    event_loop& m_loop;
    int m_socket = -1;
    accept_handler m_on_accept;
};

} // namespace mangoquay::transport
