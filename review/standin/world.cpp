// See world.h.
#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace world {
namespace {

const clock::time_point start_time = clock::now();
std::mutex record_mutex;
std::ofstream record_file;

sockaddr_in socket_address(const address& where) {
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(static_cast<std::uint16_t>(where.m_port));
    inet_pton(AF_INET, where.m_ip.c_str(), &converted.sin_addr);
    return converted;
}

int listen_on(const address& where) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in bound = socket_address(where);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 ||
        ::listen(socket, 256) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

int connect_to(const address& where, int timeout_ms) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = socket_address(where);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 &&
        errno != EINPROGRESS) {
        ::close(socket);
        return -1;
    }
    pollfd waiting{socket, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&waiting, 1, timeout_ms) != 1 ||
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(socket);
        return -1;
    }
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool send_text(int socket, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Reads a whole HTTP message; returns false if it does not arrive.
bool read_http(int socket, std::string& head, std::string& body, clock::time_point until) {
    std::string received;
    std::size_t head_end = std::string::npos;
    std::size_t length = 0;
    for (;;) {
        if (head_end == std::string::npos) {
            head_end = received.find("\r\n\r\n");
            if (head_end != std::string::npos) {
                head = received.substr(0, head_end + 2);
                std::string lower = head;
                std::ranges::transform(lower, lower.begin(), [](unsigned char one) { return std::tolower(one); });
                const auto at = lower.find("content-length:");
                length = at == std::string::npos ? 0 : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
            }
        }
        if (head_end != std::string::npos && received.size() >= head_end + 4 + length) {
            body = received.substr(head_end + 4, length);
            return true;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        pollfd waiting{socket, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char buffer[16384];
        const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            return false;
        }
        received.append(buffer, static_cast<std::size_t>(count));
    }
}

std::string header(const std::string& head, const std::string& name) {
    const auto at = head.find("\r\n" + name + ":");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = head.find_first_not_of(' ', at + name.size() + 3);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::vector<std::string> split(const std::string& text) {
    std::istringstream in(text);
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
        words.push_back(word);
    }
    return words;
}

bool parse_position(const std::string& text, position& into) {
    return std::sscanf(text.c_str(), "%u.%lu", &into.m_term, &into.m_number) == 2;
}

} // namespace

double seconds_since_start() {
    return std::chrono::duration<double>(clock::now() - start_time).count();
}

void sleep_ms(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

void open_record(const std::string& path) {
    record_file.open(path, std::ios::trunc);
}

void record(const std::string& text) {
    const std::lock_guard lock(record_mutex);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%9.3f  ", seconds_since_start());
    record_file << stamp << text << std::endl;
}

std::string to_text(const position& where) {
    return std::to_string(where.m_term) + "." + std::to_string(where.m_number);
}

std::string to_text(const address& where) {
    return where.m_ip + ":" + std::to_string(where.m_port);
}

std::string next_id() {
    static std::atomic<std::uint64_t> last{0};
    char text[32];
    std::snprintf(text, sizeof text, "%016lx", 0x5c00000000000000UL + ++last);
    return text;
}

http_answer http_call(const address& target, const std::string& method, const std::string& path,
                      const std::string& body, int timeout_ms) {
    http_answer result;
    const auto until = clock::now() + milliseconds(timeout_ms);
    const int socket = connect_to(target, timeout_ms);
    if (socket < 0) {
        return result;
    }
    const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + to_text(target) +
                                "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string head;
    if (send_text(socket, request) && read_http(socket, head, result.m_body, until)) {
        std::sscanf(head.c_str(), "HTTP/%*s %d", &result.m_status);
        result.m_location = header(head, "Location");
    }
    ::close(socket);
    return result;
}

// Databases.

database::database(group& owner, std::string id, std::string zone, address where, bool primary)
    : m_group(owner), m_id(std::move(id)), m_zone(std::move(zone)), m_address(std::move(where)),
      m_primary(primary) {}

database::~database() {
    stop();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void database::start() {
    m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_listener = listen_on(m_address);
    if (m_listener < 0) {
        std::cerr << "cannot listen on " << to_text(m_address) << "\n";
        std::exit(2);
    }
    m_up = true;
    m_threads.emplace_back([this] { accept_connections(); });
    m_threads.emplace_back([this] { send_reports(); });
}

void database::stop() {
    const std::lock_guard lock(m_group.m_mutex);
    if (!m_up) {
        return;
    }
    m_up = false;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    for (const int socket : m_sockets) {
        ::shutdown(socket, SHUT_RDWR);
    }
    m_group.m_changed.notify_all();
}

void database::accept_connections() {
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard lock(m_group.m_mutex);
        if (!m_up) {
            if (socket >= 0) {
                ::close(socket);
            }
            return;
        }
        if (socket < 0) {
            continue;
        }
        m_sockets.insert(socket);
        std::thread([this, socket] { serve(socket); }).detach();
    }
}

// One connection. Detached threads end with their sockets, before the process ends.
void database::serve(int socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const group_rules& rules = m_group.m_rules;
    std::string received;
    std::map<std::string, std::string> values;
    std::map<std::string, bool> prepared; // Name -> writes.
    std::vector<std::pair<std::string, std::string>> writes;
    char state = 'I';
    bool read_only = false;
    bool counted = false;
    bool started = false;
    const auto current = [&] { return position{m_term, m_log.size()}; };
    const auto read_line = [&](std::string& line) {
        for (;;) {
            const auto end = received.find("\r\n");
            if (end != std::string::npos) {
                line = received.substr(0, end);
                received.erase(0, end + 2);
                return true;
            }
            char buffer[16384];
            const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
            if (count <= 0) {
                return false;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
    };
    std::string line;
    while (read_line(line)) {
        std::string out;
        const auto words = split(line);
        if (words.empty()) {
            break;
        }
        if (words[0] == "TERMINATE") {
            break;
        }
        if (words[0] == "STARTUP" && !started) {
            if (words.size() < 2 || words[1] != m_group.m_service || (words.size() > 3 && words[3] != m_id)) {
                send_text(socket, "ERROR MISROUTED " + m_id + "\r\n");
                break;
            }
            {
                const std::lock_guard lock(m_group.m_mutex);
                if (m_connections >= rules.m_max_connections) {
                    ++m_refused_connections;
                    out = "ERROR TOOMANY connections\r\n";
                } else {
                    ++m_connections;
                    counted = true;
                }
            }
            if (!out.empty()) {
                send_text(socket, out);
                break;
            }
            sleep_ms(rules.m_connect_ms);
            started = true;
            const std::lock_guard lock(m_group.m_mutex);
            out = "READY I " + to_text(current()) + "\r\n";
        } else if (words[0] == "QUERY" && started && words.size() >= 3) {
            const std::string id = words[1];
            std::size_t next = 2;
            std::optional<position> wanted;
            if (words[next] == "AFTER" && words.size() > next + 2) {
                position parsed;
                parse_position(words[next + 1], parsed);
                wanted = parsed;
                next += 2;
            }
            const std::string& verb = words[next];
            const auto argument = [&](std::size_t index) {
                return next + index < words.size() ? words[next + index] : std::string();
            };
            std::string complete = "-";
            std::string error;
            std::string rows;
            bool close_now = false;
            std::unique_lock lock(m_group.m_mutex);
            const bool is_read = verb == "READ" || (verb == "EXECUTE" && prepared.contains(argument(1)) &&
                                                    !prepared.at(argument(1)));
            const bool is_write = verb == "WRITE" || (verb == "EXECUTE" && prepared.contains(argument(1)) &&
                                                      prepared.at(argument(1)));
            const bool ends = verb == "COMMIT" || verb == "ROLLBACK";
            const bool control = verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN";
            if (state == 'E' && !ends && !control) {
                error = "MALFORMED the transaction failed";
            } else if (verb == "RESET") {
                values.clear();
                prepared.clear();
            } else if (verb == "SET") {
                values[argument(1)] = argument(2);
            } else if (verb == "PREPARE") {
                prepared[argument(1)] = argument(2) == "WRITE";
            } else if (verb == "DEALLOCATE") {
                if (prepared.erase(argument(1)) == 0) {
                    error = "NOSTMT " + argument(1);
                }
            } else if (verb == "BEGIN") {
                const bool reads = argument(1) == "READ";
                if (state != 'I') {
                    error = "MALFORMED a transaction is open";
                } else if (!reads && !m_primary) {
                    error = "READONLY " + m_id;
                } else if (wanted && m_group.lacks(*this, *wanted)) {
                    error = "LAGGING " + m_id;
                } else {
                    state = 'T';
                    read_only = reads;
                    writes.clear();
                }
            } else if (verb == "ROLLBACK") {
                if (state == 'I') {
                    error = "MALFORMED no transaction is open";
                }
                state = 'I';
                writes.clear();
            } else if (control) {
                if (verb == "PAUSE" && !m_primary) {
                    m_paused = std::stoul(argument(1)) > m_group.m_highest_term;
                } else if (verb == "RESUME") {
                    m_paused = false;
                    m_group.replicate();
                } else if (verb == "STEPDOWN" && m_primary && m_term < std::stoul(argument(1))) {
                    m_primary = false;
                    m_report_now = true;
                    record(m_id + " is stepped down at " + to_text(current()));
                }
                m_group.m_changed.notify_all();
                rows = "ROW " + std::string(m_primary ? "primary " : "replica ") + std::to_string(m_term) + " " +
                       to_text(current()) + " 0 0 " + std::to_string(m_running) + " " +
                       std::to_string(m_connections) + "\r\n";
            } else if (verb == "EXECUTE" && !is_read && !is_write) {
                error = "NOSTMT " + argument(1);
            } else if (is_read || is_write || verb == "COMMIT") {
                const bool needs_lead = is_write || (state != 'I' && !read_only && (verb != "COMMIT" || !writes.empty()));
                if (wanted && m_group.lacks(*this, *wanted)) {
                    error = "LAGGING " + m_id;
                } else if (state == 'E') { // Only COMMIT gets here.
                    error = "ABORTED the transaction had failed";
                    state = 'I';
                } else if (verb == "COMMIT" && state == 'I') {
                    error = "MALFORMED no transaction is open";
                } else if (needs_lead && !m_primary) {
                    error = "READONLY " + m_id;
                } else if (m_running >= rules.m_slots && m_waiting >= rules.m_queue) {
                    error = "BUSY";
                } else {
                    ++m_waiting;
                    m_group.m_changed.wait(lock, [&] { return !m_up || m_running < rules.m_slots; });
                    --m_waiting;
                    ++m_running;
                    if (is_read && m_group.m_records_reads) {
                        record(m_id + " begins READ " + id);
                        m_group.m_reads_begun[id] = seconds_since_start();
                    }
                    lock.unlock();
                    sleep_ms(is_read ? rules.m_read_ms : is_write ? rules.m_write_ms : 1);
                    lock.lock();
                    --m_running;
                    m_group.m_changed.notify_all();
                    if (!m_up) {
                        close_now = true;
                    } else if (needs_lead && !m_primary) {
                        error = "READONLY " + m_id;
                    } else if (is_read) {
                        std::string data = "-";
                        for (const commit_entry& entry : m_log) {
                            for (const auto& [item, text] : entry.m_data) {
                                data = item == argument(verb == "READ" ? 1 : 2) ? text : data;
                            }
                        }
                        rows = "ROW " + data + "\r\n";
                        complete = "sig." + id;
                    } else if (is_write && state != 'I') {
                        writes.emplace_back(argument(verb == "WRITE" ? 1 : 2), argument(verb == "WRITE" ? 2 : 3));
                        complete = "sig." + id;
                    } else {
                        if (is_write) {
                            writes = {{argument(verb == "WRITE" ? 1 : 2), argument(verb == "WRITE" ? 2 : 3)}};
                        }
                        complete = "sig." + id;
                        state = 'I';
                        if (!writes.empty()) {
                            m_log.push_back({id, std::exchange(writes, {})});
                            m_received_at.push_back(clock::now());
                            ++m_group.m_applied[id];
                            const std::size_t number = m_log.size();
                            const std::uint32_t term = m_term;
                            m_group.replicate();
                            if (rules.m_sync_replicas > 0) {
                                const auto received = [&] {
                                    return std::ranges::any_of(m_group.m_databases, [&](const auto& other) {
                                        return other.get() != this && other->m_up && other->m_log.size() >= number &&
                                               other->m_log[number - 1].m_id == id;
                                    });
                                };
                                m_group.m_changed.wait(lock, [&] {
                                    return !m_up || received() || !m_primary || m_term != term;
                                });
                                // Whether the commit is kept is not known, so there is no answer.
                                close_now = !received();
                            }
                        }
                    }
                }
                if (!error.empty() && state == 'T') {
                    state = error.starts_with("BUSY") ? 'T' : 'E';
                }
            } else {
                error = "MALFORMED " + verb;
            }
            if (close_now) {
                break;
            }
            out = rows + (error.empty() ? "COMPLETE " + complete : "ERROR " + error) + "\r\nREADY " + state + " " +
                  to_text(current()) + "\r\n";
        } else {
            break;
        }
        if (!send_text(socket, out)) {
            break;
        }
    }
    const std::lock_guard lock(m_group.m_mutex);
    m_connections -= counted ? 1 : 0;
    m_sockets.erase(socket);
    ::close(socket);
}

void database::send_reports() {
    std::size_t node = std::hash<std::string>{}(m_id) % 7;
    for (;;) {
        nlohmann::json body;
        std::vector<address> nodes;
        {
            const std::lock_guard lock(m_group.m_mutex);
            if (!m_up) {
                return;
            }
            m_report_now = false;
            nodes = m_group.m_control;
            body = {{"service", m_group.m_service},
                    {"address", to_text(m_address)},
                    {"zone", m_zone},
                    {"version", "v1"},
                    {"capacity", m_group.m_rules.m_slots},
                    {"state", m_draining ? "draining" : "ready"},
                    {"cold-remaining-ms", 0},
                    {"db-role", m_primary ? "primary" : "replica"},
                    {"born", m_born},
                    {"sequence", ++m_sequence}};
        }
        for (std::size_t tries = 0; tries < nodes.size(); ++tries) {
            const http_answer got = http_call(nodes[node % nodes.size()], "POST", "/api/Instances.Heartbeat/" + m_id,
                                              body.dump(), 1000);
            if (got.m_status / 100 == 2) {
                const std::lock_guard lock(m_group.m_mutex);
                if (body["state"] == "draining" && !m_draining_acknowledged_at) {
                    m_draining_acknowledged_at = seconds_since_start();
                    record(m_id + " has an ack that it is draining");
                }
                break;
            }
            ++node;
        }
        std::unique_lock lock(m_group.m_mutex);
        m_group.m_changed.wait_for(lock, milliseconds(1200), [this] { return m_report_now || !m_up; });
    }
}

database& group::add(const std::string& id, const std::string& zone, const address& where, bool primary) {
    m_databases.push_back(std::make_unique<database>(*this, id, zone, where, primary));
    return *m_databases.back();
}

database* group::find(const std::string& id) {
    for (const auto& one : m_databases) {
        if (one->m_id == id) {
            return one.get();
        }
    }
    return nullptr;
}

database* group::primary() {
    for (const auto& one : m_databases) {
        if (one->m_primary && one->m_up) {
            return one.get();
        }
    }
    return nullptr;
}

// A database that has been stepped down still holds what it committed; replicas go on receiving that from it
// until another one leads.
void group::replicate() {
    database* source = nullptr;
    for (const auto& one : m_databases) {
        const bool may_send = one->m_up && one->m_term == m_highest_term;
        if (may_send && (source == nullptr || one->m_primary ||
                         (!source->m_primary && one->m_log.size() > source->m_log.size()))) {
            source = one.get();
        }
    }
    if (source == nullptr) {
        return;
    }
    for (const auto& one : m_databases) {
        if (one.get() == source || !one->m_up || one->m_deaf || one->m_paused || one->m_primary) {
            continue;
        }
        // What it holds beyond the point where the next term began is rolled back.
        if (one->m_term < source->m_term) {
            const std::uint64_t common = source->m_term_starts.upper_bound(one->m_term)->second;
            while (one->m_log.size() > common) {
                one->m_log.pop_back();
                one->m_received_at.pop_back();
            }
        }
        while (one->m_log.size() < source->m_log.size()) {
            one->m_log.push_back(source->m_log[one->m_log.size()]);
            one->m_received_at.push_back(clock::now());
        }
        one->m_term = source->m_term;
        one->m_term_starts = source->m_term_starts;
    }
    m_changed.notify_all();
}

bool group::lacks(const database& at, const position& wanted) const {
    if (wanted.m_term > at.m_term) {
        return true;
    }
    const auto later = at.m_term_starts.upper_bound(wanted.m_term);
    if (later != at.m_term_starts.end() && wanted.m_number > later->second) {
        return true; // That part of the log was rolled back by a promotion.
    }
    std::size_t applied = at.m_log.size();
    if (!at.m_primary) {
        const auto visible = clock::now() - milliseconds(m_rules.m_lag_ms);
        while (applied > 0 && at.m_received_at[applied - 1] > visible) {
            --applied;
        }
    }
    return wanted.m_number > applied;
}

void group::promote(database& target) {
    const std::lock_guard lock(m_mutex);
    if (!target.m_up || target.m_primary) {
        return;
    }
    ++m_promotions;
    ++m_highest_term;
    std::set<std::string> held;
    for (const commit_entry& entry : target.m_log) {
        held.insert(entry.m_id);
    }
    record(target.m_id + " is promoted: term " + std::to_string(m_highest_term) + ", it holds " +
           std::to_string(target.m_log.size()) + " commits");
    for (const auto& [id, when] : m_acknowledged) {
        if (!held.contains(id) && std::ranges::find(m_lost, id) == m_lost.end()) {
            m_lost.push_back(id);
        }
    }
    for (const auto& one : m_databases) {
        one->m_report_now = one->m_report_now || one->m_primary;
        one->m_primary = false;
        one->m_paused = false;
    }
    target.m_primary = true;
    target.m_report_now = true;
    target.m_term = m_highest_term;
    target.m_term_starts[m_highest_term] = target.m_log.size();
    replicate();
    m_changed.notify_all();
}

void group::stop() {
    for (const auto& one : m_databases) {
        one->stop();
    }
}

// The executor.

executor::executor(address where, std::vector<group*> groups)
    : m_address(std::move(where)), m_groups(std::move(groups)), m_listener(listen_on(m_address)) {
    m_threads.emplace_back([this] { accept_calls(); });
}

executor::~executor() {
    stop();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void executor::stop() {
    if (m_listener >= 0) {
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(std::exchange(m_listener, -1));
    }
}

void executor::accept_calls() {
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        answer(socket);
        ::close(socket);
    }
}

void executor::answer(int socket) {
    std::string head;
    std::string body;
    if (!read_http(socket, head, body, clock::now() + milliseconds(1000))) {
        return;
    }
    int status = 400;
    const auto call = nlohmann::json::parse(body, nullptr, false);
    const std::string service = call.is_object() ? call.value("service", "") : "";
    const std::string id = call.is_object() ? call.value("id", "") : "";
    const std::uint64_t token = std::strtoull(header(head, "Mangoquay-Fencing-Token").c_str(), nullptr, 10);
    for (group* one : m_groups) {
        if (one->m_service != service) {
            continue;
        }
        std::uint64_t& seen = m_seen_tokens[service];
        database* target = one->find(id);
        bool is_up = false;
        bool leads = false;
        {
            const std::lock_guard lock(one->m_mutex);
            is_up = target != nullptr && target->m_up;
            leads = is_up && target->m_primary;
        }
        status = token < seen || !is_up ? 409 : 200;
        seen = std::max(seen, token);
        if (status == 200 && !leads) {
            m_threads.emplace_back([one, target] {
                sleep_ms(one->m_rules.m_promote_ms);
                one->promote(*target);
            });
        }
    }
    record("POST /failover service=" + service + " id=" + id + " holder=" + header(head, "Mangoquay-Lease-Holder") +
           " token=" + std::to_string(token) + " -> " + std::to_string(status));
    send_text(socket, "HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
}

// Requesters.

bool session::open(const address& target, const std::string& database_name, int timeout_ms) {
    close();
    const auto until = clock::now() + milliseconds(timeout_ms);
    m_socket = connect_to(target, timeout_ms);
    std::string line;
    if (m_socket >= 0 && send_text(m_socket, "STARTUP " + database_name + " u3f1\r\n") && read_line(line, until) &&
        line.starts_with("READY")) {
        return true;
    }
    close();
    return false;
}

void session::close() {
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
    m_received.clear();
}

bool session::read_line(std::string& line, clock::time_point until) {
    for (;;) {
        const auto end = m_received.find("\r\n");
        if (end != std::string::npos) {
            line = m_received.substr(0, end);
            m_received.erase(0, end + 2);
            return true;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
        pollfd waiting{m_socket, POLLIN, 0};
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
            return false;
        }
        char buffer[16384];
        const ssize_t count = ::recv(m_socket, buffer, sizeof buffer, 0);
        if (count <= 0) {
            close();
            return false;
        }
        m_received.append(buffer, static_cast<std::size_t>(count));
    }
}

answer session::query(const std::string& id, const std::string& text, int timeout_ms) {
    answer got;
    const auto until = clock::now() + milliseconds(timeout_ms);
    if (m_socket < 0 || !send_text(m_socket, "QUERY " + id + " " + text + "\r\n")) {
        got.m_closed = true;
        close();
        return got;
    }
    std::string line;
    while (read_line(line, until)) {
        const auto blank = line.find(' ');
        const std::string word = line.substr(0, blank);
        const std::string rest = blank == std::string::npos ? "" : line.substr(blank + 1);
        if (word == "ROW") {
            got.m_rows.push_back(rest);
        } else if (word == "COMPLETE") {
            got.m_text = rest;
        } else if (word == "ERROR") {
            got.m_error = rest.substr(0, rest.find(' '));
            got.m_text = rest;
        } else if (word == "READY") {
            got.m_state = rest.substr(0, 1);
            got.m_position = rest.size() > 2 ? rest.substr(2) : "-";
            got.m_answered = true;
            return got;
        }
    }
    got.m_closed = m_socket < 0;
    return got;
}

// The deployment.

deployment::deployment(int control_hosts, int entry_hosts, group_rules rules) : m_group("registos1", rules) {
    m_root = std::getenv("REVIEW_ROOT") != nullptr ? std::getenv("REVIEW_ROOT") : ".";
    char folder[] = "/tmp/mangoquay-review-XXXXXX";
    m_folder = ::mkdtemp(folder);
    std::random_device random;
    for (m_subnet = 20 + static_cast<int>(random() % 200);; m_subnet = 20 + static_cast<int>(random() % 200)) {
        m_next_host = 1;
        const int base = 20000 + static_cast<int>(random() % 10000);
        m_caller_port = base;
        m_ready_port = base + 1;
        m_control_port = base + 2;
        m_peer_port = base + 3;
        m_executor_port = base + 4;
        m_database_port = base + 5;
        const int probe = listen_on({"127." + std::to_string(m_subnet) + ".0.1", base + 2});
        if (probe >= 0) {
            ::close(probe);
            break;
        }
    }
    for (int index = 0; index < control_hosts; ++index) {
        m_control.push_back(&add_machine(false, m_zones[static_cast<std::size_t>(index) % 3]));
        m_known_control.push_back(m_control.back()->m_ip + ":" + std::to_string(m_peer_port));
    }
    for (int index = 0; index < entry_hosts; ++index) {
        m_entries.push_back(&add_machine(true, m_zones[static_cast<std::size_t>(index) % 3]));
    }
    for (int index = 0; index < 3; ++index) {
        m_group.add("i-7f3a91c" + std::to_string(index), m_zones[static_cast<std::size_t>(index)],
                    {next_ip(), m_database_port}, index == 0);
    }
    for (const machine* host : m_control) {
        m_group.m_control.push_back(control_address(*host));
    }
    m_executor_address = {next_ip(), m_executor_port};
    m_executor = std::make_unique<executor>(m_executor_address, std::vector<group*>{&m_group});
}

deployment::~deployment() {
    for (machine& host : m_machines) {
        if (host.m_pid > 0) {
            ::kill(host.m_pid, SIGCONT);
            ::kill(host.m_pid, SIGKILL);
            ::waitpid(host.m_pid, nullptr, 0);
        }
    }
    m_executor->stop();
    m_group.stop();
    sleep_ms(100);
    if (std::getenv("KEEP") != nullptr) {
        std::cerr << "kept " << m_folder << "\n";
    } else {
        std::filesystem::remove_all(m_folder);
    }
}

std::string deployment::next_ip() {
    return "127." + std::to_string(m_subnet) + ".0." + std::to_string(m_next_host++);
}

machine& deployment::add_machine(bool entry, const std::string& zone) {
    machine added;
    added.m_entry = entry;
    added.m_zone = zone;
    added.m_ip = next_ip();
    added.m_name = (entry ? "frontend-" : "core-") + zone + "-" + std::to_string(m_machines.size() + 1);
    added.m_folder = m_folder + "/" + added.m_name;
    std::filesystem::create_directories(added.m_folder + "/data");
    m_machines.push_back(added);
    return m_machines.back();
}

void deployment::start(machine& host, bool first_start) {
    // As the template deploy/settings.json gives them; the seeds are the control addresses.
    std::vector<std::string> seeds;
    for (const machine* one : m_control) {
        if (!m_gone.contains(const_cast<machine*>(one)) && seeds.size() < 3) {
            seeds.push_back(to_text(control_address(*one)));
        }
    }
    nlohmann::json settings{{"host", host.m_name},
                            {"role", host.m_entry ? "entry" : "control"},
                            {"zone", host.m_zone},
                            {"peer_address", host.m_ip + ":" + std::to_string(m_peer_port)},
                            {"metrics_address", host.m_ip + ":9464"},
                            {"known_control", seeds},
                            {"first_start", first_start},
                            {"cluster_key", "one-key-of-all-hosts-of-this-fleet"},
                            {"executor_address", to_text(m_executor_address)},
                            {"executor_fences", true},
                            {"descriptors", host.m_entry ? 4300 : 4096},
                            {"memory_mb", host.m_entry ? 260 : 256},
                            {"lost_hosts", 1},
                            {"stop_limit_s", 6},
                            {"log_level", "info"}};
    if (host.m_entry) {
        settings["caller_address"] = to_text(caller_address(host));
        settings["readiness_address"] = host.m_ip + ":" + std::to_string(m_ready_port);
    } else {
        settings["control_address"] = to_text(control_address(host));
        settings["data_folder"] = host.m_folder + "/data";
    }
    const std::string path = host.m_folder + "/settings.json";
    std::ofstream(path) << settings.dump(2);
    const std::string program = m_root + "/target/mangoquay";
    host.m_pid = ::fork();
    if (host.m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open((host.m_folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::setenv("MANGOQUAY_SETTINGS", path.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "serve", nullptr);
        ::_exit(127);
    }
    record(host.m_name + " " + host.m_ip + " starts, pid " + std::to_string(host.m_pid));
}

void deployment::signal(machine& host, int number) {
    record(host.m_name + " gets signal " + std::string(::strsignal(number)));
    ::kill(host.m_pid, number);
    if (number == SIGKILL) {
        wait_for_end(host, 5000);
    }
}

bool deployment::wait_for_end(machine& host, int timeout_ms) {
    const auto until = clock::now() + milliseconds(timeout_ms);
    while (clock::now() < until) {
        int status = 0;
        if (::waitpid(host.m_pid, &status, WNOHANG) == host.m_pid) {
            record(host.m_name + " has ended");
            host.m_pid = -1;
            return true;
        }
        sleep_ms(5);
    }
    return false;
}

void deployment::lose_disk(machine& host) {
    std::filesystem::remove_all(host.m_folder + "/data");
    std::filesystem::create_directories(host.m_folder + "/data");
    record(host.m_name + " has lost its disk");
}

bool deployment::is_ready(const machine& host) const {
    return http_call({host.m_ip, m_ready_port}, "GET", "/api/readiness", "", 500).m_status == 200;
}

nlohmann::json deployment::config(std::uint64_t version) const {
    const auto route = [&](const char* name, const char* host, const char* kind, int timeout, int target, int priority) {
        return nlohmann::json{{"name", name}, {"host", host}, {"path-prefix", "/"}, {"kind", kind},
                              {"timeout-ms", timeout}, {"target-latency-ms", target}, {"priority", priority},
                              {"service", m_group.m_service}, {"max-attempts", 2}};
    };
    nlohmann::json stock = route("r-stock", "stock", "bounded_staleness", 3000, 800, 2);
    stock["max-staleness-ms"] = 1500;
    nlohmann::json load = route("r-load", "load", "read_your_writes", 1000, 400, 2);
    load["max-staleness-ms"] = 2500;
    return {{"version", version},
            {"routes", {route("r-tray", "tray", "primary", 1000, 200, 1), stock, load}},
            {"services", {{{"name", m_group.m_service}, {"health-path", "/health"},
                           {"max-connections", m_group.m_rules.m_max_connections}, {"protocol", "h1"}, {"tls", false},
                           {"sync-replicas", m_group.m_rules.m_sync_replicas}}}},
            {"limits", {{"max-header-bytes", 16384}, {"max-body-bytes", 262144}, {"header-timeout-ms", 3000},
                        {"idle-timeout-ms", 15000}, {"tx-idle-ms", 3000}}}};
}

namespace {

http_answer call_control(const deployment& all, const machine& host, const std::string& method,
                         const std::string& path, const std::string& body) {
    address target = all.control_address(host);
    for (int redirects = 0;; ++redirects) {
        const http_answer got = http_call(target, method, path, body, 1000);
        if (got.m_status != 307 || redirects == 2) {
            return got;
        }
        char ip[64];
        int port = 0;
        if (std::sscanf(got.m_location.c_str(), "http://%63[^:]:%d", ip, &port) != 2) {
            return got;
        }
        target = {ip, port};
    }
}

} // namespace

bool deployment::replace_config(std::uint64_t version, int timeout_ms) {
    const std::string body = config(version).dump();
    std::size_t next = 0;
    return wait_until(
        [&] {
            machine* host = m_control[next++ % m_control.size()];
            if (m_gone.contains(host)) {
                return false;
            }
            const http_answer got = call_control(*this, *host, "POST", "/api/Config.Replace", body);
            if (got.m_status != 200) {
                record("config " + std::to_string(version) + " sent to " + host->m_name + " -> " +
                       std::to_string(got.m_status));
                return false;
            }
            record("config " + std::to_string(version) + " is acknowledged");
            return true;
        },
        timeout_ms);
}

std::optional<std::uint64_t> deployment::read_config() {
    for (machine* host : m_control) {
        if (m_gone.contains(host)) {
            continue;
        }
        const http_answer got = call_control(*this, *host, "GET", "/api/Config.Describe", "");
        if (got.m_status == 200) {
            const auto body = nlohmann::json::parse(got.m_body, nullptr, false);
            return body.is_object() ? body.value("version", std::uint64_t{0}) : 0;
        }
    }
    return std::nullopt;
}

machine* deployment::leader() {
    for (machine* host : m_control) {
        if (!m_gone.contains(host) &&
            http_call(control_address(*host), "GET", "/api/Config.Describe", "", 1000).m_status == 200) {
            return host;
        }
    }
    return nullptr;
}

bool deployment::wait_until(const std::function<bool()>& condition, int timeout_ms) const {
    const auto until = clock::now() + milliseconds(timeout_ms);
    while (!condition()) {
        if (clock::now() >= until) {
            return false;
        }
        sleep_ms(50);
    }
    return true;
}

bool deployment::bring_up() {
    for (const auto& one : m_group.m_databases) {
        one->start();
    }
    for (machine& host : m_machines) {
        start(host, true);
    }
    if (!replace_config(1, 15000)) {
        return false;
    }
    for (const machine* host : m_entries) {
        const bool serves = wait_until(
            [&] {
                session probe;
                return is_ready(*host) && probe.open(caller_address(*host), "tray") &&
                       probe.query(next_id(), "WRITE probe x", 1000).m_error.empty();
            },
            15000);
        if (!serves) {
            return false;
        }
    }
    record("all entry hosts serve");
    return true;
}

} // namespace world
