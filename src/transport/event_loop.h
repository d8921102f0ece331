// The one thread on which a process makes its decisions: sockets, timers and tasks posted by other threads.
//
// Owns: an epoll instance, timers, a queue of posted tasks. All members but post() and stop() are called on
// the loop's own thread (or before run()).
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace mangoquay::transport {

using task = std::function<void()>;
// Gets the epoll events that are ready.
using socket_handler = std::function<void(std::uint32_t)>;

enum class timer_id : std::uint64_t {};

class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    // Returns after stop().
    void run();
    // Both may be called from any thread.
    void post(task action);
    void stop();

    timer_id run_at(core::time_point when, task action);
    timer_id run_after(core::duration delay, task action) { return run_at(now() + delay, std::move(action)); }
    void cancel_timer(timer_id timer);

    // `events` are EPOLLIN and EPOLLOUT, level triggered. Watching a watched socket changes its events and
    // handler.
    void watch(int socket, std::uint32_t events, socket_handler handler);
    void unwatch(int socket);

    [[nodiscard]] static core::time_point now() { return core::now(); }

private:
    struct watched_socket {
        std::uint64_t m_generation = 0; // tells a reused descriptor from the one an event was meant for
        socket_handler m_handler;
    };

    void run_posted();
    void run_due_timers();
    [[nodiscard]] int wait_ms() const;

    int m_epoll = -1;
    int m_wake = -1;
    bool m_stopped = false;
    std::uint64_t m_next_timer = 1;
    std::uint64_t m_next_generation = 1;
    std::map<std::pair<core::time_point, std::uint64_t>, task>
        m_timers; // by deadline, then order of creation
    std::unordered_map<std::uint64_t, core::time_point> m_timer_times;
    std::unordered_map<int, watched_socket> m_sockets;
    std::mutex m_posted_mutex;
    std::vector<task> m_posted; // guarded by m_posted_mutex
};

} // namespace mangoquay::transport
