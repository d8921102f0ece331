// A database that speaks the line protocol on a loopback address and misbehaves on request. Each connection
// has a thread of its own.
//
// Runs every statement that arrives on an open connection, in the order of arrival, and records it. Rejects
// and records lines that the protocol does not allow.
#pragma once

#include "support/protocol_reader.h"
#include "support/session_record.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace mangoquay::test {

// What a database does with one request. Empty: it runs it and answers.
struct database_reaction {
    bool m_loses_transaction = false; // It runs the request, then ends its open transaction and answers.
    std::string m_refusal;            // It does not run the request and answers with this code.
    std::optional<char> m_state;      // It reports this state in place of the real one.
    bool m_loses_answer = false;
    std::string m_extra;                      // It sends these bytes after the answer.
    std::optional<std::size_t> m_reset_after; // It sends so many bytes of the answer, then resets.
    std::chrono::milliseconds m_delay{};      // Time before the request runs.
    std::size_t m_piece = 0;                  // Size of the pieces in which it sends the answer; 0: whole.
};

struct database_query {
    std::string m_id; // "-" for requests that no caller sent.
    std::string m_text;
    bool m_in_transaction = false;
};

class scripted_database {
public:
    using script = std::function<database_reaction(const database_query&)>;

    // Listens on a free port.
    scripted_database(session_record& record, std::string id);
    ~scripted_database();
    scripted_database(const scripted_database&) = delete;
    scripted_database& operator=(const scripted_database&) = delete;
    scripted_database(scripted_database&&) = delete;
    scripted_database& operator=(scripted_database&&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    // Replaces the script, which may be called from several threads at once.
    void set_script(script next);
    // Ends all connections with a reset; their transactions are rolled back.
    void reset_connections();
    // Ends like a process, and starts again at the same address.
    void restart(const std::string& id);
    [[nodiscard]] std::size_t accepted_count() const { return m_accepted; }
    // The largest number of prepared statements that one connection has held.
    [[nodiscard]] std::size_t max_prepared() const { return m_max_prepared; }

private:
    struct connection {
        int m_socket = -1;
        std::thread m_thread;
        std::string m_received;
        value_map m_values;
        value_map m_prepared; // Name to "READ shape" or "WRITE shape".
        std::uint64_t m_transaction = 0;
        std::vector<std::string> m_writes;
    };

    void listen();
    void accept_all();
    void serve(connection& served);
    std::optional<std::string> read_line(connection& served);
    // Returns false if the connection is to end.
    bool handle_query(connection& served, const std::string& line);
    std::string run(connection& served, const std::string& line);
    std::string run_forwarded(connection& served, const read_request& request);
    std::string run_own(connection& served, const read_request& request);
    bool send_answer(const connection& served, const std::string& bytes, const database_reaction& reaction);
    void stop();

    session_record& m_record;
    std::string m_id;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<std::size_t> m_accepted{0};
    std::atomic<std::size_t> m_max_prepared{0};
    std::mutex m_mutex;
    script m_script;
    std::list<connection> m_connections;
    std::thread m_acceptor;
};

// Closes the socket with a reset.
void reset_socket(int socket);

} // namespace mangoquay::test
