// Results of a run: counts, latencies, shares and write gaps.
#pragma once

#include "core/clock.h"
#include "core/verdict.h"
#include "history.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::load {

// Final outcome of one request as its caller sees it.
struct request_outcome {
    std::string m_stream;
    bool m_write = false;
    core::verdict m_verdict = core::verdict::not_run;
    std::string m_reason;
    std::string m_endpoint; // Endpoint that answered; empty if the answer names none.
    core::time_point m_due; // Scheduled send time, so that waiting in the tool counts as latency.
    core::time_point m_ended;
    core::duration m_deadline{}; // Statements that finish later do not count as goodput.
};

class summary {
public:
    void begin_measurement(core::time_point now, core::time_point peak_from, core::time_point peak_to) {
        m_started = now;
        m_peak_from = peak_from;
        m_peak_to = peak_to;
    }
    void end_measurement(core::time_point now) { m_ended = now; }
    // Records that the endpoint acknowledged a write, also before the measurement. Reads answered by other
    // endpoints count as reads by replicas.
    void record_primary(const std::string& endpoint) { m_primaries.insert(endpoint); }
    void add_outcome(const request_outcome& outcome);
    [[nodiscard]] std::uint64_t request_count() const { return m_request_count; }
    [[nodiscard]] nlohmann::json to_json(const violation_counts& violations) const;

private:
    struct stream_figures {
        std::map<std::string, std::uint64_t> m_count_by_verdict;
        std::map<std::string, std::uint64_t> m_count_by_reason; // Keyed by "verdict/reason".
        std::vector<double> m_latencies_ms;                     // Latencies of statements that ran.
    };

    core::time_point m_started;
    core::time_point m_ended;
    core::time_point m_peak_from;
    core::time_point m_peak_to;
    std::uint64_t m_in_time_count = 0;
    std::uint64_t m_peak_in_time_count = 0;
    std::uint64_t m_request_count = 0;
    std::map<std::string, stream_figures> m_streams;
    // Endpoints that acknowledged a write.
    std::set<std::string> m_primaries;
    std::uint64_t m_read_count = 0;
    std::uint64_t m_replica_read_count = 0;
    std::optional<core::time_point> m_last_acknowledged_write;
    core::duration m_longest_write_gap{};
};

} // namespace mangoquay::load
