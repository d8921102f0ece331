// Connections of callers: accepts them, decodes their messages, passes statements to the relay core and sends
// its answers.
//
// Owns the listener and one stream for each session. A malformed message ends only its own session.
#pragma once

#include "entry/session_protocol.h"
#include "relay/relay_core.h"
#include "transport/byte_stream.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace mangoquay::entry {

struct caller_limits {
    std::size_t m_max_sessions = 3000;
    // Limit of the statements of one session without an answer. A session that exceeds it is closed.
    std::size_t m_max_waiting_statements = 64;
};

class caller_sessions {
public:
    // While `may_start_work` returns false, messages of callers wait until resume() is called.
    caller_sessions(transport::event_loop& loop, const session_protocol& protocol, caller_limits limits,
                    std::function<bool()> may_start_work);

    // Returns the port. `core` receives the sessions and statements and must outlive this object.
    core::result<std::uint16_t> listen(const control::socket_address& address, relay::relay_core& core);

    // Accepts the connections that callers have established already; later ones are refused.
    void stop_accepting() { m_listener.accept_rest_and_close(); }
    // Handles the messages that have waited.
    void resume();
    [[nodiscard]] bool has_waiting_messages() const { return !m_waiting_sessions.empty(); }
    void send_answer(relay::session_id session, const relay::session_answer& answer);
    // Closes the connection when all data is sent. Does not notify the relay core.
    void close_session(relay::session_id session);
    [[nodiscard]] std::size_t open_count() const { return m_connections.size(); }
    // Number of connections that were rejected because m_max_sessions was reached.
    [[nodiscard]] std::uint64_t rejected_count() const { return m_rejected_count; }

private:
    struct connection {
        std::unique_ptr<transport::byte_stream> m_stream;
        bool m_started = false;
        core::deadline m_start_deadline; // Time limit of the wait for a configuration.
        std::string m_database;
        std::optional<documents::key_digest> m_key;
        std::size_t m_unanswered_count = 0; // Statements without an answer.
    };

    void on_connection_accepted(int socket);
    void on_data_received(relay::session_id id, std::string& bytes);
    // Returns false if the connection was closed.
    bool handle_message(relay::session_id id, caller_message message);
    bool start_session(relay::session_id id, connection& caller);
    void refuse_and_close(relay::session_id id, relay::refusal reason, const std::string& text);
    void end_session(relay::session_id id);
    void start_waiting_sessions();

    transport::event_loop& m_loop;
    const session_protocol& m_protocol;
    caller_limits m_limits;
    std::function<bool()> m_may_start_work;
    std::set<relay::session_id> m_waiting_sessions; // Received messages that have not been handled.
    transport::stream_listener m_listener;
    relay::relay_core* m_core = nullptr;
    std::unordered_map<relay::session_id, connection> m_connections;
    core::time_point m_started_at = core::now();
    std::uint64_t m_last_session = 0;
    std::uint64_t m_rejected_count = 0;
    bool m_retry_timer_set = false;
};

} // namespace mangoquay::entry
