// Counters and latencies of one process, and their text page.
//
// Owns: all figures. Called from any thread; one lock, held for less than a microsecond per call.
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

enum class serving_role : std::uint8_t { replica, primary };

struct finished_statement {
    core::work_class m_class = core::work_class::undeclared;
    core::verdict m_verdict = core::verdict::not_run;
    core::reason m_reason = core::reason::none;
    core::duration m_latency{};
};

// A figure that another component reports when the page is written, for example the queue length of an
// endpoint: {"queue_length", {{"endpoint", "b2"}}, 3}.
struct gauge {
    std::string m_name; // without the prefix mangoquay_
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

    // `eligible`: a replica could have served it but for its position or age.
    void record_read(serving_role place, bool eligible);
    void record_statement(const finished_statement& statement);
    void record_retry();
    void record_dropped_answer();

    // The failover gap of a group runs from the start of the first attempt of a write that could not complete
    // to the next completed write.
    void record_blocked_write(const core::group_id& group, core::time_point attempt_started);
    void record_completed_write(const core::group_id& group, core::time_point now);

    [[nodiscard]] std::string render_page(const std::vector<gauge>& gauges) const;

private:
    struct figures;
    std::unique_ptr<figures> m_figures;
};

} // namespace mangoquay::metrics
