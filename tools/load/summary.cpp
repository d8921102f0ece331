// Aggregates request outcomes and renders the summary.
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
    const auto at = [&values](double quantile) {
        return values[static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1))];
    };
    return {{"p50", at(0.5)}, {"p90", at(0.9)}, {"p99", at(0.99)}, {"p999", at(0.999)}, {"max", at(1.0)}};
}

} // namespace

void summary::add_outcome(const request_outcome& outcome) {
    ++m_request_count;
    stream_figures& figures = m_streams[outcome.m_stream];
    const std::string verdict(core::to_string(outcome.m_verdict));
    ++figures.m_count_by_verdict[verdict];
    ++figures.m_count_by_reason[verdict + "/" + (outcome.m_reason.empty() ? "none" : outcome.m_reason)];
    if (outcome.m_verdict != core::verdict::ran) {
        return;
    }
    figures.m_latencies_ms.push_back(milliseconds(outcome.m_ended - outcome.m_due));
    if (outcome.m_ended - outcome.m_due <= outcome.m_deadline) {
        // Requests that finish after the end of the measurement, while the remaining ones drain, do not
        // count.
        m_in_time_count += outcome.m_ended <= m_ended || m_ended == core::time_point{} ? 1 : 0;
        m_peak_in_time_count += outcome.m_ended >= m_peak_from && outcome.m_ended < m_peak_to ? 1 : 0;
    }
    if (outcome.m_write) {
        if (m_last_acknowledged_write) {
            m_longest_write_gap = std::max(m_longest_write_gap, outcome.m_ended - *m_last_acknowledged_write);
        }
        m_last_acknowledged_write = outcome.m_ended;
        record_primary(outcome.m_endpoint);
        return;
    }
    ++m_read_count;
    m_replica_read_count += m_primaries.contains(outcome.m_endpoint) ? 0 : 1;
}

json summary::to_json(const violation_counts& violations) const {
    const double seconds = milliseconds(m_ended - m_started) / 1000;
    json streams = json::object();
    for (const auto& [name, figures] : m_streams) {
        streams[name] = {{"verdicts", figures.m_count_by_verdict},
                         {"reasons", figures.m_count_by_reason},
                         {"ran_per_s", static_cast<double>(figures.m_latencies_ms.size()) / seconds},
                         {"latency_ms", percentiles(figures.m_latencies_ms)}};
    }
    // If writes had not resumed at the end of the measurement, the gap extends to it.
    const core::duration open_gap =
        m_last_acknowledged_write ? m_ended - *m_last_acknowledged_write : core::duration{};
    json result = {{"seconds", seconds},
                   {"requests", m_request_count},
                   {"goodput_per_s", static_cast<double>(m_in_time_count) / seconds},
                   {"streams", streams},
                   {"reads", m_read_count},
                   {"longest_write_gap_ms", milliseconds(std::max(m_longest_write_gap, open_gap))},
                   {"violations",
                    {{"total", violations.total()},
                     {"acknowledged_lost", violations.m_acknowledged_lost},
                     {"doubled", violations.m_doubled},
                     {"stale_session_reads", violations.m_stale_session_reads},
                     {"not_run_ran", violations.m_not_run_ran},
                     {"foreign_answers", violations.m_foreign_answers},
                     {"first", violations.m_first_message}}}};
    const double peak_s = milliseconds(m_peak_to - m_peak_from) / 1000;
    result["peak_goodput_per_s"] =
        peak_s > 0 ? json(static_cast<double>(m_peak_in_time_count) / peak_s) : json(nullptr);
    result["reads_by_replicas_share"] =
        m_read_count == 0
            ? json(nullptr)
            : json(static_cast<double>(m_replica_read_count) / static_cast<double>(m_read_count));
    return result;
}

} // namespace mangoquay::load
