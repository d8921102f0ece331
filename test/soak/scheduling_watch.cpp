// Reads the process table.
#include "soak/scheduling_watch.h"

#include <algorithm>

namespace mangoquay::soak {
namespace {

constexpr milliseconds sample_interval{100};
constexpr milliseconds described_span{4000};

} // namespace

scheduling_watch::scheduling_watch(const host_fleet& fleet) : m_fleet(fleet) {
    m_thread = std::thread([this] { run(); });
}

scheduling_watch::~scheduling_watch() {
    m_stopped = true;
    m_thread.join();
}

scheduling_watch::sample scheduling_watch::take(pid_t process) {
    sample taken{steady_clock::now()};
    const std::string folder = "/proc/" + std::to_string(process);
    std::ifstream stat(folder + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto parenthesis = text.rfind(')');
    if (parenthesis != std::string::npos && parenthesis + 2 < text.size()) {
        taken.m_state = text[parenthesis + 2];
    }
    std::ifstream schedule(folder + "/schedstat");
    std::uint64_t run_ns = 0;
    std::uint64_t wait_ns = 0;
    schedule >> run_ns >> wait_ns;
    taken.m_waited = std::chrono::duration_cast<milliseconds>(std::chrono::nanoseconds(wait_ns));
    return taken;
}

void scheduling_watch::run() {
    while (!m_stopped) {
        for (const auto& [host, process] : m_fleet.entry_processes()) {
            const sample taken = take(process);
            const std::lock_guard lock(m_mutex);
            auto& samples = m_samples[host];
            samples.push_back(taken);
            while (samples.front().m_time + described_span < taken.m_time) {
                samples.pop_front();
            }
        }
        sleep_for(sample_interval);
    }
}

std::string scheduling_watch::describe(const core::entry_host_id& host) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_samples.find(host);
    if (found == m_samples.end() || found->second.empty()) {
        return "no samples of the process";
    }
    milliseconds waited{0};
    milliseconds longest{0};
    milliseconds stopped{0};
    const sample* before = nullptr;
    for (const sample& one : found->second) {
        if (before != nullptr) {
            const milliseconds step = std::max(one.m_waited - before->m_waited, milliseconds{0});
            waited += step;
            longest = std::max(longest, step);
            const auto span = std::chrono::duration_cast<milliseconds>(one.m_time - before->m_time);
            stopped += one.m_state == 'T' ? span : milliseconds{0};
        }
        before = &one;
    }
    return "in its last 4 s the process waited " + std::to_string(waited.count()) +
           " ms for the processor (longest sample " + std::to_string(longest.count()) + " ms), was stopped " +
           std::to_string(stopped.count()) + " ms, state " + found->second.back().m_state;
}

} // namespace mangoquay::soak
