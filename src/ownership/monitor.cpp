// Polling over the monitoring connection. The take-over is in takeover.cpp.
#include "ownership/monitor.h"

#include "core/log.h"
#include "dialect/postgres_sql.h"

#include <algorithm>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;

constexpr core::milliseconds status_interval{200};
// Gaps between two questions when the first one was not enough.
constexpr core::milliseconds wanted_status_gap{2};
constexpr core::duration first_replicas_gap = core::microseconds(500);
constexpr core::duration largest_replicas_gap = core::milliseconds(16);
constexpr core::milliseconds session_gap{10};
// A session of an earlier owner may finish connecting after its predecessors were ended.
constexpr core::milliseconds earlier_owners_interval{1000};
// Failover must begin within a second of the loss of an endpoint.
constexpr core::milliseconds answer_limit{800};

} // namespace

void monitor::wake() {
    if (m_phase == phase::polling && !m_in_flight) {
        poll_next();
    }
}

void monitor::end_session(int server_process, std::function<void()> ended) {
    m_ending[server_process].push_back(std::move(ended));
    wake();
}

void monitor::send(const char* text, const std::vector<core::cell>& parameters, step next) {
    m_in_flight = true;
    m_queried_at = transport::event_loop::now();
    m_session->execute(text, parameters, core::deadline_after(m_queried_at, answer_limit),
                       [this, next](const database::database_answer& answer) {
                           m_in_flight = false;
                           if (answer.m_outcome != database::outcome::completed &&
                               answer.m_outcome != database::outcome::refused) {
                               lose(answer.m_message);
                               return;
                           }
                           (this->*next)(answer);
                       });
}

void monitor::ask_status() {
    send(sql::status, {}, &monitor::status_answered);
}

void monitor::status_answered(const database::database_answer& answer) {
    if (answer.m_outcome != database::outcome::completed || answer.m_rows.empty()) {
        lose("status refused: " + answer.m_message);
        return;
    }
    const auto status = m_strategy.parse_status(answer.m_rows.front());
    if (!status) {
        lose(status.reason());
        return;
    }
    const core::time_point now = transport::event_loop::now();
    m_status_due = now + status_interval;
    m_term = status->m_is_replica ? core::term{0} : status->m_applied.m_term;
    const bool first = m_phase != phase::polling;
    if (first) {
        m_phase = phase::polling;
        m_failures = 0;
        m_earlier_owners_due = now + earlier_owners_interval;
    }
    m_listener.on_status(*status, m_queried_at);
    if (first && m_phase == phase::polling) {
        m_listener.on_taken_over();
    }
    poll_next();
}

void monitor::replicas_answered(const database::database_answer& answer) {
    const core::time_point now = transport::event_loop::now();
    replication::replica_report report;
    report.m_term = m_term;
    for (const auto& row : answer.m_rows) {
        const auto flushed = row.size() >= 2 && row[1] ? m_strategy.parse_position(*row[1]) : std::nullopt;
        if (flushed && row[0]) {
            // Two senders of one name: a replica that reconnects. The lower position is the safe one.
            const auto [known, added] = report.m_flushed.emplace(core::endpoint_id(*row[0]), *flushed);
            known->second = std::min(known->second, *flushed);
        }
    }
    const bool progress =
        answer.m_outcome == database::outcome::completed && m_listener.on_replicas(report, m_queried_at);
    m_replicas_gap = progress ? first_replicas_gap
                              : std::clamp(m_replicas_gap * 2, first_replicas_gap, largest_replicas_gap);
    m_replicas_due = progress ? now : now + m_replicas_gap;
    poll_next();
}

void monitor::sessions_answered(const database::database_answer& answer) {
    m_sessions_due = transport::event_loop::now() + session_gap;
    if (answer.m_outcome == database::outcome::completed && answer.m_rows.empty()) {
        const auto ended = m_ending.extract(m_asked_process);
        m_sessions_due = {};
        if (!ended.empty()) {
            for (const auto& handler : ended.mapped()) {
                handler();
            }
        }
    }
    poll_next();
}

void monitor::repeat_answered(const database::database_answer& answer) {
    if (!answer.m_rows.empty()) {
        core::log_line(core::log_level::warning, "ownership",
                       "ended late sessions of earlier owners endpoint=" + m_name +
                           " sessions=" + std::to_string(answer.m_rows.size()));
    }
    poll_next();
}

bool monitor::poll_session(core::time_point now) {
    if (m_ending.empty() || m_sessions_due > now) {
        return false;
    }
    // Round robin, so that one session that does not end holds up no other.
    auto next = m_ending.upper_bound(m_asked_process);
    next = next == m_ending.end() ? m_ending.begin() : next;
    m_asked_process = next->first;
    if (m_listener.process_in_use(m_asked_process)) {
        database::database_answer gone;
        sessions_answered(gone);
        return true;
    }
    send(sql::end_session, {std::to_string(m_asked_process)}, &monitor::sessions_answered);
    return true;
}

void monitor::poll_next() {
    if (m_phase != phase::polling || m_in_flight) {
        return;
    }
    const core::time_point now = transport::event_loop::now();
    const bool status_wanted = m_listener.status_wanted();
    const core::time_point status_due =
        status_wanted ? m_status_due - status_interval + wanted_status_gap : m_status_due;
    // The status first: it must not wait behind writes that keep asking for replicas.
    if (status_due <= now) {
        ask_status();
        return;
    }
    if (m_listener.replicas_wanted() && m_replicas_due <= now) {
        send(sql::replica_positions, {}, &monitor::replicas_answered);
        return;
    }
    if (poll_session(now)) {
        return;
    }
    if (m_earlier_owners_due <= now) {
        m_earlier_owners_due = now + earlier_owners_interval;
        if (m_listener.may_end_earlier_owners()) {
            send(sql::end_earlier_owners, {std::to_string(m_epoch.value())}, &monitor::repeat_answered);
            return;
        }
    }
    core::time_point next = std::min(status_due, m_earlier_owners_due);
    if (m_listener.replicas_wanted()) {
        next = std::min(next, m_replicas_due);
    }
    if (!m_ending.empty()) {
        next = std::min(next, m_sessions_due);
    }
    set_timer(next, &monitor::poll_next);
}

} // namespace mangoquay::ownership
