// A database session on non-blocking libpq. It runs one statement at a time and returns a typed answer.
//
// Owns the libpq connection and its socket. Runs on the event loop's thread. Invariants: a session whose
// answer is unread, timed out or uncertain is closed and never used again; no handler is called from inside
// open() or execute(), nor after close().
#pragma once

#include "core/clock.h"
#include "core/statement.h"
#include "dialect/database_dialect.h"
#include "transport/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct pg_conn;
struct pg_result;

namespace mangoquay::database {

enum class statement_outcome : std::uint8_t {
    completed,       // The whole answer arrived.
    refused,         // The database reported an error. The session is still usable.
    not_sent,        // The session was already closed and nothing was sent.
    connection_lost, // Sent, but the session ended before the whole answer arrived.
    timed_out, // Sent, but the deadline passed. The session is closed here and may still run at the server.
};

struct database_answer {
    statement_outcome m_outcome = statement_outcome::completed;
    std::string m_sqlstate; // SQLSTATE of an error.
    std::string m_message;  // Text of an error.
    std::string m_command_tag;
    std::vector<std::string> m_columns;
    std::vector<std::vector<core::cell>> m_rows;
    std::uint64_t m_rows_affected = 0;

    // Returns the first cell of the first row. Returns nullopt if there is none or if it is null.
    [[nodiscard]] std::optional<std::string> first_cell() const;
};

enum class transaction_state : std::uint8_t { none, open, failed, unknown };

using statement_handler = std::function<void(database_answer)>;
// Receives whether the session is open and, if it is not, the error text of the driver.
using open_handler = std::function<void(bool opened, const std::string& reason)>;

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(transport::event_loop& loop, std::vector<dialect::connection_parameter> parameters);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    // Connects to the server. Called once. `handler` receives the result at the latest at `deadline`.
    void open(core::deadline deadline, open_handler handler);
    // Sends one statement. The session must be usable(); if it has been closed, the outcome is not_sent. If
    // the answer is not complete at `deadline`, the session is closed.
    void execute(const std::string& sql, const std::vector<core::cell>& parameters, core::deadline deadline,
                 statement_handler handler);
    // Sets the handler that is called when the session ends while no statement is in flight.
    void on_closed_while_idle(std::function<void()> handler) { m_on_closed_while_idle = std::move(handler); }
    // Ends the session without calling any handler.
    void close();

    [[nodiscard]] bool usable() const { return m_phase == phase::idle; }
    // Returns the state of the transaction as of the last answer.
    [[nodiscard]] transaction_state transaction() const;
    // Returns the process id of the session at the server, or 0 before the session is open.
    [[nodiscard]] int server_process_id() const { return m_server_process_id; }

private:
    enum class phase : std::uint8_t { unopened, connecting, idle, busy, closed };

    void continue_connecting();
    void on_connect_finished(bool opened, const std::string& reason);
    void on_socket(std::uint32_t events);
    void flush();
    void read_answer();
    void on_answer_complete();
    void fail(statement_outcome outcome, const std::string& reason);
    void set_timer(core::deadline deadline);
    void watch(std::uint32_t events);
    [[nodiscard]] std::string driver_error() const;

    transport::event_loop& m_loop;
    std::vector<dialect::connection_parameter> m_parameters;
    pg_conn* m_driver = nullptr;
    int m_socket = -1;
    int m_server_process_id = 0;
    phase m_phase = phase::unopened;
    std::optional<transport::timer_id> m_timer;
    open_handler m_on_open;
    statement_handler m_on_answer;
    std::function<void()> m_on_closed_while_idle;
    database_answer m_answer; // The answer that is being received.
};

} // namespace mangoquay::database
