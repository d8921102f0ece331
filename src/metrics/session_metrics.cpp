// Collects and prints the metrics of statements.
#include "metrics/session_metrics.h"

#include <algorithm>

namespace mangoquay::metrics {
namespace {

namespace acc = boost::accumulators;

constexpr double reported_quantile = 0.99;
constexpr std::array consistency_names{"latest", "bounded_age", "read_your_writes"};

} // namespace

session_metrics::consistency_metrics::consistency_metrics()
    : m_milliseconds(acc::quantile_probability = reported_quantile) {}

session_metrics::session_metrics() = default;

void session_metrics::record_statement(const relay::answered_statement& statement) {
    if (statement.m_refusal) {
        ++m_refusals.at(static_cast<std::size_t>(*statement.m_refusal));
        return;
    }
    consistency_metrics& metrics = m_by_consistency.at(static_cast<std::size_t>(statement.m_consistency));
    const double latency_ms = std::chrono::duration<double, std::milli>(statement.m_latency).count();
    metrics.m_milliseconds(latency_ms);
    const auto bucket = std::ranges::lower_bound(bucket_bounds_ms, latency_ms) - bucket_bounds_ms.begin();
    ++metrics.m_buckets.at(static_cast<std::size_t>(bucket));
}

void session_metrics::print_latency(page_writer& page) const {
    for (std::size_t consistency = 0; consistency < consistency_count; ++consistency) {
        const consistency_metrics& metrics = m_by_consistency.at(consistency);
        const auto count = static_cast<double>(acc::count(metrics.m_milliseconds));
        std::map<std::string, std::string> labels{{"consistency", consistency_names.at(consistency)}};
        page.add_line("session_statement_latency_ms_count", labels, count);
        page.add_line("session_statement_latency_ms_mean", labels,
                      count > 0 ? acc::mean(metrics.m_milliseconds) : 0);
        page.add_line("session_statement_latency_ms_p99", labels,
                      count > 0 ? acc::p_square_quantile(metrics.m_milliseconds) : 0);
        page.add_line("session_statement_latency_ms_max", labels,
                      count > 0 ? acc::max(metrics.m_milliseconds) : 0);
        std::uint64_t cumulative = 0;
        for (std::size_t bucket = 0; bucket < bucket_bounds_ms.size(); ++bucket) {
            cumulative += metrics.m_buckets.at(bucket);
            labels["le"] = std::to_string(static_cast<int>(bucket_bounds_ms.at(bucket)));
            page.add_line("session_statement_latency_ms_bucket", labels, static_cast<double>(cumulative));
        }
        labels["le"] = "+Inf";
        page.add_line("session_statement_latency_ms_bucket", labels, count);
    }
}

std::string session_metrics::render_page(const relay::relay_core& core,
                                         std::uint64_t sessions_turned_away) const {
    page_writer page;
    const relay::relay_counters& counters = core.counters();
    page.add_line("sessions", {}, static_cast<double>(core.session_count()));
    page.add_line("sessions_turned_away_total", {}, static_cast<double>(sessions_turned_away));
    page.add_line("statements_in_progress", {}, static_cast<double>(core.active_session_count()));
    page.add_line("database_links", {}, static_cast<double>(core.connection_count()));
    page.add_line("database_links_opened_total", {}, static_cast<double>(counters.m_connections_opened));
    page.add_line("database_links_borrowed_total", {}, static_cast<double>(counters.m_connections_borrowed));
    page.add_line("session_statements_total", {}, static_cast<double>(counters.m_statements));
    page.add_line("statement_attempts_repeated_total", {}, static_cast<double>(counters.m_repeated));
    page.add_line("commits_after_lease_total", {}, static_cast<double>(counters.m_late_commits));
    page.add_line("primary_position_probes_total", {}, static_cast<double>(counters.m_probes));
    page.add_line("statements_served_total", {{"served_by", "replica"}},
                  static_cast<double>(counters.m_served_by_replicas));
    page.add_line("statements_served_total", {{"served_by", "primary"}},
                  static_cast<double>(counters.m_served_by_primaries));
    page.add_line("configuration_version", {}, static_cast<double>(core.version().value()));
    for (std::size_t reason = 0; reason < refusal_count; ++reason) {
        page.add_line("statements_refused_total",
                      {{"reason", to_string(static_cast<relay::refusal>(reason))}},
                      static_cast<double>(m_refusals.at(reason)));
    }
    print_latency(page);
    return page.take_text();
}

} // namespace mangoquay::metrics
