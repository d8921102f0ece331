// Receives signals through a signalfd that is registered with the event loop.
#include "process/stop_signals.h"

#include "core/log.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace mangoquay::process {

stop_signals::stop_signals() : m_descriptor(-1) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    m_descriptor = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

stop_signals::~stop_signals() {
    ::close(m_descriptor);
}

void stop_signals::watch(transport::event_loop& loop) {
    loop.watch(m_descriptor, EPOLLIN, [this](std::uint32_t) {
        signalfd_siginfo info{};
        while (::read(m_descriptor, &info, sizeof info) == sizeof info) {
            if (info.ssi_signo == SIGHUP) {
                core::log_line(core::log_level::info, "process",
                               "SIGHUP ignored: settings are read only at startup");
                continue;
            }
            if (!std::exchange(m_stopping, true) && m_on_stop) {
                m_on_stop();
            }
        }
    });
}

} // namespace mangoquay::process
