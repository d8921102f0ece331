// Admission, scheduling and accounting of the slot queue.
#include "admission/slot_queue.h"

#include <algorithm>
#include <cmath>

namespace mangoquay::admission {
namespace {

constexpr std::size_t short_class = 0;
constexpr std::size_t long_class = 1;
// Long work that has waited for the shed wait divided by this takes precedence over short work and may take
// one more of the slots that the load of short work needs; after twice that time, two more.
constexpr int long_ageing_divisor = 4;
// Averaging time of the load of short work: longer than a burst of arrivals, shorter than a change of demand.
constexpr std::chrono::duration<double> short_load_window(2.0);
// Slots per unit of short load, so that the queue of short work stays short.
constexpr double short_load_headroom = 1.25;
// Divisor of the exponential moving average of the wait.
constexpr int wait_average_divisor = 16;
constexpr core::milliseconds min_retry_after{50};
constexpr core::milliseconds max_retry_after{5000};

std::uint64_t key(work_number number) {
    return static_cast<std::uint64_t>(number);
}

offer_outcome shed_outcome(core::reason why, core::duration wait) {
    offer_outcome outcome;
    outcome.m_reason = why;
    outcome.m_expected_wait = wait;
    outcome.m_retry_after =
        std::clamp(std::chrono::ceil<core::milliseconds>(wait), min_retry_after, max_retry_after);
    return outcome;
}

} // namespace

slot_queue::slot_queue(const queue_policy& policy, const queue_rules& rules)
    : m_policy(policy), m_rules(rules) {}

offer_outcome slot_queue::offer(const queued_work& work, core::time_point now) {
    if (work.m_deadline.passed(now)) {
        offer_outcome late;
        late.m_reason = core::reason::deadline_exceeded;
        return late;
    }
    const bool long_work = is_long(work);
    const core::duration wait = expected_wait(long_work, now);
    if (!long_work) {
        const std::chrono::duration<double> run = m_model.expected(work.m_fingerprint, work.m_declared);
        m_short_load = short_load(now) + run / short_load_window;
        m_short_load_at = now;
    }
    const bool over_bound = waiting() >= m_policy.m_bound_per_slot * m_policy.m_slots;
    if (m_rules.m_shed &&
        (over_bound || wait > m_policy.m_shed_wait || wait > work.m_deadline.remaining(now))) {
        return shed_outcome(core::reason::overloaded, wait);
    }
    waiting_work entry;
    entry.m_work = work;
    entry.m_caller_use = &m_usage.acquire(work.m_caller);
    entry.m_offered_at = now;
    entry.m_expected = m_model.expected(work.m_fingerprint, work.m_declared);
    m_deadlines.emplace(work.m_deadline.m_at, work.m_number);
    insert(long_work ? long_class : short_class, m_next_sequence++, std::move(entry));
    offer_outcome accepted;
    accepted.m_accepted = true;
    accepted.m_expected_wait = wait;
    return accepted;
}

queue_actions slot_queue::advance(core::time_point now) {
    queue_actions actions;
    if (m_rules.m_check_deadline) {
        expire(now, actions);
    }
    reclassify_running(now);
    while (!m_rules.m_count_slots || m_running.size() < m_policy.m_slots) {
        const auto chosen = choose(now);
        if (!chosen) {
            break;
        }
        dispatch(*chosen, now, actions);
    }
    return actions;
}

void slot_queue::finish(work_number number, core::time_point now, bool learn) {
    const auto found = m_running.find(key(number));
    if (found == m_running.end()) {
        return;
    }
    const running_work& ended = found->second;
    const core::duration run = now - ended.m_started_at;
    m_usage.charge(*ended.m_caller_use, run - ended.m_expected, now);
    caller_usage::release(*ended.m_caller_use);
    if (learn) {
        m_model.observe(ended.m_work.m_fingerprint, run);
    }
    m_running_long -= ended.m_long ? 1 : 0;
    m_running.erase(found);
}

bool slot_queue::withdraw(work_number number) {
    const auto found = m_positions.find(key(number));
    if (found == m_positions.end()) {
        return false;
    }
    const waiting_work removed = remove(queue_position{found->second});
    m_deadlines.erase({removed.m_work.m_deadline.m_at, number});
    caller_usage::release(*removed.m_caller_use);
    return true;
}

std::vector<work_number> slot_queue::withdraw_all() {
    std::vector<work_number> numbers;
    for (const auto& [deadline, number] : m_deadlines) {
        numbers.push_back(number);
    }
    for (const work_number number : numbers) {
        withdraw(number);
    }
    return numbers;
}

std::optional<core::time_point> slot_queue::next_event(core::time_point now) const {
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    core::time_point next = m_deadlines.begin()->first;
    const core::duration step = m_policy.m_shed_wait / long_ageing_divisor;
    if (!m_waiting[long_class].empty() && m_running.size() < m_policy.m_slots &&
        m_running_long < long_limit() && step > core::duration{}) {
        const auto& oldest = m_waiting[long_class].begin()->second;
        next = std::min(next, oldest.m_offered_at + step * (long_work_age(now) + 1));
    }
    for (const auto& [number, work] : m_running) {
        if (!work.m_long) {
            next = std::min(next, work.m_started_at + m_model.long_threshold());
        }
    }
    return next;
}

std::size_t slot_queue::long_limit() const {
    const std::size_t slots = m_policy.m_slots;
    const std::size_t reserved = m_rules.m_keep_reserve ? m_policy.m_reserved_short_slots : 0;
    return slots == 0 ? 0 : slots - std::min(reserved, slots - 1);
}

std::size_t slot_queue::unaged_long_limit(core::time_point now) const {
    // Without ageing long work could be kept from these slots for ever.
    const bool ages =
        m_rules.m_age_long_work && m_policy.m_shed_wait >= core::milliseconds(long_ageing_divisor);
    if (!m_rules.m_adapt_reserve || !ages || m_policy.m_slots == 0) {
        return long_limit();
    }
    const auto needed = static_cast<std::size_t>(std::ceil(short_load(now) * short_load_headroom));
    return std::min(long_limit(), m_policy.m_slots - std::min(needed, m_policy.m_slots - 1));
}

double slot_queue::short_load(core::time_point now) const {
    return m_short_load *
           std::exp(-(std::chrono::duration<double>(now - m_short_load_at) / short_load_window));
}

core::duration slot_queue::expected_wait(bool long_work, core::time_point now) const {
    const std::size_t class_index = long_work ? long_class : short_class;
    const bool may_start =
        m_running.size() < m_policy.m_slots && (!long_work || m_running_long < long_limit());
    if (may_start && m_waiting[class_index].empty()) {
        return {};
    }
    core::duration remaining = m_waiting_run_time[class_index];
    for (const auto& [number, work] : m_running) {
        if (work.m_long == long_work) {
            const core::duration left = work.m_expected - (now - work.m_started_at);
            // The remaining time of work that has exceeded its estimate is unknown; the estimate is used
            // again.
            remaining += left > core::duration{} ? left : work.m_expected;
        }
    }
    const auto slots = static_cast<std::int64_t>(std::max<std::size_t>(m_policy.m_slots, 1));
    if (long_work) {
        const auto usable = static_cast<std::int64_t>(std::max<std::size_t>(long_limit(), 1));
        return remaining / usable + m_waiting_run_time[short_class] / slots;
    }
    return remaining / std::max<std::int64_t>(slots - static_cast<std::int64_t>(m_running_long), 1);
}

bool slot_queue::is_long(const queued_work& work) const {
    return m_model.is_long(work.m_fingerprint, work.m_declared);
}

void slot_queue::expire(core::time_point now, queue_actions& actions) {
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const work_number number = m_deadlines.begin()->second;
        withdraw(number);
        actions.m_expired.push_back(number);
    }
}

