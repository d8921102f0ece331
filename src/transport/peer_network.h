// Framed, mutually authenticated TCP links between mangoquay processes.
//
// A process sends to a peer over the link that it dialled itself and receives over links that peers dialled,
// so a cut in one direction stops only that direction. Frames that cannot be sent are dropped: every protocol
// above retries. Owns: the listening socket and the links. Runs on the event loop's thread.
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
#include <set>
#include <span>
#include <string>
#include <vector>

namespace mangoquay::transport {

// A peer that does not read gets no more frames past this many unsent bytes.
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

    // Fails with the reason of the operating system. Port 0 takes a free one; the bound port is returned.
    core::result<std::uint16_t> listen(const control::socket_address& address);

    void on_frame(frame_handler handler);
    // Called, soon after, when the last incoming link of a peer closed or the outgoing link to it failed.
    void on_peer_lost(peer_lost_handler handler);

    // Where to dial a peer. A changed address closes the present link.
    void set_address(const core::entry_host_id& peer, const control::socket_address& address);

    // Dials when needed. False when the peer's address is unknown or its backlog is full; true promises
    // nothing.
    bool send(const core::entry_host_id& to, std::vector<std::uint8_t> body);

    // Fault injection for tests: frames from and to these peers are discarded.
    void set_blocked_peers(std::set<core::entry_host_id> peers);

private:
    friend class outgoing_connection;
    friend class incoming_connection;

    void accept_pending();
    void deliver(const core::entry_host_id& from, frame body);
    void on_incoming_closed(const incoming_connection* connection);
    void report_peer_lost(const core::entry_host_id& peer);

    event_loop& m_loop;
    core::entry_host_id m_self;
    std::string m_cluster_key;
    int m_listener = -1;
    frame_handler m_on_frame;
    peer_lost_handler m_on_peer_lost;
    std::set<core::entry_host_id> m_blocked;
    std::map<core::entry_host_id, std::unique_ptr<outgoing_connection>> m_outgoing;
    std::vector<std::unique_ptr<incoming_connection>> m_incoming;
};

} // namespace mangoquay::transport
