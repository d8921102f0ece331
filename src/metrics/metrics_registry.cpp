// Collects metric values in counters and Boost accumulators and prints them in the text exposition format.
#include "metrics/metrics_registry.h"

#include "metrics/page_writer.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

namespace mangoquay::metrics {
namespace {

namespace acc = boost::accumulators;

using latency_accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::p_square_quantile>>;

constexpr double reported_quantile = 0.99;
constexpr std::array class_names{"undeclared", "short", "long"};
constexpr std::size_t reason_count = static_cast<std::size_t>(core::reason::internal_fault) + 1;

struct class_latency {
    latency_accumulator m_milliseconds{acc::quantile_probability = reported_quantile};
};

struct failover_gap {
    std::optional<core::time_point> m_blocked_since;
    core::duration m_last{};
    core::duration m_worst{};
    std::uint64_t m_count = 0;
};

double to_milliseconds(core::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

struct metrics_registry::metric_values {
    mutable std::mutex m_mutex; // Guards all members below.
    std::array<std::uint64_t, 2> m_reads{};
    std::array<std::uint64_t, 2> m_eligible_reads{};
    std::array<class_latency, class_names.size()> m_latency;
    std::array<std::uint64_t, 3> m_verdicts{};
    std::array<std::uint64_t, reason_count> m_refusals{};
    std::uint64_t m_retries = 0;
    std::uint64_t m_dropped_answers = 0;
    std::map<core::group_id, failover_gap> m_gaps;

    void print_reads(page_writer& page) const;
    void print_latency(page_writer& page) const;
    void print_refusals(page_writer& page) const;
    void print_gaps(page_writer& page) const;
};

void metrics_registry::metric_values::print_reads(page_writer& page) const {
    const auto print = [&page](const std::string& name, const std::array<std::uint64_t, 2>& counts) {
        const double total = static_cast<double>(counts[0] + counts[1]);
        page.add_line(name + "_total", {{"served_by", "replica"}}, static_cast<double>(counts[0]));
        page.add_line(name + "_total", {{"served_by", "primary"}}, static_cast<double>(counts[1]));
        page.add_line(name + "_replica_share", {}, total == 0 ? 0 : static_cast<double>(counts[0]) / total);
    };
    print("reads", m_reads);
    print("eligible_reads", m_eligible_reads);
}

void metrics_registry::metric_values::print_latency(page_writer& page) const {
    for (std::size_t index = 0; index < class_names.size(); ++index) {
        const latency_accumulator& latency = m_latency.at(index).m_milliseconds;
        const std::map<std::string, std::string> labels{{"class", class_names.at(index)}};
        const bool has_samples = acc::count(latency) > 0;
        page.add_line("statements_total", labels, static_cast<double>(acc::count(latency)));
        page.add_line("statement_latency_ms_mean", labels, has_samples ? acc::mean(latency) : 0);
        page.add_line("statement_latency_ms_p99", labels, has_samples ? acc::p_square_quantile(latency) : 0);
        page.add_line("statement_latency_ms_max", labels, has_samples ? acc::max(latency) : 0);
    }
}

void metrics_registry::metric_values::print_refusals(page_writer& page) const {
    for (std::size_t index = 0; index < m_verdicts.size(); ++index) {
        const auto verdict = static_cast<core::verdict>(index);
        page.add_line("verdicts_total", {{"verdict", std::string(core::to_string(verdict))}},
                      static_cast<double>(m_verdicts.at(index)));
    }
    for (std::size_t index = 0; index < reason_count; ++index) {
        const auto reason = static_cast<core::reason>(index);
        if (m_refusals.at(index) > 0) {
            page.add_line("refusals_total", {{"reason", std::string(core::to_string(reason))}},
                          static_cast<double>(m_refusals.at(index)));
        }
    }
}

void metrics_registry::metric_values::print_gaps(page_writer& page) const {
    core::duration worst{};
    for (const auto& [group, gap] : m_gaps) {
        const std::map<std::string, std::string> labels{{"group", group.value()}};
        page.add_line("failover_gaps_total", labels, static_cast<double>(gap.m_count));
        page.add_line("failover_gap_ms_last", labels, to_milliseconds(gap.m_last));
        page.add_line("failover_gap_ms_worst", labels, to_milliseconds(gap.m_worst));
        page.add_line("writes_blocked", labels, gap.m_blocked_since.has_value() ? 1 : 0);
        worst = std::max(worst, gap.m_worst);
    }
    page.add_line("failover_gap_ms_worst", {}, to_milliseconds(worst));
}

metrics_registry::metrics_registry() : m_values(std::make_unique<metric_values>()) {}
metrics_registry::~metrics_registry() = default;

void metrics_registry::record_read(serving_role role, bool eligible) {
    const std::lock_guard lock(m_values->m_mutex);
    ++m_values->m_reads.at(static_cast<std::size_t>(role));
    if (eligible) {
        ++m_values->m_eligible_reads.at(static_cast<std::size_t>(role));
    }
}

void metrics_registry::record_statement(const finished_statement& statement) {
    const std::lock_guard lock(m_values->m_mutex);
    ++m_values->m_verdicts.at(static_cast<std::size_t>(statement.m_verdict));
    if (statement.m_verdict == core::verdict::ran) {
        // Refusals are excluded because they are fast and would hide slow statements.
        class_latency& latency = m_values->m_latency.at(static_cast<std::size_t>(statement.m_class));
        latency.m_milliseconds(to_milliseconds(statement.m_latency));
    } else {
        ++m_values->m_refusals.at(static_cast<std::size_t>(statement.m_reason));
    }
}

void metrics_registry::record_retry() {
    const std::lock_guard lock(m_values->m_mutex);
    ++m_values->m_retries;
}

void metrics_registry::record_dropped_answer() {
    const std::lock_guard lock(m_values->m_mutex);
    ++m_values->m_dropped_answers;
}

void metrics_registry::record_blocked_write(const core::group_id& group, core::time_point attempt_started) {
    const std::lock_guard lock(m_values->m_mutex);
    std::optional<core::time_point>& since = m_values->m_gaps[group].m_blocked_since;
    since = since.has_value() ? std::min(*since, attempt_started) : attempt_started;
}

void metrics_registry::record_completed_write(const core::group_id& group, core::time_point now) {
    const std::lock_guard lock(m_values->m_mutex);
    const auto found = m_values->m_gaps.find(group);
    if (found == m_values->m_gaps.end() || !found->second.m_blocked_since.has_value()) {
        return;
    }
    failover_gap& gap = found->second;
    gap.m_last = now - *gap.m_blocked_since;
    gap.m_worst = std::max(gap.m_worst, gap.m_last);
    gap.m_blocked_since.reset();
    ++gap.m_count;
}

std::string metrics_registry::render_page(const std::vector<gauge>& gauges) const {
    page_writer page;
    {
        const std::lock_guard lock(m_values->m_mutex);
        m_values->print_reads(page);
        m_values->print_latency(page);
        m_values->print_refusals(page);
        m_values->print_gaps(page);
        page.add_line("retries_total", {}, static_cast<double>(m_values->m_retries));
        page.add_line("dropped_answers_total", {}, static_cast<double>(m_values->m_dropped_answers));
    }
    for (const gauge& each : gauges) {
        page.add_line(each.m_name, each.m_labels, each.m_value);
    }
    return page.take_text();
}

} // namespace mangoquay::metrics
