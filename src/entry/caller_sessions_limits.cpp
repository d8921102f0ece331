// Memory, deadlines and places of callers' connections.
#include "entry/caller_sessions.h"

#include "core/log.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace mangoquay::entry {
namespace {

using transport::memory_kind;
using transport::memory_pressure;

// Memory of a connection and its session besides the buffers that are counted.
constexpr std::size_t connection_bytes = 2048;
// Statements of one caller are taken from its connection while those without an answer hold less than this.
constexpr std::size_t max_statement_bytes_ahead = std::size_t{3} << 20U;
// A startup arrives within milliseconds, so an older connection without one may lose its place.
constexpr core::milliseconds displaceable_age{500};
constexpr core::milliseconds check_interval{1000};
constexpr core::milliseconds report_interval{5000};
// A caller that sends or reads less than this between two checks has stopped: a line of 2 Mbit/s carries 250
// KB.
constexpr std::uint64_t min_progress_bytes = 16384;
// Closed connections keep their unsent bytes for 1 s. Those above this sum are dropped at once.
constexpr std::size_t max_closing_bytes = std::size_t{2} << 20U;
constexpr std::size_t max_closing_connection_bytes = std::size_t{256} << 10U;
constexpr core::milliseconds closing_period{1000};

transport::holder_id holder_of(relay::session_id id) {
    return transport::holder_id(id.value());
}

} // namespace

const char* to_string(caller_measure measure) {
    static constexpr std::array<const char*, caller_measure_count> names{
        "stopped_reading",  "closed_memory",   "refused_memory", "startup_deadline",
        "message_deadline", "answer_deadline", "displaced"};
    return names.at(static_cast<std::size_t>(measure));
}

bool caller_sessions::make_place() {
    if (m_memory.pressure(memory_kind::callers) == memory_pressure::refuse_new) {
        count(caller_measure::refused_memory);
        return false;
    }
    if (m_connections.size() < m_limits.m_max_sessions) {
        return true;
    }
    // A connection whose startup waits for this host keeps its place.
    const auto oldest = std::ranges::find_if(m_not_started, [this](relay::session_id id) {
        return m_connections.at(id).m_database.empty() && !m_waiting_sessions.contains(id);
    });
    if (oldest == m_not_started.end() ||
        core::now() - m_connections.at(*oldest).m_accepted_at < displaceable_age) {
        return false;
    }
    close_for(relay::session_id(*oldest), caller_measure::displaced);
    return true;
}

void caller_sessions::update_memory(relay::session_id id, connection& caller) {
    const std::size_t held = connection_bytes + caller.m_stream->held_bytes() + caller.m_unanswered_bytes;
    const bool decreased = held < caller.m_held;
    m_memory.change(memory_kind::callers, holder_of(id), std::exchange(caller.m_held, held), held);
    const bool is_short = !m_memory.may_grow(memory_kind::callers, holder_of(id), held);
    const bool stop = is_short || caller.m_unanswered_bytes >= max_statement_bytes_ahead;
    if (stop != caller.m_stopped) {
        caller.m_stopped = stop;
        caller.m_stream->set_reading(!stop);
        if (stop) {
            m_stopped.insert(id);
        } else {
            m_stopped.erase(id);
        }
        if (is_short) {
            count(caller_measure::stopped_reading);
        }
    }
    const bool must_close = m_memory.pressure(memory_kind::callers) >= memory_pressure::close_largest;
    if ((must_close || (decreased && !m_stopped.empty())) && !m_relief_posted) {
        m_relief_posted = true; // Posted, because callers of this function use their connections after it.
        m_loop.post([this, alive = std::weak_ptr<int>(m_alive)] {
            if (!alive.expired()) {
                relieve_memory();
            }
        });
    }
}

void caller_sessions::relieve_memory() {
    m_relief_posted = false;
    while (m_memory.pressure(memory_kind::callers) >= memory_pressure::close_largest) {
        const auto largest = m_memory.largest(memory_kind::callers);
        if (!largest) {
            break; // Small holders alone cannot fill the share.
        }
        close_for(relay::session_id(largest->value()), caller_measure::closed_memory);
    }
    const std::vector<relay::session_id> stopped(m_stopped.begin(), m_stopped.end());
    for (const relay::session_id id : stopped) {
        if (const auto found = m_connections.find(id); found != m_connections.end()) {
            update_memory(id, found->second);
        }
    }
}

// The answer to a statement in progress is not known, so nothing is promised about it.
void caller_sessions::close_for(relay::session_id id, caller_measure measure) {
    count(measure);
    const connection& caller = m_connections.at(id);
    if (caller.m_unanswered.empty() && caller.m_stream->unsent_bytes() == 0) {
        refuse_and_close(id, relay::refusal::busy, std::string("limit of this host: ") + to_string(measure));
    } else {
        end_session(id);
    }
}

