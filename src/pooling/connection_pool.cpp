// Lending, demand forecast and closing of pooled connections.
#include "pooling/connection_pool.h"

#include <algorithm>
#include <cmath>

namespace mangoquay::pooling {
namespace {

// Half-life of the recent peak: a second load peak soon after a first one still finds open connections.
constexpr std::chrono::duration<double> peak_half_life(10.0);
// Time constant of the smoothed rise of demand: shorter than a load peak, longer than the interval between
// two statements.
constexpr std::chrono::duration<double> rise_window(0.05);
// Forecast horizon in connect times: one to detect the rise, one to connect.
constexpr double forecast_connect_times = 2;
constexpr core::milliseconds first_open_delay{50};
constexpr std::uint32_t max_delay_doublings = 5;

} // namespace

connection_pool::connection_pool(const pool_policy& policy, const pool_rules& rules)
    : m_policy(policy), m_rules(rules) {}

void connection_pool::record_demand(std::size_t users, core::time_point now) {
    const std::chrono::duration<double> passed = now - m_demand_time;
    const auto demand = static_cast<double>(users);
    const double weight = std::min(1.0, passed / rise_window);
    if (passed.count() > 0) {
        m_rise_per_second *= 1 - weight;
        m_rise_per_second += (demand - m_demand) / std::max(passed, rise_window).count();
        m_peak *= std::exp2(-(passed / peak_half_life));
    }
    m_peak = std::max(m_peak, demand);
    m_demand = demand;
    m_demand_time = now;
}

std::size_t connection_pool::target() const {
    double requested = m_demand;
    if (m_rules.m_forecast) {
        const double ahead =
            std::chrono::duration<double>(m_policy.m_connect_time).count() * forecast_connect_times;
        requested = std::max(m_peak, m_demand + std::max(0.0, m_rise_per_second) * ahead);
    }
    const double limit = static_cast<double>(m_policy.m_limit);
    const auto forecast = static_cast<std::size_t>(std::min(limit, std::ceil(requested - 0.5)));
    return std::min(m_policy.m_limit, std::max(m_policy.m_min_connections, forecast));
}

pool_plan connection_pool::plan(core::time_point now) {
    pool_plan plan;
    close_surplus(now, plan);
    if (now < m_open_not_before) {
        return plan;
    }
    const std::size_t requested = target();
    // After a failure a single attempt at a time suffices to detect that the endpoint is available again.
    const std::size_t max_opening = m_failures > 0 ? 1 : requested;
    while (count(state::opening) < max_opening && total() - count(state::lingering) < requested &&
           (!m_rules.m_enforce_limit || total() < m_policy.m_limit)) {
        const connection_number number{m_next_number++};
        m_connections.emplace(number, entry{});
        plan.m_open.push_back(number);
    }
    return plan;
}

void connection_pool::close_surplus(core::time_point now, pool_plan& plan) {
    while (!m_idle.empty()) {
        const connection_number oldest = m_idle.front();
        const bool over_limit = total() > m_policy.m_limit;
        const bool unused = now - m_connections.at(oldest).m_idle_since >= m_policy.m_idle_time;
        if (!over_limit && !(unused && total() > target())) {
            return;
        }
        plan.m_close.push_back(oldest);
        m_idle.erase(m_idle.begin());
        m_connections.erase(oldest);
    }
}

void connection_pool::on_opened(connection_number number, core::time_point now) {
    m_failures = 0;
    m_open_not_before = {};
    return_connection(number, now);
}

void connection_pool::on_open_failed(connection_number number, core::time_point now) {
    m_connections.erase(number);
    const auto doublings = std::min(m_failures, max_delay_doublings);
    m_open_not_before = now + first_open_delay * (1U << doublings);
    ++m_failures;
}

std::optional<connection_number> connection_pool::lend() {
    if (m_idle.empty()) {
        return std::nullopt;
    }
    const connection_number number = m_idle.back();
    m_idle.pop_back();
    m_connections.at(number).m_state = state::lent;
    return number;
}

void connection_pool::return_connection(connection_number number, core::time_point now) {
    const auto found = m_connections.find(number);
    if (found == m_connections.end() || found->second.m_state == state::idle ||
        found->second.m_state == state::lingering) {
        return;
    }
    found->second = entry{state::idle, now};
    m_idle.push_back(number);
}

void connection_pool::close_and_linger(connection_number number) {
    const auto found = m_connections.find(number);
    if (found != m_connections.end()) {
        found->second.m_state = state::lingering;
        std::erase(m_idle, number);
    }
}

void connection_pool::on_session_ended(connection_number number) {
    m_connections.erase(number);
    if (m_rules.m_remove_ended) {
        std::erase(m_idle, number);
    }
}

std::optional<core::time_point> connection_pool::next_event(core::time_point now) const {
    std::optional<core::time_point> next;
    if (m_open_not_before > now) {
        next = m_open_not_before;
    }
    if (!m_idle.empty() && total() > m_policy.m_min_connections) {
        const auto due = m_connections.at(m_idle.front()).m_idle_since + m_policy.m_idle_time;
        // A connection that is due but still needed is checked again later.
        const auto next_check = due > now ? due : now + m_policy.m_idle_time / 4;
        next = next ? std::min(*next, next_check) : next_check;
    }
    return next;
}

std::size_t connection_pool::count(state requested) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        m_connections, [requested](const auto& item) { return item.second.m_state == requested; }));
}

} // namespace mangoquay::pooling
