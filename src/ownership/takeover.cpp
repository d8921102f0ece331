// Takeover of an endpoint, repeated after the monitoring connection is lost.
#include "ownership/monitor.h"

#include "core/log.h"
#include "core/quoting.h"
#include "dialect/postgres_sql.h"

#include <algorithm>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;

constexpr core::milliseconds connect_timeout{1000};
constexpr core::milliseconds first_retry_delay{50};
constexpr std::uint32_t max_retry_doublings = 3;
// Sessions end within milliseconds of being terminated.
constexpr core::milliseconds step_retry_delay{10};

} // namespace

monitor::monitor(transport::event_loop& loop, monitor_listener& listener,
                 const dialect::database_dialect& strategy,
                 std::vector<dialect::connection_parameter> parameters, core::owner_epoch epoch,
                 std::string name, std::uint64_t seed)
    : m_loop(loop), m_listener(listener), m_strategy(strategy), m_parameters(std::move(parameters)),
      m_epoch(epoch), m_name(std::move(name)), m_random(seed) {}

monitor::~monitor() {
    stop();
}

void monitor::start() {
    connect();
}

void monitor::stop() {
    m_phase = phase::stopped;
    m_reachable = false;
    if (m_timer) {
        m_loop.cancel_timer(*std::exchange(m_timer, std::nullopt));
    }
    if (m_session) {
        m_session->close();
    }
}

void monitor::connect() {
    m_phase = phase::connecting;
    m_in_flight = false;
    m_session = std::make_shared<database::connection>(m_loop, m_parameters);
    m_session->open(core::deadline_after(transport::event_loop::now(), connect_timeout),
                    [this](bool opened, const std::string& reason) {
                        if (!opened) {
                            on_session_lost(reason);
                            return;
                        }
                        m_reachable = true;
                        m_phase = phase::taking_over;
                        m_session->on_closed_while_idle(
                            [this] { on_session_lost("the server ended the session"); });
                        end_earlier_owners();
                    });
}

void monitor::on_session_lost(const std::string& reason) {
    if (m_phase == phase::stopped) {
        return;
    }
    const bool held = lock_held();
    m_phase = phase::closed;
    m_reachable = false;
    m_in_flight = false;
    m_session->close();
    const core::duration delay = first_retry_delay * (1U << std::min(m_failure_count, max_retry_doublings));
    ++m_failure_count;
    core::log_line(core::log_level::warning, "ownership",
                   "monitoring connection lost endpoint=" + m_name + " reason=" + core::quoted(reason));
    set_timer(transport::event_loop::now() + jittered(delay), &monitor::connect);
    if (held) {
        m_listener.on_monitor_session_lost(reason);
    }
}

void monitor::schedule_step_retry(void (monitor::*again)()) {
    set_timer(transport::event_loop::now() + jittered(step_retry_delay), again);
}

void monitor::end_earlier_owners() {
    if (m_phase != phase::taking_over) {
        return;
    }
    if (!m_listener.may_end_earlier_owners()) {
        schedule_step_retry(&monitor::end_earlier_owners);
        return;
    }
    send(sql::end_earlier_owners, {std::to_string(m_epoch.value())}, &monitor::on_earlier_owners_ended);
}

void monitor::on_earlier_owners_ended(const database::database_answer& answer) {
    if (answer.m_outcome != database::statement_outcome::completed) {
        on_session_lost("terminating sessions of earlier owners failed: " + answer.m_message);
        return;
    }
    // Each row is a session that was signalled to terminate and may still run a statement.
    if (!answer.m_rows.empty()) {
        schedule_step_retry(&monitor::end_earlier_owners);
        return;
    }
    send(sql::try_owner_lock, {}, &monitor::on_lock_answer);
}

void monitor::on_lock_answer(const database::database_answer& answer) {
    if (answer.m_outcome != database::statement_outcome::completed) {
        on_session_lost("taking the owner lock failed: " + answer.m_message);
        return;
    }
    if (answer.first_cell() != "t") {
        schedule_step_retry(&monitor::end_earlier_owners);
        return;
    }
    core::log_line(core::log_level::info, "ownership",
                   "endpoint taken over endpoint=" + m_name + " epoch=" + std::to_string(m_epoch.value()) +
                       " reason=assigned");
    query_status();
}

void monitor::set_timer(core::time_point when, void (monitor::*action)()) {
    if (m_timer) {
        m_loop.cancel_timer(*m_timer);
    }
    m_timer = m_loop.run_at(when, [this, action] {
        m_timer.reset();
        (this->*action)();
    });
}

core::duration monitor::jittered(core::duration delay) {
    // 75 % to 125 % of the delay, so that the owners of many endpoints do not retry simultaneously.
    std::uniform_int_distribution<std::int64_t> spread(delay.count() * 3 / 4, delay.count() * 5 / 4);
    return core::duration(spread(m_random));
}

} // namespace mangoquay::ownership
