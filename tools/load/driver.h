// Runs a scenario: creates the load, follows each request to its end, reads everything at the end.
//
// Owns: timers, clients of closed-loop streams, the history and the summary. One thread.
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
    std::vector<std::string> m_proxies; // base addresses
    std::string m_key;
    std::vector<std::string> m_groups; // of the final read
    std::string m_only_group;          // all statements go there; empty: spread by key
    std::string m_run;                 // prefix of row ids
    std::uint64_t m_seed = 1;
    double m_rate_factor = 1; // of open-loop streams
};

class driver {
public:
    // `transport` outlives the driver.
    driver(scenario wanted, driver_options options, caller_transport& transport);

    // Fails when the rows that the streams read could not be written, or the final read did not succeed.
    core::result<bool> run();
    [[nodiscard]] const summary& figures() const { return m_summary; }
    [[nodiscard]] const violation_counts& violations() const { return m_history.violations(); }

private:
    // A client of update_and_read; other closed-loop clients keep no state.
    struct session_client {
        std::string m_row; // empty: to be inserted
        std::string m_token;
        std::uint64_t m_next = 0;
        std::uint64_t m_acknowledged = 0;
        bool m_read_next = false;
    };
    struct call {
        const stream* m_stream = nullptr;
        statement_body m_body;
        std::string m_row;
        std::uint64_t m_number = 0;
        std::uint32_t m_tries_left = 0;
        bool m_may_have_run = false; // by an earlier try
        core::time_point m_due;
        std::shared_ptr<session_client> m_session; // null: none
        std::uint64_t m_least = 0;                 // of a session read
        std::function<void()> m_then;
    };

    core::result<bool> write_setup_rows();
    core::result<bool> read_all();
    void start_streams(core::time_point until);
    void start_client(const stream& of, const std::shared_ptr<session_client>& session,
                      core::time_point until);
    void schedule_arrival(const stream& of, core::time_point started, core::time_point until);
    void work_until(core::time_point until, bool stop_when_idle);

    call make_call(const stream& of, const std::shared_ptr<session_client>& session, core::time_point due);
    void make_session_call(call& made);
    void send(const call& sent);
    void received(call& sent, const http_answer& raw);
    bool resend(call& sent, const answer& got);
    void record(const call& sent, const answer& got);
    void record_write(const call& sent, const answer& got);
    void record_read(const call& sent, const answer& got);
    const std::string& any_proxy();

    scenario m_wanted;
    driver_options m_options;
    caller_transport& m_client;
    history m_history;
    summary m_summary;
    std::mt19937_64 m_random;
    std::multimap<core::time_point, std::function<void()>> m_timers;
    std::vector<std::string> m_setup_rows;
    std::uint64_t m_next_row = 0;
    bool m_measuring = false;
    std::string m_last_refusal; // for the reason of a failure
};

} // namespace mangoquay::load
