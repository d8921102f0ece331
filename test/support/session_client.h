// A caller's session over a blocking socket. Records what it sends and how that is answered.
#pragma once

#include "support/scripted_database.h"
#include "support/session_record.h"

#include <string>
#include <vector>

namespace mangoquay::test {

struct session_reply {
    bool m_closed = false; // The connection ended before the reply.
    std::string m_code;    // Of a refusal; empty for a success.
    std::string m_text;    // Signature or text of the refusal.
    std::vector<std::string> m_rows;
    char m_state = '-';

    [[nodiscard]] bool succeeded() const { return !m_closed && m_code.empty(); }
};

class session_client {
public:
    // Connects. Throws std::runtime_error on failure. `receive_buffer` limits the unread bytes; 0: default.
    session_client(session_record& record, std::uint16_t port, std::string database, int receive_buffer = 0);
    ~session_client();
    session_client(const session_client&) = delete;
    session_client& operator=(const session_client&) = delete;
    session_client(session_client&&) = delete;
    session_client& operator=(session_client&&) = delete;

    // Sends the startup and waits for its answer. Returns whether the session is open.
    bool open();
    // The bytes of a statement, recorded as sent.
    std::string encode(const std::string& text);
    // The bytes of several statements, recorded as sent in this order.
    std::string encode_all(const std::vector<std::string>& texts);
    [[nodiscard]] std::string startup() const { return "STARTUP " + m_database + "\r\n"; }
    [[nodiscard]] const std::string& last_id() const { return m_last_id; }
    // Returns false if the connection is closed.
    bool send_bytes(const std::string& bytes, std::size_t piece = 0) const;
    // The reply to the oldest statement without one.
    session_reply receive();
    session_reply ask(const std::string& text);
    // Waits for the answer to a startup. Returns whether it is READY.
    bool receive_ready();
    // Ends the connection with a reset.
    void reset();
    void terminate();

private:
    bool read_line(std::string& line);
    void follow(const std::string& text);

    session_record& m_record;
    std::string m_database;
    int m_socket = -1;
    std::string m_received;
    std::string m_last_id;
    std::vector<std::string> m_unanswered;
    std::uint64_t m_transaction = 0;
    value_map m_values;
    value_map m_prepared;
};

} // namespace mangoquay::test
