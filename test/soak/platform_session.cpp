// Sends statements and reads answers.
#include "soak/platform_session.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace mangoquay::soak {
namespace {

constexpr milliseconds part_pause{2};
constexpr std::array<std::string_view, 6> promises{"BUSY",     "ABORTED",   "LAGGING",
                                                   "READONLY", "MISROUTED", "TOOMANY"};

} // namespace

bool session_answer::is_promise() const {
    return m_is_complete && std::ranges::find(promises, m_error) != promises.end();
}

session_answer platform_session::open(const ip_endpoint& entry, const std::string& database,
                                      const std::string& key, milliseconds limit) {
    const steady_time deadline = steady_clock::now() + limit;
    m_connection = connection::open(entry, limit);
    session_answer answer;
    if (m_connection == nullptr || !m_connection->send("STARTUP " + database + " " + key + "\r\n")) {
        close();
        return answer;
    }
    const auto line = m_connection->read_line(deadline);
    if (!line || !line->starts_with("READY")) {
        answer.m_is_complete = line && line->starts_with("ERROR ");
        answer.m_error = answer.m_is_complete ? line->substr(6, line->find(' ', 6) - 6) : "";
        close();
        return answer;
    }
    answer.m_is_complete = true;
    answer.m_state = 'I';
    return answer;
}

session_answer platform_session::query(const statement_id& id, const std::string& text, milliseconds limit) {
    const steady_time deadline = steady_clock::now() + limit;
    send_only(id, text);
    return m_connection == nullptr ? session_answer{} : read_answer(deadline);
}

void platform_session::send_only(const statement_id& id, const std::string& text) {
    const std::string line = "QUERY " + id.value() + " " + text + "\r\n";
    const auto cut = std::exchange(m_cut, std::nullopt);
    if (m_connection != nullptr &&
        !m_connection->send_in_parts(line, cut ? std::min(*cut, line.size()) : line.size(), part_pause)) {
        close();
    }
}

void platform_session::send_incomplete(const statement_id& id, const std::string& text) {
    if (m_connection != nullptr) {
        (void)m_connection->send("QUERY " + id.value() + " " + text);
    }
}

session_answer platform_session::read_answer(steady_time deadline) {
    session_answer answer;
    while (const auto line = m_connection->read_line(deadline)) {
        if (line->starts_with("ROW ")) {
            answer.m_rows += *line + "\r\n";
        } else if (line->starts_with("COMPLETE ")) {
            answer.m_signature = line->substr(9);
        } else if (line->starts_with("ERROR ")) {
            answer.m_error = line->substr(6, line->find(' ', 6) - 6);
        } else if (line->starts_with("READY ")) {
            answer.m_state = line->size() > 6 ? (*line)[6] : '?';
            answer.m_is_complete = true;
            return answer;
        }
    }
    close();
    return answer;
}

void platform_session::terminate() {
    if (m_connection != nullptr) {
        (void)m_connection->send("TERMINATE\r\n");
    }
    close();
}

void platform_session::reset() {
    if (m_connection != nullptr) {
        m_connection->reset();
    }
    close();
}

} // namespace mangoquay::soak
