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

// A statement's text and argument are held until its answer, and once more in the send buffer to a database.
std::size_t memory_of(const relay::session_statement& statement) {
    return 2 * statement.m_text.size() + statement.m_argument.size() + statement.m_id.size();
}

} // namespace

caller_sessions::caller_sessions(transport::event_loop& loop, const session_protocol& protocol,
                                 caller_limits limits, std::function<bool()> may_start_work)
    : m_loop(loop), m_protocol(protocol), m_limits(limits), m_may_start_work(std::move(may_start_work)),
      m_listener(loop), m_memory(limits.m_memory, limits.m_max_sessions) {}

core::result<std::uint16_t> caller_sessions::listen(const control::socket_address& address,
                                                    relay::relay_core& core) {
    m_core = &core;
    return m_listener.listen(address, [this](int socket) { on_connection_accepted(socket); });
}

void caller_sessions::on_connection_accepted(int socket) {
    if (!make_place()) {
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
    opened.m_accepted_at = core::now();
    opened.m_stream = std::make_unique<transport::byte_stream>(m_loop, socket, std::move(handlers));
    m_not_started.insert(id);
    update_memory(id, opened);
}

void caller_sessions::on_data_received(relay::session_id id, std::string& bytes) {
    if (!m_may_start_work()) {
        m_waiting_sessions.insert(id); // The bytes stay in the stream.
        update_memory(id, m_connections.at(id));
        return;
    }
    connection& caller = m_connections.at(id);
    if (m_protocol.may_have_caller_message(bytes, caller.m_known_bytes)) {
        handle_messages(id, caller, bytes); // May erase the connection.
    } else {
        note_incomplete_message(caller, bytes, 0, m_limits.m_message_timeout);
        update_memory(id, caller);
    }
}

void caller_sessions::handle_messages(relay::session_id id, connection& caller, std::string& bytes) {
    std::size_t offset = 0;
    while (auto message = m_protocol.decode_caller_message(bytes, offset)) {
        if (!handle_message(id, std::move(*message)) || !m_connections.contains(id)) {
            return;
        }
    }
    bytes.erase(0, offset);
    note_incomplete_message(caller, bytes, offset, m_limits.m_message_timeout);
    update_memory(id, caller);
}

void caller_sessions::note_incomplete_message(connection& caller, const std::string& bytes,
                                              std::size_t consumed, core::milliseconds timeout) {
    if (bytes.empty()) {
        caller.m_message_deadline.m_at = core::time_point::max();
    } else if (consumed > 0 || caller.m_known_bytes == 0) {
        caller.m_message_deadline = core::deadline_after(core::now(), timeout);
    }
    caller.m_known_bytes = bytes.size();
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
        if (!caller.m_started || caller.m_unanswered.size() >= m_limits.m_max_waiting_statements) {
            refuse_and_close(id, relay::refusal::malformed,
                             "statement before startup, or too many statements without an answer");
            return false;
        }
        caller.m_unanswered.push_back(memory_of(message.m_statement));
        caller.m_unanswered_bytes += caller.m_unanswered.back();
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
    m_not_started.erase(id);
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
    connection& caller = found->second;
    if (!caller.m_unanswered.empty()) {
        caller.m_unanswered_bytes -= caller.m_unanswered.front();
        caller.m_unanswered.erase(caller.m_unanswered.begin());
    }
    std::string bytes;
    m_protocol.encode_answer(answer, bytes);
    caller.m_stream->write(bytes);
    update_memory(session, caller);
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
        release(session, found->second);
        m_connections.erase(found);
    }
}

void caller_sessions::end_session(relay::session_id id) {
    m_waiting_sessions.erase(id);
    close_session(id);
    m_core->on_session_closed(id, core::now());
}

} // namespace mangoquay::entry
