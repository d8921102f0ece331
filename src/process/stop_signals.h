// Delivers SIGTERM and SIGINT as events of the event loop. SIGHUP is only logged and SIGPIPE is ignored.
//
// Owns: the signal descriptor.
#pragma once

#include "transport/event_loop.h"

#include <functional>
#include <utility>

namespace mangoquay::process {

// Must be constructed before any thread starts, so that all threads inherit the mask of blocked signals.
class stop_signals {
public:
    stop_signals();
    ~stop_signals();
    stop_signals(const stop_signals&) = delete;
    stop_signals& operator=(const stop_signals&) = delete;
    stop_signals(stop_signals&&) = delete;
    stop_signals& operator=(stop_signals&&) = delete;

    // Registers the signal descriptor with `loop`, which must not run after this object is destroyed.
    void watch(transport::event_loop& loop);
    // `handler` is called on the loop's thread at the first SIGTERM or SIGINT. Later signals have no effect.
    void on_stop(std::function<void()> handler) { m_on_stop = std::move(handler); }

private:
    int m_descriptor;
    bool m_stopping = false;
    std::function<void()> m_on_stop;
};

} // namespace mangoquay::process
