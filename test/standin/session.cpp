// Implements the socket, the start-up and the message dispatch of a session. session_statements.cpp runs its
// statements.
#include "session.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

namespace mangoquay::standin {
namespace {

constexpr std::size_t read_bytes = 65536;
constexpr std::int32_t secret_mask = 0x5bd1e995;

} // namespace

session::session(session_environment& environment, database& served, int socket, std::string source,
                 std::int32_t pid)
    : m_environment(environment), m_database(served), m_socket(socket), m_secret(pid ^ secret_mask) {
    m_pid = pid;
    m_source = std::move(source);
}

session::~session() {
    if (m_socket >= 0) {
        m_environment.m_loop.unwatch(m_socket);
        ::close(m_socket);
    }
}

void session::start() {
    update_event_watch();
}

// The socket of a suspended session stays open, but is not watched: the client receives nothing.
void session::update_event_watch() {
    if (m_phase == phase::ended || is_suspended() || m_peer_closed) {
        m_environment.m_loop.unwatch(m_socket);
        return;
    }
    const std::uint32_t output = m_flushable_bytes > 0 ? EPOLLOUT : 0U;
    m_environment.m_loop.watch(m_socket, EPOLLIN | output, [weak = weak_from_this()](std::uint32_t events) {
        if (const auto self = weak.lock()) {
            self->on_socket_ready(events);
        }
    });
}

void session::on_socket_ready(std::uint32_t events) {
    if (is_suspended()) {
        update_event_watch();
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        flush();
    }
    if (m_phase != phase::ended && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        read_input();
        const core::duration delay = round_trip();
        if (delay == core::duration{}) {
            process_input();
            return;
        }
        m_environment.m_loop.run_after(delay, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->process_input();
            }
        });
    }
}

core::duration session::round_trip() const {
    const auto& zones = m_environment.m_layout.m_client_zones;
    const auto zone = zones.find(m_application_name.substr(m_application_name.rfind('/') + 1));
    const bool remote = zone != zones.end() && zone->second != m_database.m_layout.m_zone;
    return remote ? 2 * m_environment.m_layout.m_zone_latency : core::duration{};
}

void session::read_input() {
    std::array<char, read_bytes> part{};
    const ssize_t count = ::recv(m_socket, part.data(), part.size(), MSG_DONTWAIT);
    if (count > 0) {
        m_input.append(part.data(), static_cast<std::size_t>(count));
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        m_peer_closed = true;
        update_event_watch();
    }
}

void session::process_input() {
    while (!m_busy && m_phase != phase::ended && !is_suspended()) {
        const auto received = take_message(m_input, m_phase == phase::startup);
        if (!received) {
            if (m_peer_closed) {
                close();
            }
            return;
        }
        if (m_phase == phase::startup) {
            handle_startup(*received);
        } else {
            handle_message(*received);
        }
    }
}

void session::resume() {
    if (m_phase == phase::ended || is_suspended()) {
        return;
    }
    update_event_watch();
    if (const auto step = std::exchange(m_suspended_step, nullptr)) {
        (this->*step)();
    }
    flush();
    process_input();
}

// A frozen database suspends all steps. For a client that is cut off, the database continues and only the
// answers do not arrive.
void session::schedule(core::duration delay, void (session::*step)()) {
    m_environment.m_loop.run_after(delay, [weak = weak_from_this(), step, number = m_statement_number] {
        const auto self = weak.lock();
        const bool current = self && self->m_statement_number == number;
        if (!current || self->m_phase == phase::ended || self->m_close_after_flush) {
            return;
        }
        if (self->m_database.m_faults.m_frozen) {
            self->m_suspended_step = step;
            return;
        }
        ((*self).*step)();
    });
}

void session::handle_startup(const message& received) {
    field_reader body(received.m_body);
    const std::int32_t code = body.int32();
    if (code == ssl_request || code == gss_request) {
        m_output += 'N';
        flush();
        return;
    }
    if (code == cancel_request) {
        const std::int32_t pid = body.int32();
        m_environment.m_cancel_session(pid, body.int32());
        close();
        return;
    }
    if (code != protocol_3_0) {
        send_fatal_error("0A000", "unsupported frontend protocol");
        return;
    }
    while (!body.at_end()) {
        const std::string name = body.text();
        const std::string value = body.text();
        if (name == "application_name") {
            m_application_name = value;
        }
    }
    if (m_environment.m_layout.m_password.empty()) {
        begin_connect();
        return;
    }
    m_phase = phase::password;
    m_output += message_writer('R').int32(3).finish(); // AuthenticationCleartextPassword
    flush();
}

void session::begin_connect() {
    m_phase = phase::connecting;
    m_busy = true;
    usage& use = m_database.m_usage;
    if (m_database.m_backends.size() >= m_database.m_layout.m_connections) {
        ++use.m_connections_refused;
    } else {
        m_database.m_backends[m_pid] = this;
        ++use.m_connections_total;
        use.m_peak_connections =
            std::max(use.m_peak_connections, static_cast<std::uint32_t>(m_database.m_backends.size()));
    }
    if (is_suspended()) {
        update_event_watch(); // A client that is cut off by its name receives no answer.
    }
    schedule(m_database.m_layout.m_timing.m_connect_duration, &session::finish_connect);
}

