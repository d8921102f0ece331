// Sockets and bookkeeping of a caller's session.
#include "support/session_client.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mangoquay::test {
namespace {

bool promises_not_kept(const std::string& code) {
    static const std::set<std::string> promises{"BUSY",     "ABORTED",   "LAGGING",
                                                "READONLY", "MISROUTED", "TOOMANY"};
    return promises.contains(code);
}

// Removes the first field, and the blank after it, from the text.
std::string take_field(std::string& text) {
    const std::size_t blank = text.find(' ');
    std::string field = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return field;
}

} // namespace

session_client::session_client(session_record& record, std::uint16_t port, std::string database,
                               int receive_buffer)
    : m_record(record), m_database(std::move(database)),
      m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer > 0) {
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(m_socket);
        throw std::runtime_error("connect failed");
    }
    // A host that hangs fails the test instead of blocking the run.
    const timeval receive_timeout{20, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
}

session_client::~session_client() {
    if (m_socket >= 0) {
        ::close(m_socket);
    }
}

bool session_client::open() {
    return send_bytes(startup()) && receive_ready();
}

bool session_client::receive_ready() {
    std::string line;
    return read_line(line) && line.starts_with("READY I");
}

// Applies the statement to what the session is to hold, in the order of sending.
void session_client::follow(const std::string& text) {
    std::string rest = text;
    const std::string word = take_field(rest);
    const std::string name = take_field(rest);
    if (word == "BEGIN") {
        m_transaction = m_record.next_number();
    } else if (word == "COMMIT" || word == "ROLLBACK") {
        m_transaction = 0;
    } else if (word == "SET") {
        m_values[name] = rest;
    } else if (word == "PREPARE") {
        m_prepared[name] = rest;
    } else if (word == "DEALLOCATE") {
        m_prepared.erase(name);
    }
}

std::string session_client::encode(const std::string& text) {
    m_last_id = "q" + std::to_string(m_record.next_number());
    std::string meant = text;
    if (text.starts_with("EXECUTE ")) {
        const std::size_t end = text.find(' ', 8);
        const auto prepared = m_prepared.find(text.substr(8, end - 8));
        meant = (prepared == m_prepared.end() ? "unknown name" : prepared->second) + arguments_separator +
                text.substr(end + 1);
    }
    m_record.add_sent(m_last_id, {m_transaction, meant, m_values});
    follow(text);
    m_unanswered.push_back(m_last_id);
    return "QUERY " + m_last_id + " " + text + "\r\n";
}

std::string session_client::encode_all(const std::vector<std::string>& texts) {
    std::string bytes;
    for (const std::string& text : texts) {
        bytes += encode(text);
    }
    return bytes;
}

bool session_client::send_bytes(const std::string& bytes, std::size_t piece) const {
    const std::size_t step = piece == 0 ? bytes.size() : piece;
    for (std::size_t sent = 0; sent < bytes.size();) {
        const ssize_t count =
            ::send(m_socket, bytes.data() + sent, std::min(step, bytes.size() - sent), MSG_NOSIGNAL);
        if (count < 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
        if (piece != 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    }
    return true;
}

bool session_client::read_line(std::string& line) {
    for (;;) {
        const std::size_t end = m_received.find("\r\n");
        if (end != std::string::npos) {
            line = m_received.substr(0, end);
            m_received.erase(0, end + 2);
            return true;
        }
        std::array<char, 16384> buffer{};
        const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return false;
        }
        m_received.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

session_reply session_client::receive() {
    session_reply reply;
    std::string line;
    for (;;) {
        if (!read_line(line)) {
            reply.m_closed = true;
            return reply;
        }
        if (line.starts_with("ROW ")) {
            reply.m_rows.push_back(line.substr(4));
        } else if (line.starts_with("COMPLETE ")) {
            reply.m_text = line.substr(9);
        } else if (line.starts_with("ERROR ")) {
            reply.m_code = line.substr(6, line.find(' ', 6) - 6);
            reply.m_text = line;
        } else {
            reply.m_state = line.at(6);
            break;
        }
    }
    if (!m_unanswered.empty()) {
        m_record.add_outcome(m_unanswered.front(), reply.succeeded(), promises_not_kept(reply.m_code));
        m_unanswered.erase(m_unanswered.begin());
    }
    return reply;
}

session_reply session_client::ask(const std::string& text) {
    if (!send_bytes(encode(text))) {
        return {.m_closed = true};
    }
    return receive();
}

void session_client::reset() {
    reset_socket(std::exchange(m_socket, -1));
}

void session_client::terminate() {
    send_bytes("TERMINATE\r\n");
    ::close(std::exchange(m_socket, -1));
}

} // namespace mangoquay::test
