// Measures the slot queue: decisions (offer, dispatch, finish) per second at several queue lengths, and the
// latency of short work beside long work, compared with two baselines on the same load: first in, first out,
// and a queue without reserved slots.
#include "measurement.h"

#include "admission/slot_queue.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <vector>

using namespace mangoquay;
using namespace std::chrono_literals;

namespace {

constexpr int decision_rounds = 200000;

admission::queued_work make_work(std::uint64_t number, bool long_work, core::time_point now) {
    admission::queued_work item;
    item.m_number = admission::work_number{number};
    item.m_caller = core::caller_id("caller" + std::to_string(number % 50));
    item.m_fingerprint = admission::fingerprint{long_work ? 1U : 2U};
    item.m_deadline = core::deadline_after(now, 60s);
    return item;
}

// Keeps the queue at `length` entries and measures complete cycles of offer, advance and finish.
void measure_decisions(std::size_t length) {
    admission::queue_policy policy;
    policy.m_slots = 5;
    policy.m_bound_per_slot = length;
    policy.m_shed_wait = 1h;
    admission::slot_queue queue(policy);
    core::time_point now{1s};
    std::uint64_t number = 0;
    std::deque<admission::work_number> running;
    const auto step = [&] {
        queue.offer(make_work(++number, false, now), now);
        for (const auto started : queue.advance(now).m_dispatched) {
            running.push_back(started);
        }
    };
    while (queue.waiting() < length) {
        step();
    }
    const auto start = core::now();
    for (int round = 0; round < decision_rounds; ++round) {
        now += 1ms;
        queue.finish(running.front(), now, true);
        running.pop_front();
        step();
    }
    const std::chrono::duration<double> elapsed = core::now() - start;
    std::printf("slot_queue decisions: queue_length=%zu cycles_per_second=%.0f ns_per_cycle=%.0f\n", length,
                decision_rounds / elapsed.count(), elapsed.count() * 1e9 / decision_rounds);
}

struct arrival {
    core::time_point m_at;
    bool m_long = false;
};

// Load for 5 slots: short work of 5 ms, which needs 2 slots on average; a random one of `long_every` requests
// runs for 400 ms. No request is long if `long_every` is 0.
std::vector<arrival> make_load(int long_every) {
    std::mt19937_64 random(20261204);
    std::exponential_distribution<double> gap(400.0);
    std::vector<arrival> load;
    load.reserve(60000);
    double at = 1;
    for (int number = 1; number <= 60000; ++number) {
        at += gap(random);
        load.push_back(
            {core::time_point(std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(at))),
             long_every > 0 && random() % static_cast<std::uint64_t>(long_every) == 0});
    }
    return load;
}

core::duration run_time(bool long_work) {
    return long_work ? core::milliseconds(400) : core::milliseconds(5);
}

struct queue_result {
    std::vector<core::duration> m_short; // Time from arrival to the end of each short request.
    std::size_t m_long_count = 0;
};

double percentile_99_ms(std::vector<core::duration> values) {
    const auto at = values.begin() + static_cast<long>(values.size() * 99 / 100);
    std::nth_element(values.begin(), at, values.end());
    return std::chrono::duration<double, std::milli>(*at).count();
}

queue_result run_queue(const std::vector<arrival>& load, std::size_t reserved, bool adapt) {
    admission::queue_rules rules;
    rules.m_adapt_reserve = adapt;
    admission::slot_queue queue({5, reserved, 100000, 2s}, rules);

    queue_result result;
    std::multimap<core::time_point, admission::work_number> ends;
    const auto advance = [&](core::time_point now) {
        for (const auto started : queue.advance(now).m_dispatched) {
            const arrival& item = load[static_cast<std::uint64_t>(started) - 1];
            ends.emplace(now + run_time(item.m_long), started);
            if (item.m_long) {
                ++result.m_long_count;
            } else {
                result.m_short.push_back(now - item.m_at + run_time(false));
            }
        }
    };
    std::size_t next = 0;
    while (next < load.size() || !ends.empty()) {
        if (ends.empty() || (next < load.size() && load[next].m_at < ends.begin()->first)) {
            const arrival& item = load[next++];
            queue.offer(make_work(next, item.m_long, item.m_at), item.m_at);
            advance(item.m_at);
        } else {
            const auto [at, number] = *ends.begin();
            ends.erase(ends.begin());
            queue.finish(number, at, true);
            advance(at);
        }
    }
    return result;
}

queue_result run_first_in_first_out(const std::vector<arrival>& load) {
    queue_result result;
    std::array<core::time_point, 5> free{};
    for (const arrival& item : load) {
        const auto slot = std::ranges::min_element(free);
        const core::time_point start = std::max(*slot, item.m_at);
        *slot = start + run_time(item.m_long);
        if (item.m_long) {
            ++result.m_long_count;
        } else {
            result.m_short.push_back(start - item.m_at + run_time(false));
        }
    }
    return result;
}

void measure_head_of_line(int long_every) {
    const auto mixed = make_load(long_every);
    const double alone = percentile_99_ms(run_queue(make_load(0), 1, true).m_short);
    const auto print = [alone](const char* name, const queue_result& result) {
        const double latency = percentile_99_ms(result.m_short);
        std::printf("head_of_line: queue=%s short_p99_ms=%.2f ratio_to_short_alone=%.2f long_done=%zu\n",
                    name, latency, latency / alone, result.m_long_count);
    };
    std::printf("head_of_line: one long request in %d, short alone p99_ms=%.2f\n", long_every, alone);
    print("first_in_first_out", run_first_in_first_out(mixed));
    print("no_reserved_slot", run_queue(mixed, 0, false));
    for (const std::size_t reserved : {1, 2, 3}) {
        print(("reserved_" + std::to_string(reserved)).c_str(), run_queue(mixed, reserved, false));
    }
    print("reserved_1_and_by_load", run_queue(mixed, 1, true));
}

const bool registered = mangoquay::performance::add_measurement("slot_queue", [](std::ostream&) {
    for (const std::size_t length : {1, 10, 100, 200}) {
        measure_decisions(length);
    }
    measure_head_of_line(100);
    measure_head_of_line(200);
});

} // namespace
