// An entry host gets SIGTERM while a transaction runs one statement after the other. Rule LOST.
#include "cases.h"
#include "world.h"

#include <csignal>

namespace cases {

using namespace world;

namespace {

// Rule LOST for a request whose connection ended without an answer. All times are seconds; `sent` and `ended` count
// from the SIGTERM.
bool breaks_rule(double sent, double ended, bool passed_on) {
    constexpr double grace_s = 6.0;
    constexpr double loss_slack_s = 0.2;
    constexpr double route_timeout_s = 3.0;
    const bool beside_planned_work = sent <= grace_s + 1.0;
    const bool counts = passed_on || ended - sent > loss_slack_s;
    // The database may still be at work in the last sixth of the grace period on an early request.
    const bool excused_as_early = passed_on && sent <= 3.0 && ended >= grace_s * 5 / 6;
    const bool timed_out = ended - sent >= route_timeout_s;
    return beside_planned_work && counts && !excused_as_early && !timed_out;
}

} // namespace

int busy_transaction_at_stop(bool trouble) {
    constexpr int statements = 12;
    group_rules rules;
    rules.m_read_ms = 320; // The sheet: 47 ms, a tail of 7 times that, 500 ms at most.
    deployment all(3, 2, rules);
    if (!all.bring_up()) {
        record("the deployment did not start to serve");
        return 2;
    }
    all.m_group.m_records_reads = true;
    sleep_ms(4000);
    machine& host = *all.m_entries[0];
    session caller;
    if (!caller.open(all.caller_address(host), "stock")) {
        return 2;
    }
    if (trouble) {
        all.signal(host, SIGTERM);
    }
    const double stop_at = seconds_since_start();
    sleep_ms(1600);
    // Within the requester's time limit of 5 s for the whole operation.
    bool broken = false;
    bool open = true;
    answer got = caller.query(next_id(), "BEGIN READ", 3000);
    const double began = seconds_since_start();
    for (int number = 0; number < statements && open && got.m_error.empty(); ++number) {
        if (seconds_since_start() > began + 4.9) {
            break;
        }
        const std::string id = next_id();
        const double sent = seconds_since_start();
        got = caller.query(id, "READ 1a4", 3000);
        open = got.m_answered;
        const double ended = seconds_since_start();
        record("READ " + id + " sent " + std::to_string(sent - stop_at) + " s after the signal: " +
               (got.m_closed     ? "the connection ended without an answer after " +
                                   std::to_string(seconds_since_start() - sent) + " s"
                : !got.m_answered ? std::string("no answer")
                : got.m_error.empty() ? "answered " + got.m_text
                                      : "refused " + got.m_text));
        if (got.m_closed) {
            const std::lock_guard lock(all.m_group.m_mutex);
            const bool passed_on = all.m_group.m_reads_begun.contains(id);
            broken = trouble && breaks_rule(sent - stop_at, ended - stop_at, passed_on);
            record(std::string(broken ? "LOST" : "excused") + ": the request was read and not answered; sent " +
                   std::to_string(sent - stop_at) + " s after the SIGTERM, passed on to a database: " +
                   (passed_on ? "yes" : "no"));
        }
    }
    if (open) {
        got = caller.query(next_id(), got.m_error.empty() ? "COMMIT" : "ROLLBACK", 3000);
        record("end of the transaction: " + (got.m_error.empty() ? got.m_text : got.m_error));
    }
    if (trouble && !all.wait_for_end(host, 8000)) {
        record("the entry host did not end");
    }
    return broken ? 1 : 0;
}

} // namespace cases
