// What the cases share: three control hosts, some entry hosts, one service of three databases, an operator and
// writers.
#pragma once

#include "database.h"
#include "fleet.h"
#include "requester.h"

#include <atomic>
#include <thread>

namespace review {

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int could_not_run = 2;

struct run_options {
    std::string program; // The program of the deploy file.
    std::string folder;  // A temporary folder.
    bool trouble = true;
    // Only for comparison.
    bool reborn = true; // A database that starts again has lost its log.
    bool reuse = true;  // The address of a database that is gone is used again.
};

void sleep_s(double seconds);

struct world {
    // The databases are d-1 (primary), d-2 and d-3, one in each zone.
    world(record& log, const run_options& options, int control_hosts, int entry_hosts, int sync_replicas,
          int route_timeout_ms = 3000);
    ~world();

    bool send_config(int version);
    // Each writer keeps a session at an entry host and sends single writes on the primary route.
    void start_writers(int count);
    void stop_writers();

    record& log;
    fleet hosts;
    std::unique_ptr<service> group;
    int sync_replicas;
    int route_timeout_ms;
    bool is_up = false; // Everything has started, and the first write succeeded.
    std::atomic<std::size_t> acknowledged{0};
    std::atomic<std::size_t> refused{0};

private:
    void write_on(const host& at, int number);
    std::atomic<bool> m_writing{false};
    std::vector<std::thread> m_writers;
};

// The database names of the routes.
inline const std::string primary_route = "tray";
inline const std::string reading_route = "stock";
// A second service in the config, whose databases only one case starts.
inline const std::string second_service = "booking";

int run_lost_reborn(record& log, const run_options& options);
int run_lost_reused(record& log, const run_options& options);
int run_cut_answer(record& log, const run_options& options);
int run_large_answer(record& log, const run_options& options);
int run_large_read(record& log, const run_options& options);

} // namespace review
