// Single-threaded event loop: ready sockets, timers and tasks posted by other threads.
//
// Owns: an epoll instance, the timers and the queue of posted tasks. All members except post() and stop() are
// called on the loop's own thread or before run().
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

struct epoll_event;

namespace mangoquay::transport {

using task = std::function<void()>;
// Called with the epoll events that are ready.
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

    // Runs until stop() is called.
    void run();
    // Runs a task on the loop's thread. Tasks run in the order in which they were posted. Thread-safe.
    void post(task action);
    // Makes run() return after the tasks posted before this call have run. Thread-safe.
    void stop();

    // Runs a task once when the time has come. Tasks that are due run in the order of their times.
    timer_id run_at(core::time_point when, task action);
    timer_id run_after(core::duration delay, task action) { return run_at(now() + delay, std::move(action)); }
    // Has no effect if the task has run already.
    void cancel_timer(timer_id timer);

    // Calls the handler whenever one of `events` (EPOLLIN, EPOLLOUT; level triggered) is ready, and on errors
    // of the socket. For a socket that is already watched, replaces events and handler.
    void watch(int socket, std::uint32_t events, socket_handler handler);
    void unwatch(int socket);

    [[nodiscard]] static core::time_point now() { return core::now(); }

private:
    struct watched_socket {
        // Detects events of a closed descriptor whose number has been reused.
        std::uint64_t m_generation = 0;
        socket_handler m_handler;
    };

    void serve(const epoll_event* ready, int count);
    // Serves the sockets that are still ready after `served` of them were.
    void serve_others(std::size_t served);
    void run_posted();
    void run_due_timers();
    [[nodiscard]] int wait_ms() const;

    int m_epoll = -1;
    int m_wake = -1;
    bool m_stopped = false;
    std::uint64_t m_next_timer = 1;
    std::uint64_t m_next_generation = 1;
    std::map<std::pair<core::time_point, std::uint64_t>, task> m_timers; // Ordered by time, then by creation.
    std::unordered_map<std::uint64_t, core::time_point> m_timer_times;
    std::unordered_map<int, watched_socket> m_sockets;
    std::mutex m_posted_mutex;
    std::vector<task> m_posted; // Guarded by m_posted_mutex.
};

} // namespace mangoquay::transport
