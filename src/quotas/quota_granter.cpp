// Division of limits into shares, and the accounting of what hosts may hold.
#include "quotas/quota_granter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace mangoquay::quotas {
namespace {

// The rest stays unassigned for hosts that need something at once.
constexpr double assigned_fraction = 0.75;
// Weight of a session without operations, so that its first operation finds a share.
constexpr double weight_of_session = 0.05;
// A share changes only by more than this fraction, so that it does not follow every fluctuation of demand.
constexpr double min_change = 0.1;
// A host with less demand gets tokens one by one: a refill that it rarely uses would be missing at the
// others.
constexpr double steady_demand = 0.8;
// Limits what the first hosts with demand hold before the others report theirs.
constexpr double max_rate_to_demand = 2.0;
// A host whose operations wait gets tokens of the pool for this time of its demand.
constexpr double waiting_batch_s = 0.5;
// While more than this fraction of the capacity is free, hosts with little demand keep a token for the time
// that they cannot reach the leader.
constexpr double min_free_capacity = 0.5;
constexpr core::milliseconds proposal_pause{500};
constexpr core::milliseconds holder_idle_limit{60'000};

double seconds_between(core::time_point from, core::time_point to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

share smaller(const share& left, const share& right) {
    return {std::min(left.m_rate_per_s, right.m_rate_per_s), std::min(left.m_capacity, right.m_capacity)};
}

share larger(const share& left, const share& right) {
    return {std::max(left.m_rate_per_s, right.m_rate_per_s), std::max(left.m_capacity, right.m_capacity)};
}

double tokens_needed(const customer_demand& demand) {
    return 1.0 + waiting_batch_s * demand.m_arrivals_per_s;
}

double with_hysteresis(double held, double target) {
    return std::abs(target - held) <= min_change * held ? held : target;
}

} // namespace

double total_capacity(const operation_limit& limit, const window_tolerance& tolerance) {
    return limit.m_burst * (1.0 + tolerance.m_overage) + tolerance.m_slack / 2.0;
}

void quota_granter::begin_term(core::time_point now) {
    m_leading_since = now;
    m_hosts.clear();
    m_customers.clear();
    // Without holders nothing was granted before, so the whole capacity is unused.
    m_pools_start_full = m_holders.empty();
}

void quota_granter::end_term() {
    m_leading_since.reset();
    m_hosts.clear();
    m_customers.clear();
}

void quota_granter::set_holders(std::set<core::entry_host_id> holders) {
    m_holders = std::move(holders);
}

// Hosts scale their shares when they apply a document with a lower limit, and so does this account.
void quota_granter::set_limits(limits_by_customer limits, core::time_point now) {
    for (auto& [customer, record] : m_customers) {
        const auto before = m_limits.find(customer);
        const auto after = limits.find(customer);
        if (before == m_limits.end() || after == limits.end()) {
            continue;
        }
        refill_pool(customer, record, now);
        const auto ratio = [](double now_limit, double old_limit) {
            return now_limit < old_limit ? now_limit / old_limit : 1.0;
        };
        const double rate_ratio = ratio(after->second.m_rate_per_s, before->second.m_rate_per_s);
        const double capacity_ratio = ratio(after->second.m_burst + after->second.m_rate_per_s,
                                            before->second.m_burst + before->second.m_rate_per_s);
        for (auto& [host, holding] : record.m_holdings) {
            for (outstanding_share& one : holding.m_outstanding) {
                one.m_share.m_rate_per_s *= rate_ratio;
                one.m_share.m_capacity *= capacity_ratio;
            }
        }
    }
    std::erase_if(m_customers, [&limits](const auto& one) { return !limits.contains(one.first); });
    m_limits = std::move(limits);
}

bool quota_granter::may_assign(core::time_point now) const {
    if (!m_leading_since) {
        return false;
    }
    return *m_leading_since + counted_lifetime <= now ||
           std::ranges::all_of(m_holders, [this](const core::entry_host_id& host) {
               const auto found = m_hosts.find(host);
               return found != m_hosts.end() && found->second.m_confirmed;
           });
}

share quota_granter::counted(const holding& held, core::time_point now) {
    share largest;
    for (const outstanding_share& one : held.m_outstanding) {
        if (!one.m_counted_until.passed(now)) {
            largest = larger(largest, one.m_share);
        }
    }
    return largest;
}

share quota_granter::assigned(const core::customer_name& customer, core::time_point now) const {
    share sum;
    const auto found = m_customers.find(customer);
    if (found == m_customers.end()) {
        return sum;
    }
    for (const auto& [host, holding] : found->second.m_holdings) {
        const share one = counted(holding, now);
        sum.m_rate_per_s += one.m_rate_per_s;
        sum.m_capacity += one.m_capacity;
    }
    return sum;
}

void quota_granter::refill_pool(const core::customer_name& customer, customer_record& record,
                                core::time_point now) {
    const operation_limit& limit = m_limits.at(customer);
    const share given = assigned(customer, now);
    const double capacity = std::max(0.0, total_capacity(limit, m_tolerance) - given.m_capacity);
    const double rate = std::max(0.0, limit.m_rate_per_s - given.m_rate_per_s);
    if (may_assign(now)) {
        record.m_pool_tokens += rate * seconds_between(record.m_refilled_at, now);
    }
    record.m_pool_tokens = std::min(record.m_pool_tokens, capacity);
    record.m_refilled_at = now;
}

quota_granter::host_record* quota_granter::accept(const core::entry_host_id& host,
                                                  const quota_request& request, core::time_point now) {
    host_record& record = m_hosts[host];
    if (record.m_incarnation != request.m_incarnation) {
        if (std::ranges::find(record.m_former, request.m_incarnation) != record.m_former.end()) {
            return nullptr; // A late message of a process that has been replaced.
        }
        std::vector<core::incarnation> former = std::move(record.m_former);
        former.push_back(record.m_incarnation);
        record = {};
        record.m_former = std::move(former);
        record.m_incarnation = request.m_incarnation;
        for (auto& [customer, one] : m_customers) {
            one.m_holdings.erase(host);
        }
    }
    if (request.m_number <= record.m_last_number) {
        return nullptr;
    }
    record.m_last_number = request.m_number;
    record.m_last_report = now;
    if (record.m_first_answered.value() > 0 && request.m_applied >= record.m_first_answered) {
        record.m_confirmed = true;
    }
    return &record;
}

// Shares that the host no longer holds, because it applied a later answer, are not counted any more.
void quota_granter::record_confirmation(const core::entry_host_id& host, request_number applied) {
    for (auto& [customer, record] : m_customers) {
        const auto found = record.m_holdings.find(host);
        if (found != record.m_holdings.end()) {
            std::erase_if(found->second.m_outstanding,
                          [applied](const outstanding_share& one) { return one.m_number < applied; });
        }
    }
}

std::optional<quota_grant> quota_granter::on_request(const core::entry_host_id& host,
                                                     const quota_request& request, core::time_point now) {
    if (!m_leading_since) {
        return std::nullopt;
    }
    if (!m_holders.contains(host)) {
        propose(host, true, now);
        return std::nullopt;
    }
    host_record* record = accept(host, request, now);
    if (record == nullptr) {
        return std::nullopt;
    }
    record_confirmation(host, request.m_applied);
    quota_grant grant;
    grant.m_incarnation = request.m_incarnation;
    grant.m_number = request.m_number;
    grant.m_confirm = !record->m_confirmed;
    for (const customer_demand& demand : request.m_customers) {
        if (m_limits.contains(demand.m_customer)) {
            const granted_share share = grant_share(host, *record, request, demand, now);
            if (share.m_share.m_capacity > 0.0) {
                grant.m_shares.push_back(share);
            }
        }
    }
    forget_unreported(host, request);
    if (record->m_first_answered.value() == 0) {
        record->m_first_answered = request.m_number;
    }
    return grant;
}

granted_share quota_granter::grant_share(const core::entry_host_id& host, const host_record& record,
                                         const quota_request& request, const customer_demand& demand,
                                         core::time_point now) {
    const operation_limit& limit = m_limits.at(demand.m_customer);
    customer_record& customer = find_customer(demand.m_customer, now);
    holding& held = customer.m_holdings[host];
    held.m_weight = demand.m_arrivals_per_s + weight_of_session * demand.m_sessions;
    // Before this leader's first answer is confirmed, the host holds what an earlier leader granted.
    if (!record.m_confirmed && held.m_outstanding.empty() && demand.m_held.m_capacity > 0.0) {
        held.m_outstanding.push_back(
            {request.m_applied, demand.m_held, core::deadline_after(now, counted_lifetime)});
    }
    const share present = smaller(demand.m_held, counted(held, now));
    customer.m_pool_tokens += demand.m_returned_tokens;
    refill_pool(demand.m_customer, customer, now);
    share next = present;
    if (may_assign(now)) {
        const share all = assigned(demand.m_customer, now);
        const share mine = counted(held, now);
        const share available{
            std::max(0.0, limit.m_rate_per_s - all.m_rate_per_s + mine.m_rate_per_s),
            std::max(0.0, total_capacity(limit, m_tolerance) - all.m_capacity + mine.m_capacity)};
        next = target_share(customer, held, limit, present, available.m_capacity - mine.m_capacity, demand);
        next.m_rate_per_s = std::min(next.m_rate_per_s, available.m_rate_per_s);
        next.m_capacity = std::min(next.m_capacity, available.m_capacity);
        if (next.m_capacity < 1.0) {
            next = {}; // A bucket that holds no whole token admits nothing.
        }
    }
    granted_share granted{demand.m_customer, next, 0.0, limit};
    if (next.m_capacity > 0.0) {
        // New capacity starts empty. Tokens beyond the need of a host would be missing at the others.
        const bool plenty = customer.m_pool_tokens > min_free_capacity * total_capacity(limit, m_tolerance);
        const double wanted = demand.m_waiting                      ? tokens_needed(demand)
                              : plenty && present.m_capacity <= 0.0 ? 1.0
                                                                    : 0.0;
        granted.m_tokens = std::min({wanted, next.m_capacity, customer.m_pool_tokens});
        customer.m_pool_tokens -= granted.m_tokens;
        held.m_outstanding.push_back({request.m_number, next, core::deadline_after(now, counted_lifetime)});
    }
    refill_pool(demand.m_customer, customer, now);
    return granted;
}

share quota_granter::target_share(const customer_record& customer, const holding& held,
                                  const operation_limit& limit, const share& present, double free_capacity,
                                  const customer_demand& demand) const {
    double all_weights = 0.0;
    for (const auto& [host, one] : customer.m_holdings) {
        all_weights += one.m_weight;
    }
    const double capacity = total_capacity(limit, m_tolerance);
    if (demand.m_arrivals_per_s < steady_demand) {
        const bool plenty = free_capacity > min_free_capacity * capacity;
        const double needed = demand.m_waiting ? tokens_needed(demand) : 0.0;
        return {0.0, std::max({needed, plenty ? 1.0 : 0.0, plenty ? present.m_capacity : 0.0})};
    }
    const double part = all_weights > 0.0 ? assigned_fraction * held.m_weight / all_weights : 0.0;
    const double largest = max_rate_to_demand * demand.m_arrivals_per_s;
    return {with_hysteresis(present.m_rate_per_s, std::min(part * limit.m_rate_per_s, largest)),
            std::max(1.0, with_hysteresis(present.m_capacity, std::min(part * capacity, largest + 1.0)))};
}

quota_granter::customer_record& quota_granter::find_customer(const core::customer_name& customer,
                                                             core::time_point now) {
    const auto [entry, added] = m_customers.try_emplace(customer);
    if (added) {
        entry->second.m_refilled_at = now;
        entry->second.m_pool_tokens =
            m_pools_start_full ? total_capacity(m_limits.at(customer), m_tolerance) : 0.0;
    }
    return entry->second;
}

// A customer that the request does not name has no demand at this host any more.
void quota_granter::forget_unreported(const core::entry_host_id& host, const quota_request& request) {
    std::set<core::customer_name> named;
    for (const customer_demand& demand : request.m_customers) {
        named.insert(demand.m_customer);
    }
    for (auto& [customer, record] : m_customers) {
        const auto found = record.m_holdings.find(host);
        if (found != record.m_holdings.end() && !named.contains(customer)) {
            found->second.m_weight = 0.0;
        }
    }
}

void quota_granter::propose(const core::entry_host_id& host, bool holds, core::time_point now) {
    core::deadline& next = m_next_proposals[host];
    if (next.passed(now)) {
        next = core::deadline_after(now, proposal_pause);
        m_ports.propose_holder(host, holds);
    }
}

void quota_granter::tick(core::time_point now) {
    if (!m_leading_since) {
        return;
    }
    for (auto& [customer, record] : m_customers) {
        for (auto& [host, holding] : record.m_holdings) {
            std::erase_if(holding.m_outstanding,
                          [now](const outstanding_share& one) { return one.m_counted_until.passed(now); });
            const auto reported = m_hosts.find(host);
            if (reported == m_hosts.end() || reported->second.m_last_report + counted_lifetime <= now) {
                holding.m_weight = 0.0;
            }
        }
        std::erase_if(record.m_holdings, [](const auto& one) {
            return one.second.m_outstanding.empty() && one.second.m_weight <= 0.0;
        });
    }
    for (const core::entry_host_id& host : m_holders) {
        const auto found = m_hosts.find(host);
        const core::time_point last = found == m_hosts.end() ? *m_leading_since : found->second.m_last_report;
        if (last + holder_idle_limit <= now) {
            propose(host, false, now);
        }
    }
    std::erase_if(m_next_proposals, [now](const auto& one) { return one.second.passed(now); });
}

} // namespace mangoquay::quotas