void caller_sessions::release(relay::session_id id, connection& closed) {
    m_memory.change(memory_kind::callers, holder_of(id), std::exchange(closed.m_held, 0), 0);
    m_not_started.erase(id);
    m_stopped.erase(id);
    const std::size_t unsent = closed.m_stream->unsent_bytes();
    if (unsent > max_closing_connection_bytes || m_closing_bytes + unsent > max_closing_bytes) {
        closed.m_stream.reset(); // Those that have read little of much.
        return;
    }
    if (unsent > 0) {
        m_closing_bytes += unsent;
        m_loop.run_after(closing_period, [this, unsent, alive = std::weak_ptr<int>(m_alive)] {
            if (!alive.expired()) {
                m_closing_bytes -= unsent;
            }
        });
    }
    transport::byte_stream::close_when_sent(std::move(closed.m_stream));
}

void caller_sessions::update_answer_deadline(connection& caller, core::time_point now) const {
    const std::size_t unsent = caller.m_stream->unsent_bytes();
    if (unsent == 0) {
        caller.m_answer_deadline.m_at = core::time_point::max();
    } else if (caller.m_answer_deadline.m_at == core::time_point::max() ||
               caller.m_stream->sent_count() >= caller.m_answer_mark) {
        caller.m_answer_mark = caller.m_stream->sent_count() + unsent;
        caller.m_answer_deadline = core::deadline_after(now, m_limits.m_answer_timeout);
    }
}

std::optional<caller_measure> caller_sessions::missed_deadline(connection& caller,
                                                               core::time_point now) const {
    update_answer_deadline(caller, now);
    if (!caller.m_started && caller.m_database.empty() &&
        now >= caller.m_accepted_at + m_limits.m_startup_timeout) {
        return caller_measure::startup_deadline;
    }
    if (caller.m_message_deadline.passed(now)) {
        return caller_measure::message_deadline;
    }
    return caller.m_answer_deadline.passed(now) ? std::optional(caller_measure::answer_deadline)
                                                : std::nullopt;
}

void caller_sessions::check() {
    const core::time_point now = core::now();
    std::vector<std::pair<relay::session_id, caller_measure>> missed;
    for (auto& [id, caller] : m_connections) {
        const auto measure = missed_deadline(caller, now);
        if (measure && !m_waiting_sessions.contains(id)) { // Messages that wait for this host are not late.
            missed.emplace_back(id, *measure);
        }
        update_memory(id, caller); // Unsent bytes may have been sent.
    }
    for (const auto& [id, measure] : missed) {
        if (m_connections.contains(id)) {
            close_for(id, measure);
        }
    }
    close_stopped_caller();
    relieve_memory();
    write_report(now);
    m_loop.run_after(check_interval, [this, alive = std::weak_ptr<int>(m_alive)] {
        if (!alive.expired()) {
            check();
        }
    });
}

// Only the largest caller is read from while memory is short, so it would keep the others waiting. Statements
// in progress end by their own time limits.
void caller_sessions::close_stopped_caller() {
    const bool was_short =
        std::exchange(m_memory_was_short, m_memory.pressure(memory_kind::callers) != memory_pressure::none);
    const auto largest = m_memory.largest(memory_kind::callers);
    if (!m_memory_was_short || !largest) {
        return;
    }
    const relay::session_id id(largest->value());
    connection& caller = m_connections.at(id);
    const std::uint64_t progress = caller.m_stream->received_count() + caller.m_stream->sent_count();
    const bool has_stopped = progress < std::exchange(caller.m_progress, progress) + min_progress_bytes;
    if (was_short && has_stopped && caller.m_unanswered.empty()) {
        close_for(id, caller_measure::closed_memory);
    }
}

void caller_sessions::write_report(core::time_point now) {
    if (m_measures == m_reported || now < m_next_report) {
        return;
    }
    std::string text =
        "callers outside the limits held_bytes=" + std::to_string(m_memory.held(memory_kind::callers));
    for (std::size_t index = 0; index < caller_measure_count; ++index) {
        text += std::string(" ") + to_string(static_cast<caller_measure>(index)) + "=" +
                std::to_string(m_measures.at(index) - m_reported.at(index));
    }
    core::log_line(core::log_level::warning, "entry", text);
    m_reported = m_measures;
    m_next_report = now + report_interval;
}

void caller_sessions::add_metrics(metrics::page_writer& page) const {
    page.add_line("caller_memory_bytes", {}, static_cast<double>(m_memory.held(memory_kind::callers)));
    page.add_line("callers_not_read_from", {}, static_cast<double>(m_stopped.size()));
    for (std::size_t index = 0; index < caller_measure_count; ++index) {
        page.add_line("caller_limits_total", {{"measure", to_string(static_cast<caller_measure>(index))}},
                      static_cast<double>(m_measures.at(index)));
    }
}

} // namespace mangoquay::entry
