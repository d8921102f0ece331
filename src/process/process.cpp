// Starts the roles of this process and stops them on SIGTERM or SIGINT.
#include "process/process.h"

#include "control_host/control_host.h"
#include "core/log.h"
#include "dialect/postgres_dialect.h"
#include "process/stop_signals.h"
#include "proxy/proxy_node.h"
#include "transport/event_loop.h"
#include "transport/message_bus.h"
#include "transport/peer_network.h"

#include <memory>

namespace mangoquay::process {
namespace {

int fail(const std::string& message) {
    core::log_line(core::log_level::error, "process", message);
    return 1;
}

} // namespace

int run_process(const settings::settings& process_settings) {
    stop_signals signals;
    transport::event_loop loop;
    signals.watch(loop);
    transport::peer_network network(loop, process_settings.m_host, process_settings.m_cluster_key);
    transport::message_bus bus(loop, network, process_settings.m_host);
    const dialect::postgres_dialect sql_dialect;
    for (const settings::control_host& host : process_settings.m_control_hosts) {
        if (host.m_host != process_settings.m_host) {
            network.set_address(host.m_host, host.m_peer_address);
        }
    }
    const auto listening = network.listen(process_settings.m_peer_address);
    if (!listening) {
        return fail("cannot listen for peers reason=" + listening.reason());
    }

    std::unique_ptr<control_host::control_host> control;
    if (process_settings.m_control) {
        control =
            std::make_unique<control_host::control_host>(loop, bus, network, process_settings, sql_dialect);
        const auto started = control->start();
        if (!started) {
            return fail("cannot start the control role reason=" + started.reason());
        }
    }
    std::unique_ptr<proxy::proxy_node> proxy;
    if (process_settings.m_proxy) {
        proxy = std::make_unique<proxy::proxy_node>(loop, bus, network, process_settings, sql_dialect);
        network.on_peer_lost([&](const core::entry_host_id& peer) { proxy->on_peer_lost(peer); });
        const std::string reason = proxy->start();
        if (!reason.empty()) {
            return fail("cannot start the proxy role reason=" + reason);
        }
    }

    signals.on_stop([&] {
        if (proxy) {
            proxy->shut_down([&loop] { loop.stop(); });
        } else {
            loop.stop();
        }
    });
    core::log_line(core::log_level::info, "process", "started host=" + process_settings.m_host.value());
    loop.run();
    core::log_line(core::log_level::info, "process", "stopped host=" + process_settings.m_host.value());
    return 0;
}

} // namespace mangoquay::process
