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
constexpr double demand_memory_s = 3.0;
// Without an answer by then the request counts as lost. Control hosts answer within a round trip.
constexpr core::milliseconds answer_timeout{200};
// Without operations for this many times their mean distance, the demand has moved away: the chance of such a
// gap in random arrivals is 0.25 %. The share is of use to the hosts where the demand went, and the average
// alone would release it too late.
constexpr double gap_of_ended_demand = 6.0;
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
            state.m_returned_tokens = 0.0;
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
    state.m_share = scaled(state.m_share, state.m_limit, limit);
    state.m_limit = {std::min(state.m_limit.m_rate_per_s, limit.m_rate_per_s),
                     std::min(state.m_limit.m_burst, limit.m_burst)};
    state.m_tokens = std::min(state.m_tokens, state.m_share.m_capacity);
}

void quota_holder::set_share(customer_state& state, const share& next) {
    state.m_share = next;
    add_tokens(state, 0.0);
}

void quota_holder::add_tokens(customer_state& state, double tokens) {
    state.m_tokens += tokens;
    state.m_returned_tokens += std::max(0.0, state.m_tokens - state.m_share.m_capacity);
    state.m_tokens = std::min(state.m_tokens, state.m_share.m_capacity);
}

// Without refill the capacity beyond the tokens admits nothing here, and is missing at other hosts.
void quota_holder::release_unused_capacity(customer_state& state) {
    if (state.m_share.m_rate_per_s <= 0.0) {
        set_share(state, {0.0, state.m_tokens >= 1.0 ? state.m_tokens : 0.0});
    }
}

void quota_holder::forget_old_waits(customer_state& state, core::time_point now) {
    state.m_waits.erase(state.m_waits.begin(), state.m_waits.upper_bound(now - max_token_wait));
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
    state.m_last_arrival_at = now;
}

double quota_holder::present_demand(const customer_state& state, core::time_point now) {
    const double gap_s = seconds_between(state.m_last_arrival_at, now);
    const double before_gap = state.m_arrivals_per_s * std::exp(gap_s / demand_memory_s);
    return gap_s * before_gap > gap_of_ended_demand ? 0.0 : state.m_arrivals_per_s;
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
        state.m_waits.erase(waited_since);
        ++m_counters.m_admitted;
        return admission::admitted;
    }
    const bool denied = !state.m_denied_until.passed(now) || state.m_denied_request_at > waited_since;
    if (!denied && waited_since + max_token_wait > now) {
        state.m_waits.insert(waited_since);
        return admission::waiting;
    }
    state.m_waits.erase(waited_since);
    ++m_counters.m_refused;
    return admission::over_limit;
}

void quota_holder::refund(const core::customer_name& customer, core::time_point now) {
    const auto found = m_customers.find(customer);
    if (found == m_customers.end() || !m_limits.contains(customer)) {
        return;
    }
    refill(found->second, now);
    if (!found->second.m_share_end.passed(now)) {
        add_tokens(found->second, 1.0);
    }
}

bool quota_holder::is_urgent(const customer_state& state, core::time_point now) {
    const bool unneeded = state.m_share.m_rate_per_s > 0.0 && present_demand(state, now) <= 0.0 &&
                          state.m_reported_demand > 0.0;
    return !state.m_waits.empty() || unneeded || state.m_confirm;
}

std::optional<quota_holder::request_kind> quota_holder::due_request(core::time_point now) {
    bool urgent = false;
    for (auto& [customer, state] : m_customers) {
        forget_old_waits(state, now);
        urgent = urgent || (is_urgent(state, now) && m_limits.contains(customer));
    }
    if (m_last_whole_sent + request_period <= now) {
        return request_kind::whole;
    }
    const bool answer_due = m_unanswered && m_last_sent + answer_timeout > now;
    if ((urgent || m_confirm) && !answer_due && m_last_sent + min_request_pause <= now) {
        return request_kind::partial;
    }
    return std::nullopt;
}

