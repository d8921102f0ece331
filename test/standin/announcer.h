// Announces the databases to mangoquay proxies over HTTP, as a deployment platform does.
#pragma once

#include "postgres_standin.h"

#include <atomic>
#include <thread>

namespace mangoquay::standin {

// Owns a thread that announces every database that has not crashed once per interval. An announcement is sent
// to the addresses in turn until one accepts it, starting with the address that accepted the last one.
class announcer {
public:
    announcer(postgres_standin& standin, announce_layout layout);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;
    announcer(announcer&&) = delete;
    announcer& operator=(announcer&&) = delete;

private:
    void run();
    void announce(const endpoint_report& report);

    postgres_standin& m_standin;
    announce_layout m_layout;
    std::size_t m_last_accepting_index = 0; // Index into m_addresses of the address that accepted last.
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace mangoquay::standin