void slot_queue::reclassify_running(core::time_point now) {
    for (auto& [number, work] : m_running) {
        const core::duration run = now - work.m_started_at;
        if (!work.m_long && run >= m_model.long_threshold()) {
            work.m_long = true;
            ++m_running_long;
            m_model.observe_at_least(work.m_work.m_fingerprint, run);
        }
    }
}

std::int64_t slot_queue::long_work_age(core::time_point now) const {
    const core::duration step = m_policy.m_shed_wait / long_ageing_divisor;
    if (!m_rules.m_age_long_work || m_waiting[long_class].empty() || step <= core::duration{}) {
        return 0;
    }
    return (now - m_waiting[long_class].begin()->second.m_offered_at) / step;
}

std::optional<slot_queue::queue_position> slot_queue::choose(core::time_point now) {
    const auto short_candidate = choose_in_class(short_class, now);
    const std::int64_t age = long_work_age(now);
    const std::size_t limit = std::min(long_limit(), unaged_long_limit(now) + static_cast<std::size_t>(age));
    const auto long_candidate = m_running_long < limit ? choose_in_class(long_class, now) : std::nullopt;
    const bool long_aged = age > 0;
    if (!long_candidate) {
        m_aged_long_was_last = false;
        return short_candidate ? std::optional(queue_position{short_class, *short_candidate}) : std::nullopt;
    }
    if (!short_candidate || (long_aged && !m_aged_long_was_last)) {
        m_aged_long_was_last = short_candidate.has_value();
        return queue_position{long_class, *long_candidate};
    }
    m_aged_long_was_last = false;
    return queue_position{short_class, *short_candidate};
}