std::optional<quota_request> quota_holder::next_request(core::time_point now) {
    const auto kind = m_limits.empty() ? std::nullopt : due_request(now);
    if (!kind) {
        return std::nullopt;
    }
    quota_request request;
    request.m_incarnation = m_incarnation;
    request.m_number = request_number(++m_last_number);
    request.m_applied = request_number(m_applied_number);
    request.m_applied_term = m_applied_term;
    request.m_partial = *kind == request_kind::partial;
    sent_request sent{now, request.m_partial, {}};
    for (auto entry = m_customers.begin(); entry != m_customers.end();) {
        customer_state& state = entry->second;
        if (request.m_partial && !is_urgent(state, now)) {
            ++entry;
            continue;
        }
        refill(state, now);
        decay_demand(state, now);
        release_unused_capacity(state);
        if (state.m_sessions == 0 && state.m_waits.empty() && state.m_arrivals_per_s < negligible_demand &&
            state.m_share.m_capacity <= 0.0 && state.m_returned_tokens <= 0.0) {
            entry = m_customers.erase(entry);
            continue;
        }
        state.m_reported_demand = present_demand(state, now);
        state.m_confirm = false;
        if (m_limits.contains(entry->first)) {
            request.m_customers.push_back({entry->first, state.m_share, state.m_reported_demand,
                                           state.m_sessions, static_cast<std::uint32_t>(state.m_waits.size()),
                                           std::exchange(state.m_returned_tokens, 0.0), state.m_applied});
            if (request.m_partial) {
                sent.m_customers.insert(entry->first);
            }
        }
        ++entry;
    }
    m_last_sent = now;
    if (!request.m_partial) {
        m_last_whole_sent = now;
    }
    m_confirm = false;
    m_unanswered = true;
    m_sent[request.m_number] = std::move(sent);
    while (m_sent.size() > max_remembered_requests) {
        m_sent.erase(m_sent.begin());
    }
    return request;
}

bool quota_holder::on_grant(const quota_grant& grant, core::time_point now) {
    const auto sent = m_sent.find(grant.m_number);
    if (grant.m_incarnation != m_incarnation || sent == m_sent.end() || grant.m_term < m_applied_term ||
        grant.m_number.value() <= m_applied_number) {
        return false;
    }
    const sent_request request = sent->second;
    m_applied_number = grant.m_number.value();
    const bool new_leader = m_applied_term != grant.m_term;
    m_applied_term = grant.m_term;
    m_confirm = m_confirm || grant.m_confirm;
    m_sent.erase(m_sent.begin(), std::next(sent));
    m_unanswered = m_unanswered && grant.m_number.value() != m_last_number;
    apply_grant(grant, request, new_leader, now);
    return true;
}

void quota_holder::apply_grant(const quota_grant& grant, const sent_request& request, bool new_leader,
                               core::time_point now) {
    std::map<core::customer_name, const granted_share*> granted;
    for (const granted_share& one : grant.m_shares) {
        if (m_limits.contains(one.m_customer)) { // Not removed since the request.
            granted[one.m_customer] = &one;
            m_customers.try_emplace(one.m_customer);
        }
    }
    for (auto& [customer, state] : m_customers) {
        if (request.m_partial && !request.m_customers.contains(customer)) {
            continue;
        }
        refill(state, now);
        const auto found = granted.find(customer);
        const double tokens = found == granted.end() ? 0.0 : std::max(0.0, found->second->m_tokens);
        forget_old_waits(state, now);
        const auto reported = std::distance(state.m_waits.begin(), state.m_waits.lower_bound(request.m_at));
        if (tokens < static_cast<double>(reported)) {
            state.m_denied_request_at = request.m_at;
            state.m_denied_until = core::deadline_after(now, denial_length);
        }
        state.m_applied = grant.m_number;
        const share next = found == granted.end() ? share{} : found->second->m_share;
        state.m_confirm = grant.m_confirm && (new_leader || next.m_capacity < state.m_share.m_capacity ||
                                              next.m_rate_per_s < state.m_share.m_rate_per_s);
        if (found == granted.end()) {
            set_share(state, {});
            continue;
        }
        const granted_share& one = *found->second;
        set_share(state, one.m_share);
        state.m_limit = one.m_limit;
        state.m_share_end = core::deadline{request.m_at + share_lifetime};
        add_tokens(state, tokens);
        apply_limit(state, m_limits.at(customer));
    }
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
