// Replays a load pattern against several entry hosts that share one primary whose replicas lag, so that all
// statements run on the primary. The input is arrival rates, service times and slots; the result is the
// number of operations served within their latency target. Time is simulated and nothing is random.
#pragma once

#include "relay/relay_core.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangoquay::test {

struct load_kind {
    std::string m_name;
    double m_arrivals_per_second = 0; // Arrivals at all hosts together.
    core::milliseconds m_service_time{};
    core::milliseconds m_latency_target{};
    std::uint32_t m_priority = 1;
    // If not 0, the operation is a transaction of two reads with this pause after each.
    core::milliseconds m_think_time{};
};

struct load_pattern {
    std::vector<load_kind> m_kinds;
    std::size_t m_hosts = 6;
    std::uint32_t m_slots = 5;
    std::uint32_t m_connections = 32;
    // The first host gets this many times the arrivals of each other host.
    std::uint32_t m_first_host_weight = 1;
    core::milliseconds m_duration{8000};
};

// Returns the number of operations that ended within their latency target, by kind.
std::map<std::string, int> replay_load(const load_pattern& pattern, const relay::scheduling_rules& rules);

} // namespace mangoquay::test
