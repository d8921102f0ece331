// Outcomes and latencies of callers' statements at an entry host.
//
// Owns: counters, histograms and Boost accumulators. Runs on the event loop's thread, without a lock.
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

    void record_statement(const relay::answered_statement& statement);
    [[nodiscard]] std::string render_page(const relay::relay_core& core,
                                          std::uint64_t sessions_turned_away) const;

private:
    using latency_accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                           boost::accumulators::tag::max,
                                           boost::accumulators::tag::p_square_quantile>>;

    // Upper bounds in milliseconds; the sheets' targets and limits lie between 150 and 5,000.
    static constexpr std::array<double, 10> bucket_bounds{5, 10, 25, 50, 100, 200, 400, 800, 1600, 5000};
    static constexpr std::size_t kinds = 3; // of documents::consistency
    static constexpr std::size_t refusals = static_cast<std::size_t>(relay::refusal::malformed) + 1;

    struct kind_figures {
        kind_figures();

        latency_accumulator m_milliseconds;
        std::array<std::uint64_t, bucket_bounds.size() + 1> m_buckets{};
    };

    void print_latency(page_writer& page) const;

    std::array<kind_figures, kinds> m_kinds; // successes
    std::array<std::uint64_t, refusals> m_refusals{};
};

} // namespace mangoquay::metrics
