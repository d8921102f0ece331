// Connections of callers: accepts them, decodes their messages, passes statements to the relay core and sends
// its answers.
//
// Owns the listener and one stream for each session. A malformed message ends only its own session.
//
// What callers make this host hold is counted in a memory account. When it runs short, callers that hold much
// are not read from; then those that hold most are closed; then new connections are refused. Callers that
// stop half-way are closed at deadlines. Invariant: connection::m_held is what the account has for it.
#pragma once

#include "entry/session_protocol.h"
#include "metrics/page_writer.h"
#include "relay/relay_core.h"
#include "transport/byte_stream.h"
#include "transport/memory_account.h"

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace mangoquay::entry {

struct caller_limits {
    std::size_t m_max_sessions = 3000;
    // Limit of the statements of one session without an answer. A session that exceeds it is closed.
    std::size_t m_max_waiting_statements = 64;
    transport::memory_shares m_memory = transport::entry_shares(256);
    // Callers wait at most 2 s for the start of a session.
    core::milliseconds m_startup_timeout{10'000};
    // From the first byte of a message to its end. 50 sessions that send 1 MiB each at the same time over
    // 2 Mbit/s take 210 s.
    core::milliseconds m_message_timeout{300'000};
    // Until the caller has read what was unsent before. The same sizes apply.
    core::milliseconds m_answer_timeout{300'000};
};

// Why a caller's connection was closed, or not read from, to keep the limits of the host.
enum class caller_measure : std::uint8_t {
    stopped_reading,  // Memory is short and the caller holds much.
    closed_memory,    // Memory is short and the caller held most.
    refused_memory,   // A new connection, while memory is used up.
    startup_deadline, // No startup in time.
    message_deadline, // No end of a message in time.
    answer_deadline,  // Answers were not read in time.
    displaced,        // It had not started a session and another connection needed its place.
};
inline constexpr std::size_t caller_measure_count = 7;
const char* to_string(caller_measure measure);

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
    [[nodiscard]] std::uint64_t count_of(caller_measure measure) const {
        return m_measures.at(static_cast<std::size_t>(measure));
    }
    [[nodiscard]] const transport::memory_account& memory() const { return m_memory; }
    void add_metrics(metrics::page_writer& page) const;
    // Starts the periodic check of deadlines.
    void start() { check(); }

private:
    struct connection {
        std::unique_ptr<transport::byte_stream> m_stream;
        bool m_started = false;
        core::deadline m_start_deadline; // Time limit of the wait for a configuration.
        std::string m_database;
        std::optional<documents::key_digest> m_key;
        std::vector<std::size_t> m_unanswered; // Sizes of the statements without an answer.
        std::size_t m_unanswered_bytes = 0;    // Their sum.
        std::size_t m_held = 0;                // Counted in the memory account.
        bool m_stopped = false;                // Not read from.
        std::size_t m_known_bytes = 0;         // Received bytes that are not a whole message.
        core::time_point m_accepted_at{};
        core::deadline m_message_deadline{core::time_point::max()}; // Set while a message is incomplete.
        core::deadline m_answer_deadline{core::time_point::max()};  // Set while bytes are unsent.
        std::uint64_t m_answer_mark = 0; // Number of sent bytes that meets m_answer_deadline.
        std::uint64_t m_progress = 0;    // Received and sent bytes when it was the largest at a check.
    };

    void on_connection_accepted(int socket);
    void on_data_received(relay::session_id id, std::string& bytes);
    // Returns false if the connection was closed.
    bool handle_message(relay::session_id id, caller_message message);
    bool start_session(relay::session_id id, connection& caller);
    void refuse_and_close(relay::session_id id, relay::refusal reason, const std::string& text);
    void end_session(relay::session_id id);
    void start_waiting_sessions();
    void handle_messages(relay::session_id id, connection& caller, std::string& bytes);
    static void note_incomplete_message(connection& caller, const std::string& bytes, std::size_t consumed,
                                        core::milliseconds timeout);

    // caller_sessions_limits.cpp: memory, deadlines and places.
    bool make_place();
    // Counts what the caller holds, and stops or continues reading from it.
    void update_memory(relay::session_id id, connection& caller);
    void relieve_memory();
    void close_for(relay::session_id id, caller_measure measure);
    void check();
    // The deadline that the caller has missed, if any.
    std::optional<caller_measure> missed_deadline(connection& caller, core::time_point now) const;
    void update_answer_deadline(connection& caller, core::time_point now) const;
    // While memory stays short, closes the largest caller if it has stopped half-way.
    void close_stopped_caller();
    void write_report(core::time_point now);
    void release(relay::session_id id, connection& closed);
    void count(caller_measure measure) { ++m_measures.at(static_cast<std::size_t>(measure)); }

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
    transport::memory_account m_memory;
    std::set<relay::session_id> m_not_started; // Connections without a session, the oldest first.
    std::set<relay::session_id> m_stopped;     // Connections that are not read from.
    bool m_relief_posted = false;
    bool m_memory_was_short = false; // At the last check.
    std::size_t m_closing_bytes = 0; // Unsent bytes of connections that are being closed.
    std::array<std::uint64_t, caller_measure_count> m_measures{};
    std::array<std::uint64_t, caller_measure_count> m_reported{}; // As in the last log line.
    core::time_point m_next_report{};
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    bool m_retry_timer_set = false;
};

} // namespace mangoquay::entry
