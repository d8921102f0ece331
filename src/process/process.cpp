// Starts the roles of a process and stops them on SIGTERM or SIGINT.
#include "process/process.h"

#include "control_host/control_host.h"
#include "core/log.h"
#include "dialect/postgres_dialect.h"
#include "proxy/proxy_node.h"
#include "transport/event_loop.h"
#include "transport/message_bus.h"
#include "transport/peer_network.h"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <memory>

namespace mangoquay::process {
namespace {

// A descriptor that becomes readable on SIGTERM and SIGINT. Called before any thread starts, so that all
// inherit the blocked mask.
int take_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
}

int fail(const std::string& what) {
    core::log_line(core::log_level::error, "process", what);
    return 1;
}

} // namespace

int run_process(const settings::settings& chosen) {
    const int stop_signals = take_stop_signals();
    transport::event_loop loop;
    transport::peer_network network(loop, chosen.m_host, chosen.m_cluster_key);
    transport::message_bus bus(loop, network, chosen.m_host);
    const dialect::postgres_dialect strategy;
    for (const settings::control_host& host : chosen.m_control_hosts) {
        if (host.m_host != chosen.m_host) {
            network.set_address(host.m_host, host.m_peer_address);
        }
    }
    const auto listening = network.listen(chosen.m_peer_address);
    if (!listening) {
        return fail("cannot listen for peers reason=" + listening.reason());
    }

    std::unique_ptr<control_host::control_host> control;
    if (chosen.m_control) {
        control = std::make_unique<control_host::control_host>(loop, bus, network, chosen, strategy);
        const auto started = control->start();
        if (!started) {
            return fail("cannot start the control role reason=" + started.reason());
        }
    }
    std::unique_ptr<proxy::proxy_node> proxy;
    if (chosen.m_proxy) {
        proxy = std::make_unique<proxy::proxy_node>(loop, bus, network, chosen, strategy);
        network.on_peer_lost([&](const core::entry_host_id& peer) { proxy->peer_lost(peer); });
        const std::string fault = proxy->start();
        if (!fault.empty()) {
            return fail("cannot start the proxy role reason=" + fault);
        }
    }

    loop.watch(stop_signals, EPOLLIN, [&](std::uint32_t) {
        signalfd_siginfo info{};
        if (::read(stop_signals, &info, sizeof info) != sizeof info) {
            return;
        }
        loop.unwatch(stop_signals); // a second signal changes nothing
        if (proxy) {
            proxy->shut_down([&loop] { loop.stop(); });
        } else {
            loop.stop();
        }
    });
    core::log_line(core::log_level::info, "process", "started host=" + chosen.m_host.value());
    loop.run();
    core::log_line(core::log_level::info, "process", "stopped host=" + chosen.m_host.value());
    return 0;
}

} // namespace mangoquay::process
