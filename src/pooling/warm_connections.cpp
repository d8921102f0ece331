// Opens and closes the sessions of the connection pool on the event loop.
#include "pooling/warm_connections.h"

#include "core/log.h"
#include "core/quoting.h"

#include <algorithm>
#include <utility>

namespace mangoquay::pooling {
namespace {

// Longer than any connect within a zone. The monitoring connection also detects a host that does not answer.
constexpr core::milliseconds connect_timeout{2000};
// Divisor of the exponential moving average of the connect time.
constexpr int connect_time_divisor = 8;

} // namespace

warm_connections::warm_connections(transport::event_loop& loop,
                                   std::vector<dialect::connection_parameter> parameters,
                                   const pool_policy& policy)
    : m_loop(loop), m_parameters(std::move(parameters)), m_policy(policy), m_pool(policy) {}

warm_connections::~warm_connections() {
    for (const auto& [number, session] : m_sessions) {
        session->close();
    }
    for (const waiter& waiting : m_waiters) {
        m_loop.cancel_timer(waiting.m_timer);
    }
    if (m_plan_timer) {
        m_loop.cancel_timer(*m_plan_timer);
    }
}

void warm_connections::set_policy(const pool_policy& policy) {
    const core::duration measured = m_policy.m_connect_time;
    m_policy = policy;
    m_policy.m_connect_time = measured;
    m_pool.set_policy(m_policy);
    apply_plan();
}

void warm_connections::set_enabled(bool enabled) {
    if (m_enabled == enabled) {
        return;
    }
    m_enabled = enabled;
    if (enabled) {
        apply_plan();
        return;
    }
    while (const auto number = m_pool.lend()) {
        m_sessions.at(*number)->close();
        on_session_ended(*number);
    }
    for (auto refused = std::exchange(m_waiters, {}); const waiter& waiting : refused) {
        m_loop.cancel_timer(waiting.m_timer);
        waiting.m_handler({});
    }
}

void warm_connections::record_demand(std::size_t users) {
    m_users = users;
    m_pool.record_demand(users, transport::event_loop::now());
    apply_plan();
}

void warm_connections::acquire(core::deadline by, lent_handler handler) {
    if (!m_enabled) {
        handler({});
        return;
    }
    if (m_waiters.empty()) {
        if (auto lent = lend()) {
            handler(std::move(*lent));
            return;
        }
    }
    const std::uint64_t number = ++m_next_waiter;
    const auto timer = m_loop.run_at(by.m_at, [this, number] { on_waiter_timeout(number); });
    m_waiters.push_back({number, std::move(handler), timer});
    apply_plan();
}

void warm_connections::return_connection(const lent_connection& lent) {
    if (!m_enabled || !lent.m_connection->usable()) {
        lent.m_connection->close();
        on_session_ended(lent.m_number);
        return;
    }
    const connection_number number = lent.m_number;
    lent.m_connection->on_closed_while_idle([this, number] { on_idle_session_ended(number); });
    m_pool.return_connection(number, transport::event_loop::now());
    serve_waiters();
    apply_plan();
}

void warm_connections::close_and_linger(const lent_connection& lent) {
    lent.m_connection->close();
    m_pool.close_and_linger(lent.m_number);
    m_sessions.erase(lent.m_number);
}

void warm_connections::on_session_ended(connection_number number) {
    m_pool.on_session_ended(number);
    m_sessions.erase(number);
    apply_plan();
}

bool warm_connections::has_server_process(int server_process) const {
    return std::ranges::any_of(m_sessions, [server_process](const auto& item) {
        return item.second->server_process_id() == server_process;
    });
}

void warm_connections::apply_plan() {
    if (m_plan_timer) {
        m_loop.cancel_timer(*std::exchange(m_plan_timer, std::nullopt));
    }
    if (!m_enabled) {
        return;
    }
    const pool_plan plan = m_pool.plan(transport::event_loop::now());
    for (const connection_number number : plan.m_close) {
        m_sessions.at(number)->close();
        m_sessions.erase(number);
    }
    for (const connection_number number : plan.m_open) {
        open(number);
    }
    if (const auto next = m_pool.next_event(transport::event_loop::now())) {
        m_plan_timer = m_loop.run_at(*next, [this] {
            m_plan_timer.reset();
            // The recorded peak decays only when demand is recorded.
            record_demand(m_users);
        });
    }
}

void warm_connections::open(connection_number number) {
    const auto session = std::make_shared<database::connection>(m_loop, m_parameters);
    m_sessions.emplace(number, session);
    const core::time_point start = transport::event_loop::now();
    session->open(core::deadline_after(start, connect_timeout),
                  [this, number, start](bool opened, const std::string& reason) {
                      const core::time_point now = transport::event_loop::now();
                      if (!opened) {
                          core::log_line(core::log_level::warning, "pooling",
                                         "connection not opened reason=" + core::quoted(reason));
                          m_sessions.erase(number);
                          m_pool.on_open_failed(number, now);
                          apply_plan();
                          return;
                      }
                      m_policy.m_connect_time +=
                          (now - start - m_policy.m_connect_time) / connect_time_divisor;
                      m_pool.set_policy(m_policy);
                      m_pool.on_opened(number, now);
                      // Returning the connection closes it if the pool was disabled in the meantime.
                      m_pool.lend();
                      return_connection({number, m_sessions.at(number)});
                  });
}

void warm_connections::serve_waiters() {
    while (!m_waiters.empty()) {
        auto lent = lend();
        if (!lent) {
            return;
        }
        waiter next = std::move(m_waiters.front());
        m_waiters.pop_front();
        m_loop.cancel_timer(next.m_timer);
        next.m_handler(std::move(*lent));
    }
}

void warm_connections::on_waiter_timeout(std::uint64_t number) {
    const auto found = std::ranges::find(m_waiters, number, &waiter::m_number);
    if (found != m_waiters.end()) {
        const lent_handler handler = std::move(found->m_handler);
        m_waiters.erase(found);
        handler({});
    }
}

void warm_connections::on_idle_session_ended(connection_number number) {
    core::log_line(core::log_level::info, "pooling", "the server ended an idle session");
    on_session_ended(number);
}

std::optional<lent_connection> warm_connections::lend() {
    while (const auto number = m_pool.lend()) {
        const auto session = m_sessions.at(*number);
        if (session->usable()) {
            session->on_closed_while_idle(nullptr);
            return lent_connection{*number, session};
        }
        session->close();
        m_pool.on_session_ended(*number);
        m_sessions.erase(*number);
    }
    return std::nullopt;
}

} // namespace mangoquay::pooling
