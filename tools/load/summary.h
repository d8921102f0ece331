// Figures of a run: counts, latencies, shares, gaps.
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

// The end of one request as a caller sees it.
struct observation {
    std::string m_stream;
    bool m_write = false;
    core::verdict m_verdict = core::verdict::not_run;
    std::string m_reason;
    std::string m_endpoint; // that answered; empty: not named
    core::time_point m_due; // when it was to be sent: waiting in the tool counts
    core::time_point m_ended;
    core::duration m_deadline{}; // what ran later than this is of no use to the caller
};

class summary {
public:
    void start(core::time_point now, core::time_point peak_from, core::time_point peak_to) {
        m_started = now;
        m_peak_from = peak_from;
        m_peak_to = peak_to;
    }
    void end(core::time_point now) { m_ended = now; }
    // Before the run, too: reads that other endpoints answer are those of replicas.
    void acknowledged_by(const std::string& endpoint) { m_primaries.insert(endpoint); }
    void add(const observation& seen);
    [[nodiscard]] std::uint64_t ended() const { return m_count; }
    [[nodiscard]] nlohmann::json to_json(const violation_counts& violations) const;

private:
    struct stream_figures {
        std::map<std::string, std::uint64_t> m_by_verdict;
        std::map<std::string, std::uint64_t> m_by_reason; // verdict/reason
        std::vector<double> m_latencies_ms;               // of what ran
    };

    core::time_point m_started;
    core::time_point m_ended;
    core::time_point m_peak_from;
    core::time_point m_peak_to;
    std::uint64_t m_in_time = 0;
    std::uint64_t m_in_time_at_peak = 0;
    std::uint64_t m_count = 0;
    std::map<std::string, stream_figures> m_streams;
    // Endpoints that acknowledged a write are primaries; a read answered by another one was a replica's.
    std::set<std::string> m_primaries;
    std::uint64_t m_reads = 0;
    std::uint64_t m_reads_by_replicas = 0;
    std::optional<core::time_point> m_last_acknowledged;
    core::duration m_longest_gap{};
};

} // namespace mangoquay::load
