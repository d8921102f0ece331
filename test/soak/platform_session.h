// A caller's session with an entry host over the line protocol.
#pragma once

#include "soak/network.h"
#include "soak/sent_statement.h"

namespace mangoquay::soak {

struct session_answer {
    bool m_is_complete = false; // Everything up to the state has arrived.
    std::string m_error{};      // The code, empty for success.
    std::string m_rows{};
    std::string m_signature{};
    char m_state = '?';

    [[nodiscard]] bool is_success() const { return m_is_complete && m_error.empty(); }
    // The answer promises that nothing of the attempt is kept.
    [[nodiscard]] bool is_promise() const;
};

class platform_session {
public:
    platform_session() = default;

    // Returns the answer to the start of the session.
    session_answer open(const ip_endpoint& entry, const std::string& database, const std::string& key,
                        milliseconds limit);
    session_answer query(const statement_id& id, const std::string& text, milliseconds limit);
    // Sends without waiting for the answer.
    void send_only(const statement_id& id, const std::string& text);
    // Sends the statement without the end of its line, which may not be run.
    void send_incomplete(const statement_id& id, const std::string& text);
    // The next statement is sent in two parts.
    void split_next(std::size_t cut) { m_cut = cut; }
    // True if it is closed or something came that nobody asked for.
    [[nodiscard]] bool is_broken() const { return m_connection == nullptr || m_connection->is_disturbed(); }
    void terminate();
    void close() { m_connection.reset(); }
    void reset();

private:
    session_answer read_answer(steady_time deadline);
    std::unique_ptr<connection> m_connection;
    std::optional<std::size_t> m_cut; // Where the next statement is split.
};

} // namespace mangoquay::soak
