// Collects and prints figures.
#include "summary.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace mangoquay::load {
namespace {

using nlohmann::json;

double milliseconds(core::duration length) {
    return std::chrono::duration<double, std::milli>(length).count();
}

json percentiles(std::vector<double> values) {
    if (values.empty()) {
        return nullptr;
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"p999", at(0.999)}, {"max", at(1.0)}};
}

} // namespace

void summary::add(const observation& seen) {
    ++m_count;
    stream_figures& figures = m_streams[seen.m_stream];
    const std::string verdict(core::to_string(seen.m_verdict));
    ++figures.m_by_verdict[verdict];
    ++figures.m_by_reason[verdict + "/" + (seen.m_reason.empty() ? "none" : seen.m_reason)];
    if (seen.m_verdict != core::verdict::ran) {
        return;
    }
    figures.m_latencies_ms.push_back(milliseconds(seen.m_ended - seen.m_due));
    if (seen.m_ended - seen.m_due <= seen.m_deadline) {
        // Requests of the peak that are answered while the load is let out do not count.
        m_in_time += seen.m_ended <= m_ended || m_ended == core::time_point{} ? 1 : 0;
        m_in_time_at_peak += seen.m_ended >= m_peak_from && seen.m_ended < m_peak_to ? 1 : 0;
    }
    if (seen.m_write) {
        if (m_last_acknowledged) {
            m_longest_gap = std::max(m_longest_gap, seen.m_ended - *m_last_acknowledged);
        }
        m_last_acknowledged = seen.m_ended;
        acknowledged_by(seen.m_endpoint);
        return;
    }
    ++m_reads;
    m_reads_by_replicas += m_primaries.contains(seen.m_endpoint) ? 0 : 1;
}

json summary::to_json(const violation_counts& violations) const {
    const double seconds = milliseconds(m_ended - m_started) / 1000;
    json streams = json::object();
    for (const auto& [name, figures] : m_streams) {
        streams[name] = {{"verdicts", figures.m_by_verdict},
                         {"reasons", figures.m_by_reason},
                         {"ran_per_s", static_cast<double>(figures.m_latencies_ms.size()) / seconds},
                         {"latency_ms", percentiles(figures.m_latencies_ms)}};
    }
    // Writes that never came back are a gap up to the end.
    const core::duration open_gap = m_last_acknowledged ? m_ended - *m_last_acknowledged : core::duration{};
    json made = {{"seconds", seconds},
                 {"requests", m_count},
                 {"goodput_per_s", static_cast<double>(m_in_time) / seconds},
                 {"streams", streams},
                 {"reads", m_reads},
                 {"longest_write_gap_ms", milliseconds(std::max(m_longest_gap, open_gap))},
                 {"violations",
                  {{"total", violations.total()},
                   {"acknowledged_lost", violations.m_acknowledged_lost},
                   {"doubled", violations.m_doubled},
                   {"stale_session_reads", violations.m_stale_session_reads},
                   {"not_run_ran", violations.m_not_run_ran},
                   {"foreign_answers", violations.m_foreign_answers},
                   {"first", violations.m_first}}}};
    const double peak_s = milliseconds(m_peak_to - m_peak_from) / 1000;
    made["peak_goodput_per_s"] =
        peak_s > 0 ? json(static_cast<double>(m_in_time_at_peak) / peak_s) : json(nullptr);
    made["reads_by_replicas_share"] =
        m_reads == 0 ? json(nullptr)
                     : json(static_cast<double>(m_reads_by_replicas) / static_cast<double>(m_reads));
    return made;
}

} // namespace mangoquay::load
