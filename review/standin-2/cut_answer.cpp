// Case: a machine gets SIGTERM. A requester whose session is open there sends a read 2 s later, and the database
// answers with one row 0.5 s after that, well within the grace period.
#include "case.h"

#include <csignal>

namespace review {
namespace {

constexpr std::size_t row_bytes = 1'000'000;         // A message is at most 1 MiB.
constexpr std::size_t line_bytes_per_s = 12'500'000; // 100 Mbit/s.
constexpr milliseconds time_limit{5000};             // As of the requests `stock-view`.

} // namespace

int run_cut_answer(record& log, const run_options& options) {
    world all(log, options, 3, 2, 0);
    if (!all.is_up) {
        return could_not_run;
    }
    service& group = *all.group;
    std::atomic<int> passed_on{0};
    group.on_arrival = [&](database& at, const std::string& id, const std::string& text) {
        ++passed_on;
        log.write("database " + at.id + " receives " + id + " " + text);
    };
    group.work = milliseconds(500);
    group.rows = [](const std::string&) { return row_set{1, std::string(row_bytes, 'x')}; };
    host& entry = all.hosts.entry[0];
    const auto read = [&](session& over) {
        const std::string id = new_id();
        log.write("read " + id + " is sent to " + entry.name);
        const answer got = over.query(id, "READ 1", time_limit);
        log.write("read " + id + " -> " + (got.complete ? got.outcome : "no complete answer") + ", bytes received " +
                  std::to_string(got.received) + (over.ended() ? ", the connection has ended" : ""));
        return got;
    };
    sleep_s(2);
    session first(all.hosts.caller_address(entry), reading_route, "u0", milliseconds(2000), line_bytes_per_s);
    session open(all.hosts.caller_address(entry), reading_route, "u1", milliseconds(2000), line_bytes_per_s);
    if (!read(first).success()) {
        return could_not_run;
    }
    const int before = passed_on;
    if (options.trouble) {
        all.hosts.signal(entry, SIGTERM);
    }
    sleep_s(2);
    const answer got = read(open);
    if (options.trouble && !all.hosts.wait_for_end(entry, milliseconds(7000))) {
        log.write(entry.name + " still runs after the grace period");
    }
    if (passed_on == before) {
        return could_not_run;
    }
    return got.complete ? held : broken;
}

} // namespace review
