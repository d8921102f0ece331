// Threads and statements of the scripted database.
#include "support/scripted_database.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace mangoquay::test {
namespace {

constexpr const char* line_end = "\r\n";

std::string take_word(std::string& text) {
    const std::size_t blank = text.find(' ');
    std::string word = text.substr(0, blank);
    text = blank == std::string::npos ? "" : text.substr(blank + 1);
    return word;
}

bool send_all(int socket, const char* bytes, std::size_t size) {
    while (size > 0) {
        const ssize_t count = ::send(socket, bytes, size, MSG_NOSIGNAL);
        if (count < 0) {
            return false;
        }
        bytes += count;
        size -= static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

void reset_socket(int socket) {
    const linger abort{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    ::close(socket);
}

scripted_database::scripted_database(session_record& record, std::string id)
    : m_record(record), m_id(std::move(id)) {
    listen();
}

scripted_database::~scripted_database() {
    stop();
}

void scripted_database::listen() {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(m_listener, 64) != 0 ||
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        throw std::runtime_error("the database cannot listen");
    }
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept_all(); });
}

void scripted_database::stop() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
    reset_connections();
    for (connection& ended : m_connections) {
        ended.m_thread.join();
    }
    m_connections.clear();
}

void scripted_database::restart(const std::string& id) {
    stop();
    m_id = id;
    listen();
}

void scripted_database::set_script(script next) {
    const std::lock_guard lock(m_mutex);
    m_script = std::move(next);
}

void scripted_database::reset_connections() {
    const std::lock_guard lock(m_mutex);
    for (connection& open : m_connections) {
        if (open.m_socket >= 0) {
            const linger abort{1, 0};
            setsockopt(open.m_socket, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
            ::shutdown(open.m_socket, SHUT_RDWR); // Wakes its thread, which closes it.
        }
    }
}

void scripted_database::accept_all() {
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        ++m_accepted;
        const std::lock_guard lock(m_mutex);
        connection& added = m_connections.emplace_back();
        added.m_socket = socket;
        added.m_thread = std::thread([this, &added] { serve(added); });
    }
}

std::optional<std::string> scripted_database::read_line(connection& served) {
    for (;;) {
        const std::size_t end = served.m_received.find(line_end);
        if (end != std::string::npos) {
            std::string line = served.m_received.substr(0, end);
            served.m_received.erase(0, end + 2);
            return line;
        }
        std::array<char, 65536> buffer{};
        const ssize_t count = ::recv(served.m_socket, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return std::nullopt;
        }
        served.m_received.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

void scripted_database::serve(connection& served) {
    bool open = false;
    while (auto line = read_line(served)) {
        if (!open) {
            open = line->starts_with("STARTUP ") && line->ends_with(" " + m_id);
            const std::string answer = open ? "READY I 1.1\r\n" : "ERROR MISROUTED " + m_id + line_end;
            if (!send_all(served.m_socket, answer.data(), answer.size()) || !open) {
                break;
            }
        } else if (!handle_query(served, *line)) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    reset_socket(std::exchange(served.m_socket, -1));
}

bool scripted_database::handle_query(connection& served, const std::string& line) {
    std::string text = line;
    take_word(text); // The message's kind.
    const std::string id = take_word(text);
    database_reaction reaction;
    {
        std::unique_lock lock(m_mutex);
        const script current = m_script;
        lock.unlock();
        if (current) {
            reaction = current({id, text, served.m_transaction != 0});
        }
    }
    std::this_thread::sleep_for(reaction.m_delay);
    std::string answer = reaction.m_refusal.empty() ? run(served, line)
                                                    : "ERROR " + reaction.m_refusal + " scripted" + line_end;
    if (reaction.m_loses_transaction) {
        served.m_transaction = 0;
        served.m_writes.clear();
    }
    const char state = served.m_transaction != 0 ? 'T' : 'I';
    answer += std::string("READY ") + reaction.m_state.value_or(state) + " 1.1" + line_end;
    return reaction.m_loses_answer || send_answer(served, answer + reaction.m_extra, reaction);
}

bool scripted_database::send_answer(const connection& served, const std::string& bytes,
                                    const database_reaction& reaction) {
    const std::size_t size = std::min(bytes.size(), reaction.m_reset_after.value_or(bytes.size()));
    const std::size_t piece = reaction.m_piece == 0 ? size : reaction.m_piece;
    for (std::size_t sent = 0; sent < size; sent += piece) {
        if (!send_all(served.m_socket, bytes.data() + sent, std::min(piece, size - sent))) {
            return false;
        }
        if (reaction.m_piece != 0) {
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
    }
    return !reaction.m_reset_after;
}

std::string scripted_database::run(connection& served, const std::string& line) {
    const auto request = read_request_line(line);
    if (!request) {
        m_record.add_rejected(line);
        return "ERROR MALFORMED " + m_id + line_end;
    }
    return request->m_id == "-" ? run_own(served, *request) : run_forwarded(served, *request);
}

std::string scripted_database::run_own(connection& served, const read_request& request) {
    const std::string& word = request.m_word;
    const std::vector<std::string>& fields = request.m_fields;
    const bool begins = word == "BEGIN" || word == "BEGIN READ";
    if (begins && served.m_transaction != 0) { // It goes on with the open one.
        return "COMPLETE -\r\n";
    }
    if (begins) {
        served.m_transaction = m_record.next_number();
    } else if (word == "ROLLBACK") {
        if (std::exchange(served.m_transaction, 0) == 0) {
            return "ERROR MALFORMED no transaction\r\n";
        }
        served.m_writes.clear();
    } else if (word == "SET") {
        served.m_values[fields.at(0)] = fields.at(1);
    } else if (word == "RESET") {
        served.m_values.clear();
        served.m_prepared.clear();
    } else if (word == "PREPARE") {
        served.m_prepared[fields.at(0)] = fields.at(1) + " " + fields.at(2);
        m_max_prepared = std::max(m_max_prepared.load(), served.m_prepared.size());
    } else if (word == "DEALLOCATE") {
        if (served.m_prepared.erase(fields.at(0)) == 0) {
            return "ERROR NOSTMT no such name\r\n";
        }
    } else {
        m_record.add_run({"-", request.m_text, {}, 0}); // Found by the check: no caller sends this id.
    }
    return "COMPLETE -\r\n";
}

std::string scripted_database::run_forwarded(connection& served, const read_request& request) {
    const std::string& id = request.m_id;
    std::string meant = request.m_text;
    if (request.m_word == "EXECUTE") {
        const auto prepared = served.m_prepared.find(request.m_fields.at(0));
        if (prepared == served.m_prepared.end()) {
            return "ERROR NOSTMT no such name\r\n";
        }
        meant = prepared->second + arguments_separator + request.m_fields.at(1);
    }
    m_record.add_run({id, meant, served.m_values, served.m_transaction});
    if (meant == "COMMIT") {
        m_record.add_commit({id, std::exchange(served.m_transaction, 0), std::exchange(served.m_writes, {})});
    } else if (meant.starts_with("WRITE ") && served.m_transaction != 0) {
        served.m_writes.push_back(id);
    } else if (meant.starts_with("WRITE ")) {
        m_record.add_commit({id, 0, {id}});
    }
    const std::string row = meant.starts_with("READ ") ? "ROW row-" + id + line_end : "";
    return row + "COMPLETE signature-" + id + line_end;
}

} // namespace mangoquay::test
