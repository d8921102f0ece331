#include "requester.h"

#include <cstdio>
#include <mutex>
#include <random>

namespace review {

std::string new_id() {
    static std::mutex mutex;
    static std::mt19937_64 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

session::session(const address& at, const std::string& database, const std::string& user, milliseconds limit,
                 std::size_t bytes_per_s)
    : m_peer(std::make_unique<stream>(connect_to(at, limit, bytes_per_s > 0))) {
    m_peer->set_rate(bytes_per_s);
    if (m_peer->is_open() && m_peer->send("STARTUP " + database + " " + user + "\r\n")) {
        const auto line = m_peer->read_line(steady::now() + limit);
        m_open = line && line->starts_with("READY");
    }
}

answer session::query(const std::string& id, const std::string& text, milliseconds limit) {
    const auto deadline = steady::now() + limit;
    answer result;
    const std::size_t before = m_peer->received_bytes();
    if (!m_open || !m_peer->send("QUERY " + id + " " + text + "\r\n")) {
        m_open = false;
        return result;
    }
    while (const auto line = m_peer->read_line(deadline)) {
        if (line->starts_with("ROW ")) {
            ++result.rows;
            result.row_bytes += line->size() - 4;
        } else if (line->starts_with("READY ")) {
            result.complete = true;
            break;
        } else {
            result.outcome = *line;
        }
    }
    m_open = result.complete;
    result.received = m_peer->received_bytes() - before;
    return result;
}

} // namespace review
