// Counters and latencies of one process, and the metrics page that exposes them.
//
// Owns: all metric values. Thread-safe: one mutex, held for less than a microsecond per recorded event.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/statement.h"
#include "core/verdict.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangoquay::metrics {

// Role of the endpoint that served a read.
enum class serving_role : std::uint8_t { replica, primary };

struct finished_statement {
    core::work_class m_class = core::work_class::undeclared;
    core::verdict m_verdict = core::verdict::not_run;
    core::reason m_reason = core::reason::none;
    core::duration m_latency{};
};

// Value that another component reports when the page is rendered. Example, the queue length of an endpoint:
// {"queue_length", {{"endpoint", "b2"}}, 3}.
struct gauge {
    std::string m_name; // Without the prefix mangoquay_.
    std::map<std::string, std::string> m_labels;
    double m_value = 0;
};

class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    metrics_registry(metrics_registry&&) = delete;
    metrics_registry& operator=(metrics_registry&&) = delete;

    // `eligible`: a replica could have served the read if its replication position and age had permitted it.
    void record_read(serving_role role, bool eligible);
    // Latencies are recorded only for statements that ran.
    void record_statement(const finished_statement& statement);
    void record_retry();
    void record_dropped_answer();

    // The failover gap of a group lasts from the start of the first write attempt that could not complete
    // until the next completed write.
    void record_blocked_write(const core::group_id& group, core::time_point attempt_started);
    void record_completed_write(const core::group_id& group, core::time_point now);

    // Returns the page in the text exposition format, followed by the samples in `gauges`.
    [[nodiscard]] std::string render_page(const std::vector<gauge>& gauges) const;

private:
    struct metric_values;
    std::unique_ptr<metric_values> m_values;
};

} // namespace mangoquay::metrics
