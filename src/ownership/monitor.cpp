// Polling over the monitoring connection. The takeover is in takeover.cpp.
#include "ownership/monitor.h"

#include "core/log.h"
#include "dialect/postgres_sql.h"

#include <algorithm>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;

constexpr core::milliseconds status_interval{200};
// Intervals between repeated queries while a request waits for their result.
constexpr core::milliseconds requested_status_interval{2};
constexpr core::duration min_replica_poll_interval = core::microseconds(500);
constexpr core::duration max_replica_poll_interval = core::milliseconds(16);
constexpr core::milliseconds session_poll_interval{10};
// A session of an earlier owner may still be connecting when the others are terminated, so the check is
// repeated.
constexpr core::milliseconds earlier_owners_interval{1000};
// Failover must start within one second after an endpoint is lost.
constexpr core::milliseconds answer_timeout{800};

} // namespace

void monitor::poll_if_idle() {
    if (m_phase == phase::polling && !m_in_flight) {
        poll_next();
    }
}

void monitor::end_session(int server_process, std::function<void()> ended) {
    m_ending_sessions[server_process].push_back(std::move(ended));
    poll_if_idle();
}

void monitor::send(const char* text, const std::vector<core::cell>& parameters, step next) {
    m_in_flight = true;
    m_queried_at = transport::event_loop::now();
    m_session->execute(text, parameters, core::deadline_after(m_queried_at, answer_timeout),
                       [this, next](const database::database_answer& answer) {
                           m_in_flight = false;
                           if (answer.m_outcome != database::statement_outcome::completed &&
                               answer.m_outcome != database::statement_outcome::refused) {
                               on_session_lost(answer.m_message);
                               return;
                           }
                           (this->*next)(answer);
                       });
}

void monitor::query_status() {
    send(sql::status, {}, &monitor::on_status_answer);
}

void monitor::on_status_answer(const database::database_answer& answer) {
    if (answer.m_outcome != database::statement_outcome::completed || answer.m_rows.empty()) {
        on_session_lost("status query failed: " + answer.m_message);
        return;
    }
    const auto status = m_strategy.parse_status(answer.m_rows.front());
    if (!status) {
        on_session_lost(status.reason());
        return;
    }
    const core::time_point now = transport::event_loop::now();
    m_status_due = now + status_interval;
    m_term = status->m_is_replica ? core::term{0} : status->m_applied.m_term;
    const bool first = m_phase != phase::polling;
    if (first) {
        m_phase = phase::polling;
        m_failure_count = 0;
        m_earlier_owners_due = now + earlier_owners_interval;
    }
    m_listener.on_status(*status, m_queried_at);
    if (first && m_phase == phase::polling) {
        m_listener.on_taken_over();
    }
    poll_next();
}

void monitor::on_replicas_answer(const database::database_answer& answer) {
    const core::time_point now = transport::event_loop::now();
    replication::replica_report report;
    report.m_term = m_term;
    for (const auto& row : answer.m_rows) {
        const auto flushed = row.size() >= 2 && row[1] ? m_strategy.parse_position(*row[1]) : std::nullopt;
        if (flushed && row[0]) {
            // A replica that reconnects is listed twice. The lower position is certain to be flushed.
            const auto [known, added] = report.m_flushed.emplace(core::endpoint_id(*row[0]), *flushed);
            known->second = std::min(known->second, *flushed);
        }
    }
    const bool progress = answer.m_outcome == database::statement_outcome::completed &&
                          m_listener.on_replica_report(report, m_queried_at);
    m_replica_poll_interval = progress ? min_replica_poll_interval
                                       : std::clamp(m_replica_poll_interval * 2, min_replica_poll_interval,
                                                    max_replica_poll_interval);
    m_replicas_due = progress ? now : now + m_replica_poll_interval;
    poll_next();
}

void monitor::on_session_answer(const database::database_answer& answer) {
    m_sessions_due = transport::event_loop::now() + session_poll_interval;
    if (answer.m_outcome == database::statement_outcome::completed && answer.m_rows.empty()) {
        const auto ended = m_ending_sessions.extract(m_queried_process);
        m_sessions_due = {};
        if (!ended.empty()) {
            for (const auto& handler : ended.mapped()) {
                handler();
            }
        }
    }
    poll_next();
}

void monitor::on_late_sessions_ended(const database::database_answer& answer) {
    if (!answer.m_rows.empty()) {
        core::log_line(core::log_level::warning, "ownership",
                       "terminated late sessions of earlier owners endpoint=" + m_name +
                           " sessions=" + std::to_string(answer.m_rows.size()));
    }
    poll_next();
}

bool monitor::poll_session(core::time_point now) {
    if (m_ending_sessions.empty() || m_sessions_due > now) {
        return false;
    }
    // Round robin, so that a session that does not end does not delay the others.
    auto next = m_ending_sessions.upper_bound(m_queried_process);
    next = next == m_ending_sessions.end() ? m_ending_sessions.begin() : next;
    m_queried_process = next->first;
    if (m_listener.process_in_use(m_queried_process)) {
        database::database_answer no_rows;
        on_session_answer(no_rows);
        return true;
    }
    send(sql::end_session, {std::to_string(m_queried_process)}, &monitor::on_session_answer);
    return true;
}

void monitor::poll_next() {
    if (m_phase != phase::polling || m_in_flight) {
        return;
    }
    const core::time_point now = transport::event_loop::now();
    const bool status_requested = m_listener.status_requested();
    const core::time_point status_due =
        status_requested ? m_status_due - status_interval + requested_status_interval : m_status_due;
    // The status has priority: writes that query the replicas continuously must not delay it.
    if (status_due <= now) {
        query_status();
        return;
    }
    if (m_listener.replica_positions_requested() && m_replicas_due <= now) {
        send(sql::replica_positions, {}, &monitor::on_replicas_answer);
        return;
    }
    if (poll_session(now)) {
        return;
    }
    if (m_earlier_owners_due <= now) {
        m_earlier_owners_due = now + earlier_owners_interval;
        if (m_listener.may_end_earlier_owners()) {
            send(sql::end_earlier_owners, {std::to_string(m_epoch.value())},
                 &monitor::on_late_sessions_ended);
            return;
        }
    }
    core::time_point next = std::min(status_due, m_earlier_owners_due);
    if (m_listener.replica_positions_requested()) {
        next = std::min(next, m_replicas_due);
    }
    if (!m_ending_sessions.empty()) {
        next = std::min(next, m_sessions_due);
    }
    set_timer(next, &monitor::poll_next);
}

} // namespace mangoquay::ownership
