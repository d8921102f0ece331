// One client connection of the stand-in: speaks the protocol, runs one statement at a time and simulates the
// faults that a client can observe.
//
// Owns its socket and buffers. Runs on the thread of the stand-in's event loop. A statement that runs when
// the client disconnects still finishes, as in PostgreSQL.
#pragma once

#include "database.h"
#include "statements.h"
#include "transport/event_loop.h"
#include "wire.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mangoquay::standin {

class session;

// Services of the process that a session uses.
struct session_environment {
    transport::event_loop& m_loop;
    const layout& m_layout;
    // The database that a replica follows; null: none.
    std::function<const database*(const database&)> m_upstream_of;
    // The databases that stream from the given one.
    std::function<std::vector<const database*>(const database&)> m_streaming_from;
    std::function<void()> m_on_committed; // Called when new log records are to be replicated.
    std::function<void(std::int32_t pid, std::int32_t secret)> m_cancel_session;
    std::function<void(session&)> m_on_session_ended; // The last call of a session, which is destroyed later.
};

class session : public backend, public std::enable_shared_from_this<session> {
public:
    session(session_environment& environment, database& served, int socket, std::string source,
            std::int32_t pid);
    ~session() override;
    session(const session&) = delete;
    session& operator=(const session&) = delete;
    session(session&&) = delete;
    session& operator=(session&&) = delete;

    void start();
    void terminate() override;
    void on_lock_released() override;
    // Cancels the running statement if `secret` is the session's cancellation key.
    void cancel(std::int32_t secret);
    // Watches the socket for the events that the session needs now; for none while a freeze or a cut suspends
    // it.
    void update_event_watch();
    // Continues after a freeze or a cut has ended.
    void resume();
    // Ends the session without a message to the client, as a crash does.
    void close();
    [[nodiscard]] const database& served_database() const { return m_database; }

private:
    enum class phase { startup, password, connecting, ready, ended };
    struct statement {
        std::string m_sql;
        std::vector<core::cell> m_parameters;
        statement_description m_description;
        bool m_simple = false; // Sent with the simple query protocol.
        bool m_cancelled = false;
    };

    [[nodiscard]] bool is_suspended() const {
        return m_database.m_faults.m_frozen || m_database.cut_from(*this);
    }
    void on_socket_ready(std::uint32_t events);
    void read_input();
    // Returns the additional round-trip time of a client in another zone; zero for other clients.
    [[nodiscard]] core::duration round_trip() const;
    void process_input();
    // Calls `step` after `delay`, or at the end of a freeze that is in effect then. Does nothing if the
    // statement has finished or the session has ended by that time.
    void schedule(core::duration delay, void (session::*step)());

    void handle_startup(const message& received);
    void begin_connect();
    void finish_connect();
    void handle_message(const message& received);
    void handle_parse(field_reader body);
    void handle_bind(field_reader body);
    void handle_describe(field_reader body);
    void handle_sync();

    void begin_statement(statement next);
    [[nodiscard]] core::duration statement_time() const;
    void on_statement_due();
    void try_statement();
    void finish_statement(const statement_outcome& result, std::uint64_t position_before);
    void on_cancel_due();
    // Commits the statements that ran without BEGIN. Returns false if the session has ended.
    bool end_implicit_transaction();
    void on_lock_timeout();
    void end_caller_statement();
    void write_result(const statement_outcome& result);
    void write_error(const std::string& sqlstate, const std::string& text);
    void write_ready();
    // Called after a statement that may have committed. Returns false if the answer was dropped and the
    // session has ended.
    bool after_commit(std::uint64_t position_before);
    void send_fatal_error(const std::string& sqlstate, const std::string& text);
    void flush();

    session_environment& m_environment;
    database& m_database;
    int m_socket;
    std::int32_t m_secret;
    phase m_phase = phase::startup;
    // A statement is running or the start-up is delayed; no further messages are processed.
    bool m_busy = false;
    bool m_counted_as_running = false; // The running statement is counted as a caller's statement.
    bool m_waiting_for_lock = false;   // The statement waits for a row lock.
    void (session::*m_suspended_step)() = nullptr; // Step whose timer expired during a freeze.
    bool m_skip_to_sync = false; // After an error, messages are ignored up to the next Sync.
    bool m_peer_closed = false;
    bool m_close_after_flush = false;
    std::string m_input;
    std::string m_output;
    // Number of bytes of m_output that may be sent; the rest waits for Sync or Flush.
    std::size_t m_flushable_bytes = 0;
    std::map<std::string, std::string> m_prepared;
    std::map<std::string, statement> m_portals;
    statement m_current;
    std::uint64_t m_statement_number = 0; // Timers of earlier statements are ignored.
    bool m_lock_timer_set = false;
};

} // namespace mangoquay::standin