std::optional<slot_queue::sequence> slot_queue::choose_in_class(std::size_t class_index,
                                                                core::time_point now) {
    // Run times learned since the offer may have moved work to the other class.
    while (!m_waiting[class_index].empty()) {
        const sequence order = choose_fairly(m_waiting[class_index], now);
        const bool long_now = is_long(m_waiting[class_index].at(order).m_work);
        if (long_now == (class_index == long_class)) {
            return order;
        }
        insert(1 - class_index, order, remove(queue_position{class_index, order}));
    }
    return std::nullopt;
}

slot_queue::sequence slot_queue::choose_fairly(const waiting_list& list, core::time_point now) const {
    const auto first = list.begin();
    // Work that has waited longer than the shed wait is served in order of arrival, so that no caller
    // starves.
    if (!m_rules.m_share_fairly || now - first->second.m_offered_at >= m_policy.m_shed_wait) {
        return first->first;
    }
    return std::ranges::min_element(list, {},
                                    [](const auto& item) { return item.second.m_caller_use->m_scaled; })
        ->first;
}

void slot_queue::dispatch(const queue_position& chosen, core::time_point now, queue_actions& actions) {
    waiting_work entry = remove(chosen);
    m_deadlines.erase({entry.m_work.m_deadline.m_at, entry.m_work.m_number});
    core::duration& average = m_average_wait.at(chosen.m_class);
    average += (now - entry.m_offered_at - average) / wait_average_divisor;
    running_work work;
    work.m_expected = m_model.expected(entry.m_work.m_fingerprint, entry.m_work.m_declared);
    work.m_long = chosen.m_class == long_class;
    work.m_started_at = now;
    work.m_caller_use = entry.m_caller_use;
    work.m_work = std::move(entry.m_work);
    m_usage.charge(*work.m_caller_use, work.m_expected, now);
    m_running_long += work.m_long ? 1 : 0;
    actions.m_dispatched.push_back(work.m_work.m_number);
    m_running.emplace(key(work.m_work.m_number), std::move(work));
}

slot_queue::waiting_work slot_queue::remove(const queue_position& where) {
    waiting_list& list = m_waiting.at(where.m_class);
    const auto found = list.find(where.m_sequence);
    waiting_work entry = std::move(found->second);
    list.erase(found);
    m_waiting_run_time.at(where.m_class) -= entry.m_expected;
    m_positions.erase(key(entry.m_work.m_number));
    return entry;
}

void slot_queue::insert(std::size_t class_index, sequence order, waiting_work entry) {
    m_waiting_run_time.at(class_index) += entry.m_expected;
    m_positions[key(entry.m_work.m_number)] = queue_position{class_index, order};
    m_waiting.at(class_index).emplace(order, std::move(entry));
}

} // namespace mangoquay::admission
