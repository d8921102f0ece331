// Case: reads whose answers have many rows. The infrastructure kills a process that uses more than memory-mb and
// starts it again after a short delay; the requester asks again at another machine.
#include "case.h"

#include <csignal>
#include <fstream>
#include <map>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t row_bytes = 50'000;
constexpr std::size_t large_rows = 7000;     // "any number of `ROW` messages".
constexpr std::size_t small_rows = 60;
constexpr std::size_t memory_limit = std::size_t{260} << 20U; // `memory-mb` of the entry hosts.
constexpr int operations = 4;
constexpr int time_limit_ms = 5000; // Of the requester, as for `stock-view`, and of the route.
constexpr int machines_for_fault = 2; // "on a tenth of the machines in use (two at least)"
constexpr int ends_for_fault = 3;     // "processes end by themselves three times in the day"

std::size_t resident_bytes(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

int run_large_read(record& log, const run_options& options) {
    world all(log, options, 3, 2, 0, time_limit_ms);
    if (!all.is_up) {
        return could_not_run;
    }
    service& group = *all.group;
    group.work = milliseconds(50);
    group.rows = [](const std::string& item) {
        return row_set{std::strtoul(item.c_str(), nullptr, 10), std::string(row_bytes, 'x')};
    };
    group.on_arrival = [&](database& at, const std::string& id, const std::string& text) {
        log.write("database " + at.id + " receives " + id + " " + text);
    };
    std::atomic<bool> done{false};
    std::thread requester([&] {
        const std::size_t rows = options.trouble ? large_rows : small_rows;
        for (int operation = 0; operation < operations; ++operation) {
            // Retries reach other nodes.
            for (const host& at : all.hosts.entry) {
                session open(all.hosts.caller_address(at), reading_route, "u1", milliseconds(2000));
                const std::string id = new_id();
                const answer got = open.query(id, "READ " + std::to_string(rows), milliseconds(time_limit_ms));
                log.write("read " + id + " of " + std::to_string(rows) + " rows at " + at.name + " -> " +
                          (got.complete ? got.outcome : "no complete answer") + ", rows " +
                          std::to_string(got.rows));
                if (got.complete) {
                    break;
                }
            }
            sleep_s(6);
        }
        done = true;
    });
    std::map<std::string, int> ends;
    std::map<std::string, std::size_t> peak;
    std::map<std::string, steady::time_point> restart;
    while (!done) {
        sleep_s(0.002);
        for (host& one : all.hosts.entry) {
            if (one.pid <= 0) {
                if (steady::now() > restart[one.name]) {
                    all.hosts.start(one, false);
                }
                continue;
            }
            const std::size_t used = resident_bytes(one.pid);
            peak[one.name] = std::max(peak[one.name], used);
            if (used > memory_limit) {
                ++ends[one.name];
                log.write(one.name + " uses " + std::to_string(used) + " bytes, more than memory-mb, and is killed");
                all.hosts.signal(one, SIGKILL);
            }
            if (all.hosts.wait_for_end(one, milliseconds(used > memory_limit ? 1000 : 0))) {
                restart[one.name] = steady::now() + milliseconds(500);
            }
        }
    }
    requester.join();
    int machines = 0;
    for (const host& one : all.hosts.entry) {
        machines += ends[one.name] >= ends_for_fault ? 1 : 0;
        log.write(one.name + ": peak of memory " + std::to_string(peak[one.name] >> 20U) + " MiB, ends by memory " +
                  std::to_string(ends[one.name]));
    }
    return machines >= machines_for_fault ? broken : held;
}

} // namespace review
