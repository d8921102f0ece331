// Event loop based on epoll: ready sockets, then due timers, then posted tasks.
#include "transport/event_loop.h"

#include "core/log.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>

namespace mangoquay::transport {
namespace {

constexpr int events_per_wait = 64;
// Upper limit of one wait. A lost wake-up delays a task by this time at most.
constexpr int max_wait_ms = 1000;
// Timers that are later than this wait until all sockets that were ready have been served: what has arrived
// while the process did not run is not missing.
constexpr core::milliseconds min_pause{100};
// Shorter delays of the loop are not logged: all timeouts of peers allow for them.
constexpr core::milliseconds min_logged_delay{500};

// Tells apart, in a log, a host that did not run from one that heard nothing.
void log_if_delayed(const char* cause, core::duration delay) {
    if (delay >= min_logged_delay) {
        core::log_line(core::log_level::info, "event_loop",
                       std::string(cause) + " ms=" +
                           std::to_string(std::chrono::duration_cast<core::milliseconds>(delay).count()));
    }
}

[[noreturn]] void abort_with_errno(const char* operation) {
    std::perror(operation);
    std::abort();
}

// Stores the generation of the watch in the event, so that an event for a closed descriptor is not passed to
// the handler of a new descriptor with the same number.
epoll_event make_event(std::uint32_t events, std::uint64_t generation, int socket) {
    epoll_event event{};
    event.events = events;
    event.data.u64 = (generation << 32U) | static_cast<std::uint32_t>(socket);
    return event;
}

} // namespace

event_loop::event_loop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (m_epoll < 0 || m_wake < 0) {
        abort_with_errno("event loop");
    }
    watch(m_wake, EPOLLIN, [this](std::uint32_t) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto drained = ::read(m_wake, &count, sizeof count);
    });
}

event_loop::~event_loop() {
    ::close(m_wake);
    ::close(m_epoll);
}

void event_loop::run() {
    m_stopped = false;
    while (!m_stopped) {
        std::array<epoll_event, events_per_wait> ready{};
        const int longest_wait = wait_ms();
        const core::time_point wait_start = now();
        const int count = epoll_wait(m_epoll, ready.data(), events_per_wait, longest_wait);
        const core::time_point wait_end = now();
        log_if_delayed("the process did not run", wait_end - wait_start - core::milliseconds(longest_wait));
        if (count < 0 && errno != EINTR) {
            abort_with_errno("epoll_wait");
        }
        serve(ready.data(), count);
        if (!m_timers.empty() && m_timers.begin()->first.first + min_pause <= wait_end) {
            serve_others(static_cast<std::size_t>(std::max(count, 0)));
        }
        run_due_timers();
        run_posted();
        log_if_delayed("handlers took long, or the process did not run", now() - wait_end);
    }
}

void event_loop::serve(const epoll_event* ready, int count) {
    for (const epoll_event* event = ready; event < ready + count; ++event) {
        const int socket = static_cast<int>(event->data.u64 & 0xffffffffU);
        const auto found = m_sockets.find(socket);
        if (found == m_sockets.end() ||
            (found->second.m_generation & 0xffffffffU) != event->data.u64 >> 32U) {
            continue;
        }
        // The handler may unwatch its own socket. The copy keeps the handler alive during the call.
        const socket_handler handler = found->second.m_handler;
        handler(event->events);
    }
}

void event_loop::serve_others(std::size_t served) {
    // Sockets that stay ready are reported again after the others, so that each one is served.
    const std::size_t watched = m_sockets.size();
    std::array<epoll_event, events_per_wait> ready{};
    while (served < watched) {
        const int count = epoll_wait(m_epoll, ready.data(), events_per_wait, 0);
        if (count <= 0) {
            return;
        }
        serve(ready.data(), count);
        served += static_cast<std::size_t>(count);
    }
}

void event_loop::post(task action) {
    {
        const std::lock_guard lock(m_posted_mutex);
        m_posted.push_back(std::move(action));
    }
    const std::uint64_t increment = 1;
    [[maybe_unused]] const auto written = ::write(m_wake, &increment, sizeof increment);
}

void event_loop::stop() {
    post([this] { m_stopped = true; });
}

timer_id event_loop::run_at(core::time_point when, task action) {
    const std::uint64_t number = m_next_timer++;
    m_timers.emplace(std::pair{when, number}, std::move(action));
    m_timer_times.emplace(number, when);
    return timer_id{number};
}

void event_loop::cancel_timer(timer_id timer) {
    const auto number = static_cast<std::uint64_t>(timer);
    const auto found = m_timer_times.find(number);
    if (found == m_timer_times.end()) {
        return;
    }
    m_timers.erase(std::pair{found->second, number});
    m_timer_times.erase(found);
}

void event_loop::watch(int socket, std::uint32_t events, socket_handler handler) {
    const auto found = m_sockets.find(socket);
    const int operation = found == m_sockets.end() ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    const std::uint64_t generation = m_next_generation++;
    epoll_event event = make_event(events, generation, socket);
    if (epoll_ctl(m_epoll, operation, socket, &event) < 0) {
        abort_with_errno("epoll_ctl");
    }
    m_sockets[socket] = watched_socket{generation, std::move(handler)};
}

void event_loop::unwatch(int socket) {
    if (m_sockets.erase(socket) > 0) {
        // Fails if the descriptor is already closed, because closing removes it from the epoll set.
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, socket, nullptr);
    }
}

void event_loop::run_posted() {
    std::vector<task> posted;
    {
        const std::lock_guard lock(m_posted_mutex);
        posted.swap(m_posted);
    }
    for (const task& action : posted) {
        action();
    }
}

void event_loop::run_due_timers() {
    // Timers that the tasks add run in the next iteration, so that a timer without a delay that adds itself
    // again does not starve the sockets.
    const core::time_point start = now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= start) {
        const auto number = m_timers.begin()->first.second;
        const task action = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        m_timer_times.erase(number);
        action();
    }
}

int event_loop::wait_ms() const {
    if (m_timers.empty()) {
        return max_wait_ms;
    }
    const auto left = m_timers.begin()->first.first - now();
    // Rounded up, because waking before the deadline would cause a busy loop.
    const auto ms = std::chrono::ceil<core::milliseconds>(left).count();
    return static_cast<int>(std::clamp<std::int64_t>(ms, 0, max_wait_ms));
}

} // namespace mangoquay::transport
