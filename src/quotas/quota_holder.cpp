// Token buckets of the shares, measurement of demand, and requests to the leader.
#include "quotas/quota_holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace mangoquay::quotas {
namespace {

// Weight of the past in the demand: an average over about two seconds follows a demand that moves between
// zones within 11 s and is steady enough for shares that change once a second.
constexpr double demand_memory_s = 2.0;
// Without an answer by then the request counts as lost. Control hosts answer within a round trip.
constexpr core::milliseconds answer_timeout{200};
// The leader refills its pool continuously; an operation that is refused meanwhile is told so at once.
constexpr core::milliseconds denial_length{100};
// A customer without sessions, operations and a share is forgotten below this demand.
constexpr double negligible_demand = 0.01;

double seconds_between(core::time_point from, core::time_point to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

} // namespace

void quota_holder::set_limits(limits_by_customer limits, core::time_point now) {
    for (auto& [customer, state] : m_customers) {
        const auto limit = limits.find(customer);
        if (limit == limits.end()) {
            state.m_share = {};
            state.m_tokens = 0.0;
            continue;
        }
        refill(state, now);
        apply_limit(state, limit->second);
    }
    m_limits = std::move(limits);
}

// A share that was granted under a higher limit shrinks in the same proportion, so the shares of all hosts
// together stay within the new limit without an answer of the leader.
void quota_holder::apply_limit(customer_state& state, const operation_limit& limit) {
    if (state.m_limit.m_rate_per_s > limit.m_rate_per_s) {
        state.m_share.m_rate_per_s *= limit.m_rate_per_s / state.m_limit.m_rate_per_s;
        state.m_limit.m_rate_per_s = limit.m_rate_per_s;
    }
    if (state.m_capacity_basis > limit.m_burst + limit.m_rate_per_s) {
        state.m_share.m_capacity *= (limit.m_burst + limit.m_rate_per_s) / state.m_capacity_basis;
        state.m_capacity_basis = limit.m_burst + limit.m_rate_per_s;
    }
    state.m_tokens = std::min(state.m_tokens, state.m_share.m_capacity);
}

void quota_holder::set_share(customer_state& state, const share& next) {
    state.m_share = next;
    state.m_returned_tokens += std::max(0.0, state.m_tokens - next.m_capacity);
    state.m_tokens = std::min(state.m_tokens, next.m_capacity);
}

void quota_holder::refill(customer_state& state, core::time_point now) {
    if (state.m_share_end.passed(now)) {
        if (state.m_share.m_capacity > 0.0) {
            ++m_counters.m_shares_expired;
        }
        state.m_share = {};
        state.m_tokens = 0.0;
    }
    state.m_tokens =
        std::min(state.m_share.m_capacity,
                 state.m_tokens + state.m_share.m_rate_per_s * seconds_between(state.m_refilled_at, now));
    state.m_refilled_at = now;
}

void quota_holder::on_session_opened(const core::customer_name& customer) {
    ++m_customers[customer].m_sessions;
}

void quota_holder::on_session_closed(const core::customer_name& customer) {
    std::uint32_t& sessions = m_customers[customer].m_sessions;
    sessions -= sessions > 0 ? 1 : 0;
}

void quota_holder::on_operation_arrived(const core::customer_name& customer, core::time_point now) {
    customer_state& state = m_customers[customer];
    decay_demand(state, now);
    state.m_arrivals_per_s += 1.0 / demand_memory_s;
}

void quota_holder::decay_demand(customer_state& state, core::time_point now) {
    state.m_arrivals_per_s *= std::exp(-seconds_between(state.m_demand_at, now) / demand_memory_s);
    state.m_demand_at = now;
}

admission quota_holder::admit(const core::customer_name& customer, core::time_point waited_since,
                              core::time_point now) {
    if (!m_limits.contains(customer)) {
        return admission::admitted;
    }
    customer_state& state = m_customers[customer];
    refill(state, now);
    if (state.m_tokens >= 1.0) {
        state.m_tokens -= 1.0;
        ++m_counters.m_admitted;
        return admission::admitted;
    }
    const bool denied = !state.m_denied_until.passed(now);
    if (!denied) {
        state.m_waiting_until = core::deadline_after(now, max_token_wait);
    }
    // An answer to a request that was sent while this operation waited has brought no token for it.
    const bool answered = state.m_answered_at > waited_since;
    if (!denied && !answered && waited_since + max_token_wait > now) {
        return admission::waiting;
    }
    ++m_counters.m_refused;
    return admission::over_limit;
}

void quota_holder::refund(const core::customer_name& customer, core::time_point now) {
    const auto found = m_customers.find(customer);
    if (found == m_customers.end() || !m_limits.contains(customer)) {
        return;
    }
    refill(found->second, now);
    found->second.m_tokens = std::min(found->second.m_share.m_capacity, found->second.m_tokens + 1.0);
}

std::optional<quota_request> quota_holder::next_request(core::time_point now) {
    if (m_limits.empty()) {
        return std::nullopt;
    }
    const bool any_waiting = std::ranges::any_of(
        m_customers, [now](const auto& one) { return !one.second.m_waiting_until.passed(now); });
    const bool answer_due = m_unanswered && m_last_sent + answer_timeout > now;
    const bool due = m_last_sent + request_period <= now;
    if (!due && ((!any_waiting && !m_confirm) || answer_due || m_last_sent + min_request_pause > now)) {
        return std::nullopt;
    }
    quota_request request;
    request.m_incarnation = m_incarnation;
    request.m_number = request_number(++m_last_number);
    request.m_applied = request_number(m_applied_number);
    for (auto entry = m_customers.begin(); entry != m_customers.end();) {
        customer_state& state = entry->second;
        refill(state, now);
        decay_demand(state, now);
        const bool limited = m_limits.contains(entry->first);
        const bool waiting = !state.m_waiting_until.passed(now);
        if (state.m_sessions == 0 && !waiting && state.m_arrivals_per_s < negligible_demand &&
            state.m_share.m_capacity <= 0.0 && state.m_returned_tokens <= 0.0) {
            entry = m_customers.erase(entry);
            continue;
        }
        if (limited) {
            request.m_customers.push_back({entry->first, state.m_share, state.m_arrivals_per_s,
                                           state.m_sessions, waiting,
                                           std::exchange(state.m_returned_tokens, 0.0)});
        }
        ++entry;
    }
    m_last_sent = now;
    m_confirm = false;
    m_unanswered = true;
    m_sent_at[request.m_number] = now;
    while (m_sent_at.size() > max_remembered_requests) {
        m_sent_at.erase(m_sent_at.begin());
    }
    return request;
}

bool quota_holder::on_grant(const quota_grant& grant, core::time_point now) {
    const auto sent = m_sent_at.find(grant.m_number);
    if (grant.m_incarnation != m_incarnation || sent == m_sent_at.end() ||
        grant.m_number.value() <= m_applied_number) {
        return false;
    }
    const core::time_point sent_at = sent->second;
    m_applied_number = grant.m_number.value();
    m_confirm = grant.m_confirm;
    m_sent_at.erase(m_sent_at.begin(), std::next(sent));
    m_unanswered = m_unanswered && grant.m_number.value() != m_last_number;
    std::map<core::customer_name, const granted_share*> granted;
    for (const granted_share& one : grant.m_shares) {
        granted[one.m_customer] = &one;
    }
    for (auto& [customer, state] : m_customers) {
        refill(state, now);
        const bool waited = !state.m_waiting_until.passed(sent_at);
        const auto found = granted.find(customer);
        if (waited && (found == granted.end() || found->second->m_tokens < 1.0)) {
            state.m_denied_until = core::deadline_after(now, denial_length);
        }
        state.m_waiting_until = {};
        state.m_answered_at = sent_at;
        if (found == granted.end()) {
            set_share(state, {});
        }
    }
    for (const auto& [customer, one] : granted) {
        const auto limit = m_limits.find(customer);
        if (limit == m_limits.end()) {
            continue; // Removed since the request.
        }
        customer_state& state = m_customers[customer];
        set_share(state, one->m_share);
        state.m_limit = one->m_limit;
        state.m_capacity_basis = one->m_limit.m_burst + one->m_limit.m_rate_per_s;
        state.m_share_end = core::deadline{sent_at + share_lifetime};
        state.m_answered_at = sent_at;
        state.m_tokens = std::min(state.m_share.m_capacity, state.m_tokens + std::max(0.0, one->m_tokens));
        apply_limit(state, limit->second);
    }
    return true;
}

std::optional<share> quota_holder::held(const core::customer_name& customer, core::time_point now) const {
    const auto found = m_customers.find(customer);
    if (found == m_customers.end() || found->second.m_share_end.passed(now) ||
        found->second.m_share.m_capacity <= 0.0) {
        return std::nullopt;
    }
    return found->second.m_share;
}

} // namespace mangoquay::quotas
