// Outcomes and latencies of callers' statements at an entry host.
//
// Owns: counters, histograms and Boost accumulators. Not thread-safe: used only on the event loop's thread.
#pragma once

#include "metrics/page_writer.h"
#include "relay/relay_core.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstdint>

namespace mangoquay::metrics {

class session_metrics {
public:
    session_metrics();

    // Counts a refusal, or the latency of a successful statement by its consistency.
    void record_statement(const relay::answered_statement& statement);
    // Returns the page in the text exposition format, including the counters of `core`.
    [[nodiscard]] std::string render_page(const relay::relay_core& core,
                                          std::uint64_t sessions_turned_away) const;

private:
    using latency_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                           boost::accumulators::tag::max,
                                           boost::accumulators::tag::p_square_quantile>>;

    // Upper bounds of the histogram buckets. Latency targets and limits lie between 150 and 5,000 ms.
    static constexpr std::array<double, 10> bucket_bounds_ms{5, 10, 25, 50, 100, 200, 400, 800, 1600, 5000};
    static constexpr std::size_t consistency_count = 3; // Number of values of documents::consistency.
    static constexpr std::size_t refusal_count = static_cast<std::size_t>(relay::refusal::unauthorized) + 1;

    struct consistency_metrics {
        consistency_metrics();

        latency_accumulator m_milliseconds;
        std::array<std::uint64_t, bucket_bounds_ms.size() + 1> m_buckets{};
    };

    void print_latency(page_writer& page) const;

    std::array<consistency_metrics, consistency_count> m_by_consistency; // Successful statements only.
    std::array<std::uint64_t, refusal_count> m_refusals{};
};

} // namespace mangoquay::metrics
