// An entry host gets SIGTERM while a transaction runs one statement after the other. Rule LOST.
#include "cases.h"
#include "world.h"

#include <csignal>

namespace cases {

using namespace world;

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
    bool cut = false;
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
        cut = got.m_closed;
        record("READ " + id + " sent " + std::to_string(sent - stop_at) + " s after the signal: " +
               (got.m_closed     ? "the connection ended without an answer after " +
                                   std::to_string(seconds_since_start() - sent) + " s"
                : !got.m_answered ? std::string("no answer")
                : got.m_error.empty() ? "answered " + got.m_text
                                      : "refused " + got.m_text));
        if (cut) {
            record("LOST: the request was read, passed on to a database and not answered; sent " +
                   std::to_string(sent - stop_at) + " s after the SIGTERM");
        }
    }
    if (open) {
        got = caller.query(next_id(), got.m_error.empty() ? "COMMIT" : "ROLLBACK", 3000);
        record("end of the transaction: " + (got.m_error.empty() ? got.m_text : got.m_error));
    }
    if (trouble && !all.wait_for_end(host, 8000)) {
        record("the entry host did not end");
    }
    return cut ? 1 : 0;
}

} // namespace cases
