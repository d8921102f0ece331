// Framed, mutually authenticated TCP connections between mangoquay processes.
//
// A process sends to a peer over the connection that it opened itself and receives over connections that
// peers opened, so a network fault in one direction stops only that direction. Frames that cannot be sent are
// dropped, because every protocol above retries. Owns: the listening socket and the connections. Runs on the
// event loop's thread.
#pragma once

#include "control/control_state.h"
#include "core/ids.h"
#include "core/result.h"
#include "transport/event_loop.h"
#include "transport/frame_codec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace mangoquay::transport {

// Frames to a peer are refused when they would raise the number of unsent bytes to it above this limit.
inline constexpr std::size_t max_backlog_bytes = 32U * 1024U * 1024U;

using frame = std::span<const std::uint8_t>;
using frame_handler = std::function<void(const core::entry_host_id& from, frame body)>;
using peer_lost_handler = std::function<void(const core::entry_host_id& peer)>;

class outgoing_connection;
class incoming_connection;

class peer_network {
public:
    peer_network(event_loop& loop, core::entry_host_id self, std::string cluster_key);
    ~peer_network();
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;

    // Returns the bound port, or the error text of the operating system. Port 0 binds a free port.
    core::result<std::uint16_t> listen(const control::socket_address& address);

    // Sets the handler for received frames. The body is valid during the call only.
    void on_frame(frame_handler handler);
    // Sets the handler that is called from the event loop after the last incoming connection of a peer has
    // closed or the outgoing connection to it has failed.
    void on_peer_lost(peer_lost_handler handler);

    // Sets the address of a peer. A changed address closes the outgoing connection to it.
    void set_address(const core::entry_host_id& peer, const control::socket_address& address);

    // Connects first if needed. Returns false if the peer's address is unknown, a failed connection may not
    // be retried yet, or a size limit is exceeded. True does not guarantee delivery.
    bool send(const core::entry_host_id& to, std::vector<std::uint8_t> body);

    // Connections whose peer has not proved that it knows the cluster key yet. A new one closes the oldest
    // above this number, so that clients that are no peers take few descriptors.
    void set_max_handshakes(std::size_t max_handshakes) { m_max_handshakes = max_handshakes; }
    [[nodiscard]] std::uint64_t displaced_handshakes() const { return m_displaced_handshakes; }

    // Fault injection for tests: discards frames from and to these peers.
    void set_blocked_peers(std::set<core::entry_host_id> peers);

private:
    friend class outgoing_connection;
    friend class incoming_connection;

    void accept_pending();
    void close_extra_handshakes();
    void deliver(const core::entry_host_id& from, frame body);
    void on_incoming_closed(const incoming_connection* connection);
    void report_peer_lost(const core::entry_host_id& peer);

    event_loop& m_loop;
    core::entry_host_id m_self;
    std::string m_cluster_key;
    int m_listener = -1;
    std::optional<timer_id> m_accept_retry; // Set while the listener is not watched.
    frame_handler m_on_frame;
    peer_lost_handler m_on_peer_lost;
    std::set<core::entry_host_id> m_blocked;
    std::map<core::entry_host_id, std::unique_ptr<outgoing_connection>> m_outgoing;
    std::vector<std::unique_ptr<incoming_connection>> m_incoming; // In the order of arrival.
    std::size_t m_max_handshakes = 256;
    std::uint64_t m_displaced_handshakes = 0;
    core::time_point m_next_report{}; // Of displaced handshakes in the log.
};

} // namespace mangoquay::transport
