// Drives a session through libpq's non-blocking calls.
#include "database/connection.h"

#include <libpq-fe.h>
#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace mangoquay::database {
namespace {

std::string trimmed(const char* text) {
    std::string line = text == nullptr ? "" : text;
    while (!line.empty() && (line.back() == '\n' || line.back() == ' ')) {
        line.pop_back();
    }
    return line;
}

std::string error_field(const PGresult* result, int field) {
    return trimmed(PQresultErrorField(result, field));
}

void read_rows(const PGresult* result, database_answer& answer) {
    const int columns = PQnfields(result);
    for (int column = 0; column < columns; ++column) {
        answer.m_columns.emplace_back(PQfname(result, column));
    }
    const int rows = PQntuples(result);
    answer.m_rows.reserve(static_cast<std::size_t>(rows));
    for (int row = 0; row < rows; ++row) {
        std::vector<core::cell> cells;
        cells.reserve(static_cast<std::size_t>(columns));
        for (int column = 0; column < columns; ++column) {
            if (PQgetisnull(result, row, column) != 0) {
                cells.emplace_back(std::nullopt);
            } else {
                cells.emplace_back(std::string(PQgetvalue(result, row, column),
                                               static_cast<std::size_t>(PQgetlength(result, row, column))));
            }
        }
        answer.m_rows.push_back(std::move(cells));
    }
}

// Returns false if the result needs a protocol that is not supported, such as COPY.
bool read_result(const PGresult* result, database_answer& answer) {
    switch (PQresultStatus(result)) {
    case PGRES_TUPLES_OK:
        read_rows(result, answer);
        [[fallthrough]];
    case PGRES_COMMAND_OK: {
        answer.m_command_tag = PQcmdStatus(const_cast<PGresult*>(result));
        answer.m_rows_affected = std::strtoull(PQcmdTuples(const_cast<PGresult*>(result)), nullptr, 10);
        return true;
    }
    case PGRES_EMPTY_QUERY:
        return true;
    case PGRES_FATAL_ERROR:
        answer.m_outcome = statement_outcome::refused;
        answer.m_sqlstate = error_field(result, PG_DIAG_SQLSTATE);
        answer.m_message = error_field(result, PG_DIAG_MESSAGE_PRIMARY);
        if (answer.m_message.empty()) {
            answer.m_message = trimmed(PQresultErrorMessage(result));
        }
        // An error without a code comes from the driver and means that the connection broke. The severities
        // FATAL and PANIC end the session.
        if (const std::string severity = error_field(result, PG_DIAG_SEVERITY_NONLOCALIZED);
            answer.m_sqlstate.empty() || severity == "FATAL" || severity == "PANIC") {
            answer.m_outcome = statement_outcome::connection_lost;
        }
        return true;
    default:
        return false;
    }
}

} // namespace

std::optional<std::string> database_answer::first_cell() const {
    return m_rows.empty() || m_rows.front().empty() ? std::nullopt : m_rows.front().front();
}

connection::connection(transport::event_loop& loop, std::vector<dialect::connection_parameter> parameters)
    : m_loop(loop), m_parameters(std::move(parameters)) {}

connection::~connection() {
    close();
}

void connection::open(core::deadline deadline, open_handler handler) {
    std::vector<const char*> keywords;
    std::vector<const char*> values;
    for (const auto& parameter : m_parameters) {
        keywords.push_back(parameter.m_keyword.c_str());
        values.push_back(parameter.m_value.c_str());
    }
    keywords.push_back(nullptr);
    values.push_back(nullptr);
    m_on_open = std::move(handler);
    m_phase = phase::connecting;
    m_driver = PQconnectStartParams(keywords.data(), values.data(), 0);
    set_timer(deadline);
    if (m_driver == nullptr || PQstatus(m_driver) == CONNECTION_BAD) {
        m_loop.post([self = shared_from_this()] { self->on_connect_finished(false, self->driver_error()); });
        return;
    }
    PQsetNoticeProcessor(
        m_driver, [](void*, const char*) {}, nullptr);
    // libpq requires the socket to be writable before the first call of PQconnectPoll().
    watch(EPOLLOUT);
}

void connection::continue_connecting() {
    // While it connects, libpq may close the socket and open another one with the same descriptor.
    m_loop.unwatch(m_socket);
    m_socket = -1;
    switch (PQconnectPoll(m_driver)) {
    case PGRES_POLLING_READING:
        watch(EPOLLIN);
        break;
    case PGRES_POLLING_WRITING:
        watch(EPOLLOUT);
        break;
    case PGRES_POLLING_OK:
        on_connect_finished(true, {});
        break;
    default:
        on_connect_finished(false, driver_error());
        break;
    }
}

void connection::on_connect_finished(bool opened, const std::string& reason) {
    if (m_phase != phase::connecting) {
        return;
    }
    const open_handler handler = std::exchange(m_on_open, nullptr);
    if (!opened) {
        close();
        handler(false, reason);
        return;
    }
    if (m_timer) {
        m_loop.cancel_timer(*std::exchange(m_timer, std::nullopt));
    }
    PQsetnonblocking(m_driver, 1);
    m_server_process_id = PQbackendPID(m_driver);
    m_phase = phase::idle;
    watch(EPOLLIN);
    handler(true, {});
}

