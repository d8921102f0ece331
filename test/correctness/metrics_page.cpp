// Guards against wrong values on the metrics page on which operators act: replica shares, failover gaps,
// latency percentiles and the escaping of label values.
#include "metrics/metrics_registry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

class metrics_page : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_page);
    CPPUNIT_TEST(shares_gaps_percentiles_and_labels_are_printed);
    CPPUNIT_TEST_SUITE_END();

public:
    void shares_gaps_percentiles_and_labels_are_printed() {
        metrics::metrics_registry metrics;
        const core::time_point start{std::chrono::hours(1)};
        const core::group_id group("g");
        for (int read = 0; read < 20; ++read) {
            metrics.record_read(read == 0 ? metrics::serving_role::primary : metrics::serving_role::replica,
                                true);
        }
        for (int latency = 1; latency <= 1000; ++latency) {
            metrics.record_statement({core::work_class::short_work, core::verdict::ran, core::reason::none,
                                      core::microseconds(latency * 100)});
        }
        metrics.record_statement({core::work_class::short_work, core::verdict::not_run,
                                  core::reason::overloaded, std::chrono::hours(1)});
        metrics.record_completed_write(group, start);
        for (const int length : {700, 300}) {
            metrics.record_blocked_write(group, start + core::milliseconds(5));
            metrics.record_blocked_write(group, start);
            metrics.record_completed_write(group, start + core::milliseconds(length));
        }
        const std::string page = metrics.render_page({{"queue_length", {{"endpoint", "a\"b"}}, 3}});
        for (const char* line :
             {"mangoquay_reads_replica_share 0.95\n",
              "mangoquay_eligible_reads_total{served_by=\"primary\"} 1\n",
              "mangoquay_statements_total{class=\"short\"} 1000\n",
              "mangoquay_statement_latency_ms_max{class=\"short\"} 100\n",
              "mangoquay_refusals_total{reason=\"overloaded\"} 1\n",
              "mangoquay_failover_gap_ms_last{group=\"g\"} 300\n",
              "mangoquay_failover_gap_ms_worst{group=\"g\"} 700\n", "mangoquay_failover_gap_ms_worst 700\n",
              "mangoquay_queue_length{endpoint=\"a\\\"b\"} 3\n"}) {
            CPPUNIT_ASSERT_MESSAGE(line + page, page.find(line) != std::string::npos);
        }
        const std::string quantile = "mangoquay_statement_latency_ms_p99{class=\"short\"} ";
        const double p99 = std::stod(page.substr(page.find(quantile) + quantile.size()));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(99.0, p99, 1.0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_page);