void session::finish_connect() {
    m_busy = false;
    if (!m_database.m_backends.contains(m_pid)) {
        send_fatal_error("53300", "sorry, too many clients already");
        return;
    }
    m_phase = phase::ready;
    m_output += message_writer('R').int32(0).finish(); // AuthenticationOk
    const std::vector<std::pair<const char*, const char*>> parameters = {
        {"server_version", "15.20"},           {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
        {"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"}};
    for (const auto& [name, value] : parameters) {
        m_output += message_writer('S').text(name).text(value).finish();
    }
    m_output += message_writer('K').int32(m_pid).int32(m_secret).finish();
    write_ready();
    process_input();
}

void session::handle_message(const message& received) {
    field_reader body(received.m_body);
    if (m_phase == phase::password) {
        if (received.m_type != 'p' || body.text() != m_environment.m_layout.m_password) {
            send_fatal_error("28P01", "password authentication failed");
            return;
        }
        begin_connect();
        return;
    }
    if (received.m_type == 'X') {
        close();
    } else if (received.m_type == 'S') {
        handle_sync();
    } else if (m_skip_to_sync) {
        return;
    } else if (received.m_type == 'Q') {
        const std::string sql = trimmed(body.text());
        begin_statement(statement{sql, {}, describe_statement(sql), true, false});
    } else if (received.m_type == 'P') {
        handle_parse(body);
    } else if (received.m_type == 'B') {
        handle_bind(body);
    } else if (received.m_type == 'D') {
        handle_describe(body);
    } else if (received.m_type == 'E') {
        begin_statement(m_portals[body.text()]);
    } else if (received.m_type == 'C') {
        m_output += message_writer('3').finish();
    } else if (received.m_type == 'H') {
        flush();
    } else {
        send_fatal_error("08P01", "unknown message type");
    }
}

void session::handle_parse(field_reader body) {
    const std::string name = body.text();
    const std::string sql = trimmed(body.text());
    if (!describe_statement(sql).m_known) {
        write_error("42601", "statement not supported by the stand-in: " + sql);
        return;
    }
    m_prepared[name] = sql;
    m_output += message_writer('1').finish();
}

void session::handle_bind(field_reader body) {
    const std::string portal = body.text();
    statement bound;
    bound.m_sql = m_prepared[body.text()];
    bound.m_description = describe_statement(bound.m_sql);
    for (int formats = body.int16(); formats > 0; --formats) {
        body.int16();
    }
    for (int count = body.int16(); count > 0; --count) {
        const std::int32_t length = body.int32();
        bound.m_parameters.push_back(length < 0 ? core::cell{}
                                                : core::cell(body.bytes(static_cast<std::size_t>(length))));
    }
    if (bound.m_parameters.size() != bound.m_description.m_parameters) {
        write_error("08P01", "bind message supplies a wrong number of parameters");
        return;
    }
    m_portals[portal] = std::move(bound);
    m_output += message_writer('2').finish();
}

void session::handle_describe(field_reader body) {
    const bool of_portal = body.byte() == 'P';
    const std::string name = body.text();
    const statement_description description =
        of_portal ? m_portals[name].m_description : describe_statement(m_prepared[name]);
    if (!of_portal) {
        message_writer parameters('t');
        parameters.int16(static_cast<std::int32_t>(description.m_parameters));
        for (std::size_t index = 0; index < description.m_parameters; ++index) {
            parameters.int32(0);
        }
        m_output += parameters.finish();
    }
    m_output +=
        description.m_columns.empty() ? message_writer('n').finish() : row_description(description.m_columns);
}

void session::flush() {
    m_flushable_bytes = m_output.size();
    if (m_phase == phase::ended || is_suspended()) {
        return;
    }
    while (m_flushable_bytes > 0) {
        const ssize_t sent =
            ::send(m_socket, m_output.data(), m_flushable_bytes, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent <= 0) {
            if (errno != EAGAIN && errno != EINTR) {
                // The client has disconnected; the messages that it sent are still processed.
                m_output.clear();
                m_flushable_bytes = 0;
            }
            break;
        }
        m_output.erase(0, static_cast<std::size_t>(sent));
        m_flushable_bytes -= static_cast<std::size_t>(sent);
    }
    if (m_close_after_flush && m_flushable_bytes == 0) {
        close();
        return;
    }
    update_event_watch();
}

void session::send_fatal_error(const std::string& sqlstate, const std::string& text) {
    m_output += error_response("FATAL", sqlstate, text);
    m_close_after_flush = true;
    m_busy = true; // No further messages are processed.
    flush();
}

void session::terminate() {
    m_database.roll_back(*this);
    m_database.m_backends.erase(m_pid);
    if (m_database.m_owner_lock == this) {
        m_database.m_owner_lock = nullptr;
    }
    end_caller_statement();
    send_fatal_error("57P01", "terminating connection due to administrator command");
}

void session::close() {
    if (m_phase == phase::ended) {
        return;
    }
    m_phase = phase::ended;
    end_caller_statement();
    if (m_database.m_backends.erase(m_pid) > 0) {
        m_database.roll_back(*this);
    }
    if (m_database.m_owner_lock == this) {
        m_database.m_owner_lock = nullptr;
    }
    m_environment.m_loop.unwatch(m_socket);
    m_environment.m_on_session_ended(*this);
}

} // namespace mangoquay::standin
