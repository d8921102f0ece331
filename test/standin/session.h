// One client connection of the stand-in: the protocol, one statement at a time, and the faults that a client
// can see.
//
// Owns: its socket and buffers. Runs on the stand-in's loop thread. A statement that runs when the client
// goes away still finishes, as in PostgreSQL.
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

// What a session needs from the process_input around it.
struct session_environment {
    transport::event_loop& m_loop;
    const layout& m_layout;
    std::function<const database*(const database&)> m_upstream_of;
    std::function<std::vector<const database*>(const database&)> m_streaming_from;
    std::function<void()> m_on_committed; // replication has something to do
    std::function<void(std::int32_t pid, std::int32_t secret)> m_cancel_session;
    std::function<void(session&)> m_on_session_ended; // last call of a session; it is destroyed later
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
    void cancel(std::int32_t secret);
    // Reads and writes, or neither while a freeze or a cut holds the session.
    void update_event_watch();
    // A freeze or a cut ended: goes on where it stopped.
    void resume();
    // Closes without a word, as a crash does.
    void close();
    [[nodiscard]] const database& served_database() const { return m_database; }

private:
    enum class phase { startup, password, connecting, ready, ended };
    struct statement {
        std::string m_sql;
        std::vector<core::cell> m_parameters;
        statement_description m_description;
        bool m_simple = false;
        bool m_cancelled = false;
    };

    [[nodiscard]] bool is_suspended() const {
        return m_database.m_faults.m_frozen || m_database.cut_from(*this);
    }
    void on_socket_ready(std::uint32_t events);
    void read_input();
    // Of a client in another zone, else none.
    [[nodiscard]] core::duration round_trip() const;
    void process_input();
    void schedule(core::duration delay, void (session::*step)());

    void handle_startup(const message& received);
    void begin_connect();
    void finish_connect();
    void handle(const message& received);
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
    // Commits what ran outside BEGIN. False: the session has ended.
    bool end_implicit_transaction();
    void on_lock_timeout();
    void end_caller_statement();
    void write_result(const statement_outcome& result);
    void write_error(const std::string& sqlstate, const std::string& text);
    void write_ready();
    // False: the answer is to be dropped and the session has ended.
    bool after_commit(std::uint64_t position_before);
    void fatal(const std::string& sqlstate, const std::string& text);
    void flush();

    session_environment& m_environment;
    database& m_database;
    int m_socket;
    std::int32_t m_secret;
    phase m_phase = phase::startup;
    bool m_busy = false;                           // a statement runs or a start-up waits
    bool m_holds_slot = false;                     // the statement takes a slot
    bool m_waiting_for_lock = false;               // for a row lock
    void (session::*m_suspended_step)() = nullptr; // a timer fired while frozen
    bool m_skip_to_sync = false;
    bool m_peer_closed = false;
    bool m_close_after_flush = false;
    std::string m_input;
    std::string m_output;
    std::size_t m_flushable_bytes = 0; // bytes of m_output that may be sent; the rest waits for Sync or Flush
    std::map<std::string, std::string> m_prepared;
    std::map<std::string, statement> m_portals;
    statement m_current;
    std::uint64_t m_statement_number = 0; // timers of earlier statements do nothing
    bool m_lock_timer_set = false;
};

} // namespace mangoquay::standin
