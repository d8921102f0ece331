// Division of limits into shares, and the accounting of what hosts may hold.
#include "quotas/quota_granter.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace mangoquay::quotas {
namespace {

// The rest stays unassigned for hosts that need something at once. Of the rate, 1.2 times an average demand
// of 0.625 of the limit is assigned, so that a zone that is cut off can be served. Of the capacity, more
// stays for the half second in which a demand moves to other hosts: with 0.75, 3 % of the operations were
// refused when all of a demand of 0.8 of the limit moved every 5.5 s; with 0.6, 0.3 %.
constexpr double assigned_rate_fraction = 0.75;
constexpr double assigned_capacity_fraction = 0.6;
// Weight of a session without operations, so that its first operation finds a share.
constexpr double weight_of_session = 0.05;
// A share changes only by more than this fraction, so that it does not follow every fluctuation of demand.
constexpr double min_change = 0.1;
// A host with less demand gets tokens one by one: a refill that it rarely uses would be missing at the
// others. With 0.4, a tenth of the operations of 84 hosts with a demand of 0.3/s each was refused.
constexpr double steady_demand = 0.8;
// Limits what the first hosts with demand hold before the others report theirs.
constexpr double max_rate_to_demand = 2.0;
// While the pool is not short, a host whose operations wait gets tokens for this time of its demand as well.
constexpr double waiting_batch_s = 0.5;
// While more than this fraction of the capacity is free, hosts with little demand keep a token for the time
// that they cannot reach the leader.
constexpr double min_free_capacity = 0.5;
constexpr core::milliseconds proposal_pause{500};
constexpr core::milliseconds holder_idle_limit{60'000};
// Keeps sums of reported amounts finite.
constexpr double max_amount = 1e12;

double seconds_between(core::time_point from, core::time_point to) {
    return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

share smaller(const share& left, const share& right) {
    return {std::min(left.m_rate_per_s, right.m_rate_per_s), std::min(left.m_capacity, right.m_capacity)};
}

share larger(const share& left, const share& right) {
    return {std::max(left.m_rate_per_s, right.m_rate_per_s), std::max(left.m_capacity, right.m_capacity)};
}

// NaN becomes 0.
double bounded(double amount) {
    return amount > 0.0 ? std::min(amount, max_amount) : 0.0;
}

customer_demand bounded(customer_demand demand) {
    demand.m_held = {bounded(demand.m_held.m_rate_per_s), bounded(demand.m_held.m_capacity)};
    demand.m_arrivals_per_s = bounded(demand.m_arrivals_per_s);
    demand.m_returned_tokens = bounded(demand.m_returned_tokens);
    return demand;
}

double with_hysteresis(double held, double target) {
    return std::abs(target - held) <= min_change * held ? held : target;
}

} // namespace

double total_capacity(const operation_limit& limit, const window_tolerance& tolerance) {
    return limit.m_burst * (1.0 + tolerance.m_overage) + tolerance.m_slack / 2.0;
}

void quota_granter::begin_term(granter_term term, core::time_point now) {
    end_term();
    m_term = term;
    m_leading_since = now;
    m_pools_start_full = m_holders.empty();
}

void quota_granter::end_term() {
    m_leading_since.reset();
    m_hosts.clear();
    m_customers.clear();
    m_proposed.clear();
    m_leaving.clear();
}

void quota_granter::set_holders(std::set<core::entry_host_id> holders) {
    const bool unexpected = std::ranges::any_of(holders, [this](const core::entry_host_id& host) {
        return !m_holders.contains(host) && !m_proposed.contains(host);
    });
    if (m_leading_since && unexpected) {
        m_pools_start_full = false;
        for (auto& [customer, record] : m_customers) {
            record.m_pool_tokens = 0.0;
            record.m_free = {};
        }
    }
    m_holders = std::move(holders);
    std::erase_if(m_leaving, [this](const core::entry_host_id& host) { return !m_holders.contains(host); });
}

void quota_granter::set_limits(limits_by_customer limits, core::time_point now) {
    for (auto& [customer, record] : m_customers) {
        refill_pool(record, now);
        const auto limit = limits.find(customer);
        if (limit == limits.end()) {
            record.m_removed_at = record.m_removed_at.value_or(now);
            continue;
        }
        record.m_removed_at.reset();
        record.m_limit = limit->second;
        refill_pool(record, now); // The pool shrinks with the limit.
    }
    m_limits = std::move(limits);
}

bool quota_granter::may_assign(core::time_point now) const {
    if (!m_leading_since) {
        return false;
    }
    return *m_leading_since + counted_lifetime <= now ||
           std::ranges::all_of(m_holders, [this](const core::entry_host_id& host) {
               const auto found = m_hosts.find(host);
               return m_proposed.contains(host) || (found != m_hosts.end() && found->second.m_confirmed);
           });
}

share quota_granter::counted(const customer_record& customer, const holding& held, core::time_point now) {
    share largest;
    for (const outstanding_share& one : held.m_outstanding) {
        if (!one.m_counted_until.passed(now)) {
            largest =
                larger(largest, smaller(one.m_reported, scaled(one.m_share, one.m_limit, customer.m_limit)));
        }
    }
    return largest;
}

share quota_granter::sum_of_counted(const customer_record& customer, core::time_point now) {
    share sum;
    for (const auto& [host, holding] : customer.m_holdings) {
        const share one = counted(customer, holding, now);
        sum.m_rate_per_s += one.m_rate_per_s;
        sum.m_capacity += one.m_capacity;
    }
    return sum;
}

share quota_granter::assigned(const core::customer_name& customer, core::time_point now) const {
    const auto found = m_customers.find(customer);
    return found == m_customers.end() ? share{} : sum_of_counted(found->second, now);
}

// Until now the pool grew by what was free at its last refill: a share that has ended since then was in use
// meanwhile.
void quota_granter::refill_pool(customer_record& customer, core::time_point now) const {
    const double tokens =
        customer.m_pool_tokens + customer.m_free.m_rate_per_s * seconds_between(customer.m_refilled_at, now);
    customer.m_pool_tokens = std::min(tokens, customer.m_free.m_capacity);
    const share given = sum_of_counted(customer, now);
    const double free_rate = may_assign(now) ? customer.m_limit.m_rate_per_s - given.m_rate_per_s : 0.0;
    customer.m_free = {std::max(0.0, free_rate),
                       std::max(0.0, total_capacity(customer.m_limit, m_tolerance) - given.m_capacity)};
    customer.m_pool_tokens = std::min(customer.m_pool_tokens, customer.m_free.m_capacity);
    customer.m_refilled_at = now;
}

quota_granter::host_record* quota_granter::accept(const core::entry_host_id& host,
                                                  const quota_request& request, core::time_point now) {
    host_record& record = m_hosts[host];
    if (record.m_incarnation != request.m_incarnation) {
        // A lower incarnation is a late message of a process that has been replaced. If the higher one has
        // not reported for so long that its shares have ended, the host's clock was set back at a restart
        // instead.
        if (request.m_incarnation < record.m_incarnation && record.m_last_report + counted_lifetime > now) {
            return nullptr;
        }
        record = {request.m_incarnation, {}, false, now};
        for (auto& [customer, one] : m_customers) {
            one.m_holdings.erase(host);
        }
    }
    if (request.m_number <= record.m_last_number) {
        return nullptr;
    }
    record.m_last_number = request.m_number;
    record.m_last_report = now;
    record.m_confirmed = record.m_confirmed || request.m_applied_term == m_term;
    return &record;
}

void quota_granter::record_report(const core::entry_host_id& host, const host_record& record,
                                  const quota_request& request, core::time_point now) {
    std::map<core::customer_name, const customer_demand*> reported;
    for (const customer_demand& demand : request.m_customers) {
        reported[demand.m_customer] = &demand;
        if (m_limits.contains(demand.m_customer)) {
            find_customer(demand.m_customer, now).m_holdings.try_emplace(host);
        }
    }
    for (auto& [customer, one] : m_customers) {
        const auto found = one.m_holdings.find(host);
        if (found == one.m_holdings.end()) {
            continue;
        }
        const auto report = reported.find(customer);
        if (report == reported.end() && request.m_partial) {
            continue;
        }
        const share held = report == reported.end() ? share{} : bounded(*report->second).m_held;
        const request_number last_applied = report == reported.end()
                                                ? request.m_applied
                                                : report->second->m_applied.value_or(request.m_applied);
        std::vector<outstanding_share>& outstanding = found->second.m_outstanding;
        // The host ignores answers to earlier requests than the one that it applied last.
        std::erase_if(outstanding, [last_applied](const outstanding_share& share) {
            return share.m_number < last_applied;
        });
        const auto applied = std::ranges::find(outstanding, last_applied, &outstanding_share::m_number);
        if (applied != outstanding.end()) {
            applied->m_reported = smaller(applied->m_reported, held);
        } else if (!record.m_confirmed && held.m_capacity > 0.0) {
            outstanding.push_back(
                {last_applied, held, {}, held, core::deadline_after(now, counted_lifetime)});
        }
        if (report == reported.end()) {
            found->second.m_weight = 0.0; // No demand at this host any more.
        }
    }
}

std::optional<quota_grant> quota_granter::on_request(const core::entry_host_id& host,
                                                     const quota_request& request, core::time_point now) {
    if (!m_leading_since || m_leaving.contains(host)) {
        return std::nullopt;
    }
    if (!m_holders.contains(host)) {
        propose(host, true, now);
        return std::nullopt;
    }
    const host_record* record = accept(host, request, now);
    if (record == nullptr) {
        return std::nullopt;
    }
    record_report(host, *record, request, now);
    quota_grant grant;
    grant.m_incarnation = request.m_incarnation;
    grant.m_number = request.m_number;
    grant.m_term = m_term;
    grant.m_confirm = !record->m_confirmed;
    for (const customer_demand& demand : request.m_customers) {
        if (!m_limits.contains(demand.m_customer)) {
            continue;
        }
        const granted_share share = grant_share(host, request, bounded(demand), now);
        const customer_record& customer = m_customers.at(demand.m_customer);
        const auto found = customer.m_holdings.find(host);
        const double counted_capacity = counted(customer, found->second, now).m_capacity;
        // What the host gives up can be assigned to others when it has applied this answer.
        grant.m_confirm =
            grant.m_confirm || (share.m_share.m_capacity < counted_capacity && is_scarce(customer, now));
        if (share.m_share.m_capacity > 0.0) {
            grant.m_shares.push_back(share);
        }
    }
    return grant;
}

granted_share quota_granter::grant_share(const core::entry_host_id& host, const quota_request& request,
                                         const customer_demand& demand, core::time_point now) {
    customer_record& customer = find_customer(demand.m_customer, now);
    holding& held = customer.m_holdings[host];
    held.m_weight = demand.m_arrivals_per_s + weight_of_session * demand.m_sessions;
    const share mine = counted(customer, held, now);
    const share present = smaller(demand.m_held, mine);
    refill_pool(customer, now);
    customer.m_pool_tokens =
        std::min(customer.m_pool_tokens + demand.m_returned_tokens, customer.m_free.m_capacity);
    share next = present;
    if (may_assign(now)) {
        const share all = sum_of_counted(customer, now);
        const double free_rate = customer.m_limit.m_rate_per_s - all.m_rate_per_s;
        const double free_capacity = total_capacity(customer.m_limit, m_tolerance) - all.m_capacity;
        next = target_share(customer, held, present, free_capacity, demand);
        next.m_rate_per_s = std::min(next.m_rate_per_s, std::max(0.0, free_rate + mine.m_rate_per_s));
        next.m_capacity = std::min(next.m_capacity, std::max(0.0, free_capacity + mine.m_capacity));
        if (next.m_capacity < 1.0) {
            next = {}; // A bucket that holds no whole token admits nothing.
        }
    }
    granted_share granted{demand.m_customer, next, 0.0, customer.m_limit};
    if (next.m_capacity > 0.0) {
        held.m_outstanding.push_back(
            {request.m_number, next, customer.m_limit, next, core::deadline_after(now, counted_lifetime)});
        granted.m_tokens = std::min(tokens_wanted(customer, present, demand), next.m_capacity);
        customer.m_pool_tokens -= granted.m_tokens;
    }
    refill_pool(customer, now);
    return granted;
}

// New capacity starts empty. Tokens beyond the need of a host would be missing at the others.
double quota_granter::tokens_wanted(const customer_record& customer, const share& present,
                                    const customer_demand& demand) const {
    const double capacity = total_capacity(customer.m_limit, m_tolerance);
    const bool plenty = customer.m_pool_tokens > min_free_capacity * capacity;
    double wanted = 0.0;
    if (demand.m_waiting > 0) {
        wanted = demand.m_waiting + (plenty ? waiting_batch_s * demand.m_arrivals_per_s : 0.0);
    } else if (plenty && present.m_capacity <= 0.0) {
        wanted = 1.0;
    }
    return std::floor(std::min(wanted, customer.m_pool_tokens)); // A part of a token admits nothing.
}

share quota_granter::target_share(const customer_record& customer, const holding& held, const share& present,
                                  double free_capacity, const customer_demand& demand) const {
    const double capacity = total_capacity(customer.m_limit, m_tolerance);
    const double wanted = tokens_wanted(customer, present, demand);
    if (demand.m_arrivals_per_s < steady_demand) {
        const bool keeps = free_capacity > min_free_capacity * capacity;
        return {0.0, std::max(wanted, keeps ? present.m_capacity : 0.0)};
    }
    double all_weights = 0.0;
    for (const auto& [host, one] : customer.m_holdings) {
        all_weights += one.m_weight;
    }
    const double part = all_weights > 0.0 ? held.m_weight / all_weights : 0.0;
    const double rate = part * assigned_rate_fraction * customer.m_limit.m_rate_per_s;
    const double part_of_capacity = part * assigned_capacity_fraction * capacity;
    const double largest = max_rate_to_demand * demand.m_arrivals_per_s;
    return {with_hysteresis(present.m_rate_per_s, std::min(rate, largest)),
            std::max(1.0 + wanted,
                     with_hysteresis(present.m_capacity, std::min(part_of_capacity, largest + 1.0)))};
}

// Whether a host that needs something may not get it before others have confirmed what they gave up.
bool quota_granter::is_scarce(const customer_record& customer, core::time_point now) const {
    const share all = sum_of_counted(customer, now);
    const double unassigned = 1.0 - assigned_rate_fraction;
    const double capacity = total_capacity(customer.m_limit, m_tolerance);
    return capacity - all.m_capacity < min_free_capacity * capacity ||
           customer.m_limit.m_rate_per_s - all.m_rate_per_s < unassigned * customer.m_limit.m_rate_per_s;
}

quota_granter::customer_record& quota_granter::find_customer(const core::customer_name& customer,
                                                             core::time_point now) {
    const auto [entry, added] = m_customers.try_emplace(customer);
    customer_record& record = entry->second;
    if (added) {
        record.m_limit = m_limits.at(customer);
        record.m_refilled_at = now;
        // No host named the customer in this term, so its last operations were admitted at most
        // counted_lifetime after the term began.
        const bool unused = *m_leading_since + counted_lifetime + m_tolerance.m_window <= now;
        record.m_free.m_capacity = total_capacity(record.m_limit, m_tolerance);
        record.m_pool_tokens = m_pools_start_full || unused ? record.m_free.m_capacity : 0.0;
    }
    return record;
}

void quota_granter::propose(const core::entry_host_id& host, bool holds, core::time_point now) {
    core::deadline& next = m_next_proposals[host];
    if (next.passed(now)) {
        next = core::deadline_after(now, proposal_pause);
        (holds ? m_proposed : m_leaving).insert(host);
        m_ports.propose_holder(host, holds);
    }
}

void quota_granter::tick(core::time_point now) {
    if (!m_leading_since) {
        return;
    }
    forget_shares(now);
    for (const core::entry_host_id& host : m_holders) {
        const auto found = m_hosts.find(host);
        const core::time_point last = found == m_hosts.end() ? *m_leading_since : found->second.m_last_report;
        if (last + holder_idle_limit <= now) {
            propose(host, false, now);
        }
    }
    std::erase_if(m_next_proposals, [now](const auto& one) { return one.second.passed(now); });
    std::erase_if(m_hosts, [this, now](const auto& one) {
        return !m_holders.contains(one.first) && one.second.m_last_report + holder_idle_limit <= now;
    });
    std::erase_if(m_proposed, [this](const core::entry_host_id& host) {
        return !m_holders.contains(host) && !m_next_proposals.contains(host);
    });
}

// Forgets shares that have ended, hosts without shares and demand, and customers that were removed a minute
// ago.
void quota_granter::forget_shares(core::time_point now) {
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
    std::erase_if(m_customers, [now](const auto& one) {
        const std::optional<core::time_point>& removed_at = one.second.m_removed_at;
        return removed_at && *removed_at + holder_idle_limit <= now && one.second.m_holdings.empty();
    });
}

} // namespace mangoquay::quotas
