// SIGTERM and SIGINT as events of the loop; SIGHUP and SIGPIPE are taken and have no effect.
#pragma once

#include "transport/event_loop.h"

#include <functional>
#include <utility>

namespace mangoquay::process {

// Construct before any thread starts, so that all inherit the blocked mask.
class stop_signals {
public:
    stop_signals();
    ~stop_signals();
    stop_signals(const stop_signals&) = delete;
    stop_signals& operator=(const stop_signals&) = delete;
    stop_signals(stop_signals&&) = delete;
    stop_signals& operator=(stop_signals&&) = delete;

    void watch(transport::event_loop& loop);
    // Called at the first signal; a second one changes nothing.
    void on_stop(std::function<void()> handler) { m_on_stop = std::move(handler); }

private:
    int m_descriptor;
    bool m_stopping = false;
    std::function<void()> m_on_stop;
};

} // namespace mangoquay::process
