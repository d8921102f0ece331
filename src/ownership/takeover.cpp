// Taking an endpoint over, and doing so again after the monitoring connection was lost.
#include "ownership/monitor.h"

#include "core/log.h"
#include "dialect/postgres_sql.h"

#include <algorithm>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;

constexpr core::milliseconds connect_limit{1000};
constexpr core::milliseconds first_retry_delay{50};
constexpr std::uint32_t largest_delay_doublings = 3;
// Sessions end within milliseconds of being told to.
constexpr core::milliseconds step_delay{10};

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
    m_session->open(core::deadline_after(transport::event_loop::now(), connect_limit),
                    [this](bool opened, const std::string& reason) {
                        if (!opened) {
                            lose(reason);
                            return;
                        }
                        m_reachable = true;
                        m_phase = phase::taking_over;
                        m_session->on_idle_end([this] { lose("the server ended the session"); });
                        end_earlier_owners();
                    });
}

void monitor::lose(const std::string& why) {
    if (m_phase == phase::stopped) {
        return;
    }
    const bool held = lock_held();
    m_phase = phase::closed;
    m_reachable = false;
    m_in_flight = false;
    m_session->close();
    const core::duration delay = first_retry_delay * (1U << std::min(m_failures, largest_delay_doublings));
    ++m_failures;
    core::log_line(core::log_level::warning, "ownership",
                   "monitoring connection lost endpoint=" + m_name + " reason=" + why);
    set_timer(transport::event_loop::now() + jittered(delay), &monitor::connect);
    if (held) {
        m_listener.on_lost(why);
    }
}

void monitor::retry_step_later(void (monitor::*again)()) {
    set_timer(transport::event_loop::now() + jittered(step_delay), again);
}

void monitor::end_earlier_owners() {
    if (m_phase != phase::taking_over) {
        return;
    }
    if (!m_listener.may_end_earlier_owners()) {
        retry_step_later(&monitor::end_earlier_owners);
        return;
    }
    send(sql::end_earlier_owners, {std::to_string(m_epoch.value())}, &monitor::earlier_owners_ended);
}

void monitor::earlier_owners_ended(const database::database_answer& answer) {
    if (answer.m_outcome != database::outcome::completed) {
        lose("ending earlier owners refused: " + answer.m_message);
        return;
    }
    // A row is a session that was told to end and may still run a statement.
    if (!answer.m_rows.empty()) {
        retry_step_later(&monitor::end_earlier_owners);
        return;
    }
    send(sql::try_owner_lock, {}, &monitor::lock_answered);
}

void monitor::lock_answered(const database::database_answer& answer) {
    if (answer.m_outcome != database::outcome::completed) {
        lose("owner lock refused: " + answer.m_message);
        return;
    }
    if (answer.first_cell() != "t") {
        retry_step_later(&monitor::end_earlier_owners);
        return;
    }
    core::log_line(core::log_level::info, "ownership",
                   "endpoint taken over endpoint=" + m_name + " epoch=" + std::to_string(m_epoch.value()) +
                       " reason=assigned");
    ask_status();
}

void monitor::set_timer(core::time_point when, void (monitor::*work)()) {
    if (m_timer) {
        m_loop.cancel_timer(*m_timer);
    }
    m_timer = m_loop.run_at(when, [this, work] {
        m_timer.reset();
        (this->*work)();
    });
}

core::duration monitor::jittered(core::duration delay) {
    // Between 75 % and 125 %, so that owners of many endpoints do not retry in step.
    std::uniform_int_distribution<std::int64_t> spread(delay.count() * 3 / 4, delay.count() * 5 / 4);
    return core::duration(spread(m_random));
}

} // namespace mangoquay::ownership
