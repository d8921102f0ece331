// Case: an answer of several MiB ("any number of ROW messages", each below 1 MiB) while the machine that took
// the request is being stopped.
#include "case.h"

#include <csignal>
#include <future>

namespace review {
namespace {

constexpr std::size_t row_bytes = 1'000'000; // A message is at most 1 MiB.
constexpr std::size_t small_rows = 3;
constexpr std::size_t large_rows = 5;

} // namespace

int run_large_answer(record& log, const run_options& options) {
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
    group.work = milliseconds(800); // A request within the route's timeout of 1000 ms and the grace period.
    group.rows = [](const std::string& item) {
        return row_set{std::strtoul(item.c_str(), nullptr, 10), std::string(row_bytes, 'x')};
    };
    host& entry = all.hosts.entry[0];
    const auto read = [&](std::size_t rows) {
        session open(all.hosts.caller_address(entry), primary_route, "u1", milliseconds(2000));
        const std::string id = new_id();
        log.write("read " + id + " of " + std::to_string(rows) + " rows is sent to " + entry.name);
        const answer got = open.query(id, "READ " + std::to_string(rows), milliseconds(4000));
        log.write("read " + id + " -> " + (got.complete ? got.outcome : "no complete answer") + ", rows " +
                  std::to_string(got.rows) + ", bytes " + std::to_string(got.row_bytes) +
                  (open.ended() ? ", the connection has ended" : ""));
        return got;
    };
    sleep_s(2);
    if (!read(small_rows).success()) {
        return could_not_run;
    }
    const int before = passed_on;
    std::vector<std::future<answer>> asked;
    for (int i = 0; i < 2; ++i) {
        asked.push_back(std::async(std::launch::async, read, i == 0 ? small_rows : large_rows));
    }
    sleep_s(0.3);
    if (options.trouble) {
        all.hosts.signal(entry, SIGTERM);
    }
    const answer small = asked[0].get();
    const answer large = asked[1].get();
    if (options.trouble) {
        all.hosts.wait_for_end(entry, milliseconds(7000));
    }
    log.write("requests passed on to a database: " + std::to_string(passed_on - before) + " of 2; complete answers: " +
              std::to_string((small.complete ? 1 : 0) + (large.complete ? 1 : 0)));
    if (passed_on - before < 2) {
        return could_not_run;
    }
    // LOST counts only around planned work.
    return options.trouble && (!small.complete || !large.complete) ? broken : held;
}

} // namespace review
