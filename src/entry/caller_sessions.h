// The connections of callers: accepts, decodes, hands statements to the relay core and sends its answers.
//
// Owns: the listener and one stream a session. A broken message ends only its own session.
#pragma once

#include "entry/session_protocol.h"
#include "relay/relay_core.h"
#include "transport/byte_stream.h"

#include <memory>
#include <unordered_map>

namespace mangoquay::entry {

struct caller_limits {
    std::size_t m_max_sessions = 3000;
    // Statements of one session that may wait for their turn; beyond it the session is closed.
    std::size_t m_max_waiting_statements = 64;
};

class caller_sessions {
public:
    caller_sessions(transport::event_loop& loop, const session_protocol& protocol, caller_limits limits);

    // The relay core must outlive this object.
    core::result<std::uint16_t> listen(const control::socket_address& address, relay::relay_core& core);

    // Connections that are not accepted yet are refused from now on.
    void stop_accepting() { m_listener.close(); }
    void send_answer(relay::session_id session, const relay::session_answer& answer);
    void close_session(relay::session_id session);
    [[nodiscard]] std::size_t open_count() const { return m_connections.size(); }
    // Sessions that were refused because there were too many.
    [[nodiscard]] std::uint64_t rejected_count() const { return m_rejected_count; }

private:
    struct connection {
        std::unique_ptr<transport::byte_stream> m_stream;
        bool m_started = false;
        core::deadline m_start_deadline; // waits for the configuration until then
        std::string m_database;
        std::size_t m_unanswered_count = 0; // statements without an answer yet
    };

    void on_connection_accepted(int socket);
    void on_data_received(relay::session_id id, std::string& bytes);
    // False when the connection was closed.
    bool handle_message(relay::session_id id, caller_message message);
    bool start_session(relay::session_id id, connection& caller);
    void refuse_and_close(relay::session_id id, relay::refusal reason, const std::string& text);
    void end_session(relay::session_id id);
    void start_waiting_sessions();

    transport::event_loop& m_loop;
    const session_protocol& m_protocol;
    caller_limits m_limits;
    transport::stream_listener m_listener;
    relay::relay_core* m_core = nullptr;
    std::unordered_map<relay::session_id, connection> m_connections;
    core::time_point m_started_at = core::now();
    std::uint64_t m_last_session = 0;
    std::uint64_t m_rejected_count = 0;
    bool m_retry_timer_set = false;
};

} // namespace mangoquay::entry