void connection::execute(const std::string& sql, const std::vector<core::cell>& parameters,
                         core::deadline deadline, statement_handler handler) {
    m_answer = {};
    if (m_phase != phase::idle || PQstatus(m_driver) == CONNECTION_BAD) {
        // The handler is stored in the member, so that close() discards it like any other handler.
        m_on_answer = std::move(handler);
        m_loop.post([self = shared_from_this()] {
            if (const statement_handler pending_handler = std::exchange(self->m_on_answer, nullptr)) {
                database_answer answer;
                answer.m_outcome = statement_outcome::not_sent;
                answer.m_message = "the session was closed";
                pending_handler(std::move(answer));
            }
        });
        return;
    }
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const auto& parameter : parameters) {
        values.push_back(parameter ? parameter->c_str() : nullptr);
    }
    m_on_answer = std::move(handler);
    m_phase = phase::busy;
    set_timer(deadline);
    // The extended protocol allows one statement per call, so the text cannot contain a second statement.
    if (PQsendQueryParams(m_driver, sql.c_str(), static_cast<int>(values.size()), nullptr, values.data(),
                          nullptr, nullptr, 0) == 0) {
        m_loop.post([self = shared_from_this(), reason = driver_error()] {
            self->fail(statement_outcome::connection_lost, reason);
        });
        return;
    }
    flush();
}

transaction_state connection::transaction() const {
    if (m_driver == nullptr || m_phase == phase::closed) {
        return transaction_state::unknown;
    }
    switch (PQtransactionStatus(m_driver)) {
    case PQTRANS_IDLE:
        return transaction_state::none;
    case PQTRANS_INTRANS:
        return transaction_state::open;
    case PQTRANS_INERROR:
        return transaction_state::failed;
    default:
        return transaction_state::unknown;
    }
}

void connection::close() {
    m_phase = phase::closed;
    m_on_open = nullptr;
    m_on_answer = nullptr;
    m_on_closed_while_idle = nullptr;
    if (m_timer) {
        m_loop.cancel_timer(*std::exchange(m_timer, std::nullopt));
    }
    if (m_socket >= 0) {
        m_loop.unwatch(m_socket);
        m_socket = -1;
    }
    if (m_driver != nullptr) {
        PQfinish(std::exchange(m_driver, nullptr));
    }
}

void connection::on_socket(std::uint32_t /*events*/) {
    const auto self = shared_from_this();
    if (m_phase == phase::connecting) {
        continue_connecting();
        return;
    }
    if (m_phase == phase::busy) {
        flush();
    }
    if (m_phase == phase::busy || m_phase == phase::idle) {
        read_answer();
    }
}

void connection::flush() {
    const int unsent = PQflush(m_driver);
    if (unsent < 0) {
        m_loop.post([self = shared_from_this(), reason = driver_error()] {
            self->fail(statement_outcome::connection_lost, reason);
        });
        return;
    }
    watch(unsent > 0 ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void connection::read_answer() {
    const bool readable = PQconsumeInput(m_driver) == 1;
    if (m_phase == phase::idle) {
        if (!readable || PQstatus(m_driver) == CONNECTION_BAD) {
            fail(statement_outcome::connection_lost, driver_error());
        }
        return;
    }
    while (PQisBusy(m_driver) == 0) {
        PGresult* result = PQgetResult(m_driver);
        if (result == nullptr) {
            on_answer_complete();
            return;
        }
        const bool supported = read_result(result, m_answer);
        PQclear(result);
        if (!supported) {
            fail(statement_outcome::connection_lost,
                 "the statement needs a COPY stream, which is not supported");
            return;
        }
    }
    if (!readable) {
        fail(statement_outcome::connection_lost, driver_error());
    }
}

void connection::on_answer_complete() {
    if (m_answer.m_outcome == statement_outcome::connection_lost || PQstatus(m_driver) == CONNECTION_BAD) {
        fail(statement_outcome::connection_lost,
             m_answer.m_message.empty() ? driver_error() : m_answer.m_message);
        return;
    }
    if (m_timer) {
        m_loop.cancel_timer(*std::exchange(m_timer, std::nullopt));
    }
    m_phase = phase::idle;
    const statement_handler handler = std::exchange(m_on_answer, nullptr);
    handler(std::exchange(m_answer, {}));
}

void connection::fail(statement_outcome outcome, const std::string& reason) {
    if (m_phase != phase::busy && m_phase != phase::idle) {
        return;
    }
    const auto self = shared_from_this();
    const statement_handler on_answer = std::exchange(m_on_answer, nullptr);
    const auto on_closed_while_idle = std::exchange(m_on_closed_while_idle, nullptr);
    database_answer answer;
    answer.m_outcome = outcome;
    answer.m_sqlstate = m_answer.m_sqlstate;
    answer.m_message = reason;
    close();
    if (on_answer) {
        on_answer(std::move(answer));
    } else if (on_closed_while_idle) {
        on_closed_while_idle();
    }
}

void connection::set_timer(core::deadline deadline) {
    if (m_timer) {
        m_loop.cancel_timer(*m_timer);
    }
    m_timer = m_loop.run_at(deadline.m_at, [this] {
        m_timer.reset();
        const auto self = shared_from_this();
        if (m_phase == phase::connecting) {
            on_connect_finished(false, "the connection was not established before the deadline");
        } else {
            fail(statement_outcome::timed_out, "the deadline passed before the answer arrived");
        }
    });
}

void connection::watch(std::uint32_t events) {
    m_socket = PQsocket(m_driver);
    if (m_socket >= 0) {
        m_loop.watch(m_socket, events, [this](std::uint32_t ready) { on_socket(ready); });
    }
}

std::string connection::driver_error() const {
    return m_driver == nullptr ? "libpq could not allocate a connection" : trimmed(PQerrorMessage(m_driver));
}

} // namespace mangoquay::database
