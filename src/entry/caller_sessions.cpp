// Startup, statements and closing of callers' connections.
#include "entry/caller_sessions.h"

#include "core/log.h"
#include "core/quoting.h"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace mangoquay::entry {
namespace {

// Callers abandon a session if its startup takes more than 2 s.
constexpr core::milliseconds startup_timeout{1500};
constexpr core::milliseconds startup_retry_interval{50};

} // namespace

caller_sessions::caller_sessions(transport::event_loop& loop, const session_protocol& protocol,
                                 caller_limits limits, std::function<bool()> may_start_work)
    : m_loop(loop), m_protocol(protocol), m_limits(limits), m_may_start_work(std::move(may_start_work)),
      m_listener(loop) {}

core::result<std::uint16_t> caller_sessions::listen(const control::socket_address& address,
                                                    relay::relay_core& core) {
    m_core = &core;
    return m_listener.listen(address, [this](int socket) { on_connection_accepted(socket); });
}

void caller_sessions::on_connection_accepted(int socket) {
    if (m_connections.size() >= m_limits.m_max_sessions) {
        ++m_rejected_count;
        ::close(socket);
        return;
    }
    const relay::session_id id(++m_last_session);
    transport::stream_handlers handlers;
    handlers.m_on_bytes_received = [this, id](std::string& bytes) { on_data_received(id, bytes); };
    handlers.m_on_closed = [this, id](const std::string&) { end_session(id); };
    connection& opened = m_connections[id];
    // Callers do not wait if the host has had no configuration for startup_timeout since its start.
    opened.m_start_deadline = std::min(core::deadline_after(core::now(), startup_timeout),
                                       core::deadline_after(m_started_at, startup_timeout));
    opened.m_stream = std::make_unique<transport::byte_stream>(m_loop, socket, std::move(handlers));
}

void caller_sessions::on_data_received(relay::session_id id, std::string& bytes) {
    if (!m_may_start_work()) {
        m_waiting_sessions.insert(id); // The bytes stay in the stream.
        return;
    }
    std::size_t offset = 0;
    while (auto message = m_protocol.decode_caller_message(bytes, offset)) {
        if (!handle_message(id, std::move(*message)) || !m_connections.contains(id)) {
            return;
        }
    }
    bytes.erase(0, offset);
}

void caller_sessions::resume() {
    for (const relay::session_id id : std::exchange(m_waiting_sessions, {})) {
        if (const auto found = m_connections.find(id); found != m_connections.end()) {
            found->second.m_stream->deliver_received(); // May erase the connection.
        }
    }
}

bool caller_sessions::handle_message(relay::session_id id, caller_message message) {
    connection& caller = m_connections.at(id);
    switch (message.m_kind) {
    case message_kind::startup:
        if (caller.m_started || !caller.m_database.empty()) {
            refuse_and_close(id, relay::refusal::malformed, "the session is started already");
            return false;
        }
        caller.m_database = std::move(message.m_database);
        caller.m_key = std::move(message.m_key);
        return start_session(id, caller);
    case message_kind::statement:
        if (!caller.m_started || ++caller.m_unanswered_count > m_limits.m_max_waiting_statements) {
            refuse_and_close(id, relay::refusal::malformed,
                             "statement before startup, or too many statements without an answer");
            return false;
        }
        m_core->on_statement_received(id, message.m_statement, core::now());
        return true;
    case message_kind::terminate:
        end_session(id);
        return false;
    default:
        refuse_and_close(id, relay::refusal::malformed, "malformed or oversized message");
        return false;
    }
}

bool caller_sessions::start_session(relay::session_id id, connection& caller) {
    const core::time_point now = core::now();
    if (!m_core->configured() && !caller.m_start_deadline.passed(now)) {
        if (!m_retry_timer_set) {
            m_retry_timer_set = true;
            m_loop.run_after(startup_retry_interval, [this] { start_waiting_sessions(); });
        }
        return true;
    }
    if (!m_core->configured()) {
        refuse_and_close(id, relay::refusal::busy, "this host has no configuration yet");
        return false;
    }
    const relay::session_admission admission = m_core->on_session_opened(id, caller.m_database, caller.m_key);
    if (admission == relay::session_admission::unknown_database) {
        refuse_and_close(id, relay::refusal::unknown_database, "no route of that name");
        return false;
    }
    if (admission == relay::session_admission::unknown_key) {
        refuse_and_close(id, relay::refusal::unauthorized, "the key is not known");
        return false;
    }
    caller.m_started = true;
    std::string ready;
    m_protocol.encode_ready(ready);
    caller.m_stream->write(ready);
    return true;
}

void caller_sessions::start_waiting_sessions() {
    m_retry_timer_set = false;
    std::vector<relay::session_id> waiting;
    for (const auto& [id, caller] : m_connections) {
        if (!caller.m_started && !caller.m_database.empty()) {
            waiting.push_back(id);
        }
    }
    for (const relay::session_id id : waiting) {
        start_session(id, m_connections.at(id));
    }
}

void caller_sessions::send_answer(relay::session_id session, const relay::session_answer& answer) {
    const auto found = m_connections.find(session);
    if (found == m_connections.end()) {
        return;
    }
    --found->second.m_unanswered_count;
    std::string bytes;
    m_protocol.encode_answer(answer, bytes);
    found->second.m_stream->write(bytes);
}

void caller_sessions::refuse_and_close(relay::session_id id, relay::refusal reason, const std::string& text) {
    const auto found = m_connections.find(id);
    std::string bytes;
    m_protocol.encode_refusal(reason, text, bytes);
    found->second.m_stream->write(bytes);
    core::log_line(core::log_level::debug, "entry",
                   "session refused reason=" + std::string(relay::to_string(reason)) +
                       " database=" + core::word_or_quoted(found->second.m_database));
    end_session(id);
}

void caller_sessions::close_session(relay::session_id session) {
    const auto found = m_connections.find(session);
    if (found != m_connections.end()) {
        transport::byte_stream::close_when_sent(std::move(found->second.m_stream));
        m_connections.erase(found);
    }
}

void caller_sessions::end_session(relay::session_id id) {
    m_waiting_sessions.erase(id);
    close_session(id);
    m_core->on_session_closed(id, core::now());
}

} // namespace mangoquay::entry
