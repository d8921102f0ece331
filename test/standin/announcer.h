// Announces the databases to mangoquay proxies over HTTP, as their platform would.
#pragma once

#include "postgres_standin.h"

#include <atomic>
#include <thread>

namespace mangoquay::standin {

// Owns a thread. Each round announces every database that has not crashed, to the first address that accepts.
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
    std::size_t m_last_accepting_index = 0; // index of the address that accepted last
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace mangoquay::standin
