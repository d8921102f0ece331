// Drives a slot_queue with generated load and checks its invariants against independent bookkeeping.
#pragma once

#include "admission/slot_queue.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>

namespace mangoquay::test {

struct queue_load {
    std::uint64_t m_seed = 1;
    admission::queue_policy m_policy;
    int m_steps = 400;
    int m_arrivals_per_step = 2;
    int m_long_percent = 10;
    core::milliseconds m_short_run{5};
    core::milliseconds m_long_run{300};
    core::milliseconds m_deadline{3000};
    int m_withdraw_percent = 10;     // Percentage of steps that withdraw the oldest waiting work.
    int m_heavy_caller_percent = 50; // Percentage of arrivals that come from one caller.
};

class queue_simulation {
public:
    queue_simulation(const queue_load& load, const admission::queue_rules& rules)
        : m_load(load), m_random(load.m_seed), m_queue(load.m_policy, rules) {}

    // Returns the first violated invariant, or an empty string.
    std::string run() {
        for (int step = 0; step < m_load.m_steps && m_violation.empty(); ++step) {
            m_now += core::milliseconds(1 + random_below(4));
            finish_ended();
            for (int arrival = 0; arrival < m_load.m_arrivals_per_step; ++arrival) {
                offer();
            }
            if (random_below(100) < m_load.m_withdraw_percent) {
                withdraw_oldest();
            }
            apply_actions(m_queue.advance(m_now));
        }
        return m_violation;
    }

    [[nodiscard]] int dispatched_long() const { return m_dispatched_long; }
    [[nodiscard]] int shed() const { return m_shed; }
    [[nodiscard]] core::duration total_short_wait() const { return m_total_short_wait; }
    [[nodiscard]] core::duration longest_light_wait() const { return m_longest_light_wait; }

private:
    struct simulated_work {
        admission::queued_work m_work;
        bool m_long = false;
        bool m_light_caller = false;
        core::time_point m_offered_at;
        core::time_point m_ends_at;
    };

    int random_below(int bound) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound)); }
    void check(bool holds, const char* invariant) {
        if (!holds && m_violation.empty()) {
            m_violation = invariant;
        }
    }

    void offer() {
        simulated_work next;
        next.m_long = random_below(100) < m_load.m_long_percent;
        next.m_light_caller = random_below(100) >= m_load.m_heavy_caller_percent;
        next.m_offered_at = m_now;
        next.m_work.m_number = admission::work_number{++m_last_number};
        next.m_work.m_caller =
            core::caller_id(next.m_light_caller ? "light" + std::to_string(random_below(5)) : "heavy");
        next.m_work.m_fingerprint = admission::fingerprint{next.m_long ? 1U : 2U};
        next.m_work.m_declared = next.m_long ? core::work_class::long_work : core::work_class::undeclared;
        next.m_work.m_deadline = core::deadline_after(m_now, m_load.m_deadline);
        if (m_queue.offer(next.m_work, m_now).m_accepted) {
            m_waiting.emplace(m_last_number, next);
        } else {
            ++m_shed;
        }
    }

    void apply_actions(const admission::queue_actions& actions) {
        for (const auto number : actions.m_expired) {
            check(m_waiting.erase(static_cast<std::uint64_t>(number)) == 1, "expired work was not waiting");
        }
        for (const auto number : actions.m_dispatched) {
            const auto found = m_waiting.find(static_cast<std::uint64_t>(number));
            if (found == m_waiting.end()) {
                check(false, "work was dispatched after it was refused, expired or withdrawn");
                return;
            }
            simulated_work started = found->second;
            m_waiting.erase(found);
            check(!started.m_work.m_deadline.passed(m_now), "work was dispatched past its deadline");
            count(started);
            const auto run = started.m_long ? m_load.m_long_run : m_load.m_short_run;
            started.m_ends_at = m_now + run;
            m_running.emplace(static_cast<std::uint64_t>(number), started);
        }
        check(m_running.size() <= m_load.m_policy.m_slots, "more work runs than there are slots");
        const auto long_running = static_cast<std::size_t>(
            std::ranges::count_if(m_running, [](const auto& entry) { return entry.second.m_long; }));
        const auto slots = m_load.m_policy.m_slots;
        check(long_running <= slots - std::min(m_load.m_policy.m_reserved_short_slots, slots - 1),
              "long work runs in a reserved slot");
        check(m_waiting.size() <= slots * m_load.m_policy.m_bound_per_slot, "the queue is over its bound");
    }

    void count(const simulated_work& started) {
        m_dispatched_long += started.m_long ? 1 : 0;
        m_total_short_wait += started.m_long ? core::duration{} : m_now - started.m_offered_at;
        if (started.m_light_caller) {
            m_longest_light_wait = std::max(m_longest_light_wait, m_now - started.m_offered_at);
        }
    }

    void finish_ended() {
        std::erase_if(m_running, [this](const auto& entry) {
            if (entry.second.m_ends_at > m_now) {
                return false;
            }
            m_queue.finish(admission::work_number{entry.first}, m_now, true);
            return true;
        });
    }

    void withdraw_oldest() {
        if (!m_waiting.empty()) {
            check(m_queue.withdraw(admission::work_number{m_waiting.begin()->first}),
                  "waiting work is unknown");
            m_waiting.erase(m_waiting.begin());
        }
    }

    queue_load m_load;
    std::mt19937_64 m_random;
    admission::slot_queue m_queue;
    core::time_point m_now{core::milliseconds(1000)};
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, simulated_work> m_waiting;
    std::map<std::uint64_t, simulated_work> m_running;
    std::string m_violation;
    int m_dispatched_long = 0;
    int m_shed = 0;
    core::duration m_longest_light_wait{};
    core::duration m_total_short_wait{};
};

} // namespace mangoquay::test
