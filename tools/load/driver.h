// Runs a scenario: generates the load, tracks each request to its outcome and reads all rows at the end.
//
// Owns: timers, clients of closed-loop streams, the history and the summary. Single-threaded.
#pragma once

#include "answer.h"
#include "history.h"
#include "http_client.h"
#include "scenario.h"
#include "summary.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace mangoquay::load {

struct driver_options {
    std::vector<std::string> m_proxies; // Base URLs.
    std::string m_key;
    // Groups to read after the run; if empty, the stored rows are not checked.
    std::vector<std::string> m_groups;
    std::string m_only_group; // Target of all statements; if empty, they are spread by key.
    std::string m_run_id;     // Prefix of row ids.
    std::uint64_t m_seed = 1;
    double m_rate_factor = 1; // Multiplies the rates of open-loop streams.
};

class driver {
public:
    // `transport` outlives the driver.
    driver(scenario requested, driver_options options, caller_transport& transport);

    // Blocks until the run has ended. Fails if the rows that the streams read could not be written, or if the
    // final read did not succeed.
    core::result<bool> run();
    [[nodiscard]] const summary& results() const { return m_summary; }
    [[nodiscard]] const violation_counts& violations() const { return m_history.violations(); }

private:
    // State of a client of update_and_read; other closed-loop clients are stateless.
    struct session_client {
        std::string m_row; // If empty, the next write inserts a new row.
        std::string m_token;
        std::uint64_t m_next_number = 0;
        std::uint64_t m_acknowledged = 0;
        bool m_read_next = false;
    };
    struct pending_request {
        const stream* m_stream = nullptr;
        statement_body m_body;
        std::string m_row;
        std::uint64_t m_number = 0;
        std::uint32_t m_attempts_left = 0;
        bool m_may_have_run = false; // An earlier attempt may have run.
        core::time_point m_due;
        std::shared_ptr<session_client> m_session; // Null outside update_and_read.
        std::uint64_t m_min_number = 0;            // Last write acknowledged before a session read.
        std::function<void()> m_on_done;
    };

    core::result<bool> write_setup_rows();
    core::result<bool> read_all_rows();
    void start_streams(core::time_point until);
    void start_client(const stream& source, const std::shared_ptr<session_client>& session,
                      core::time_point until);
    void schedule_arrival(const stream& source, core::time_point started, core::time_point until);
    void run_until(core::time_point until, bool stop_when_idle);

    pending_request make_request(const stream& source, const std::shared_ptr<session_client>& session,
                                 core::time_point due);
    void make_session_request(pending_request& created);
    void send(const pending_request& pending);
    void on_answer(pending_request& pending, const http_answer& raw);
    bool resend(pending_request& pending, const answer& reply);
    void record(const pending_request& pending, const answer& reply);
    void record_write(const pending_request& pending, const answer& reply);
    void record_read(const pending_request& pending, const answer& reply);
    const std::string& random_proxy();

    scenario m_scenario;
    driver_options m_options;
    caller_transport& m_transport;
    history m_history;
    summary m_summary;
    std::mt19937_64 m_random;
    std::multimap<core::time_point, std::function<void()>> m_timers;
    std::vector<std::string> m_setup_rows;
    std::uint64_t m_next_row = 0;
    bool m_measuring = false;
    std::string m_last_failure; // Reported as the reason of a failure.
};

} // namespace mangoquay::load
