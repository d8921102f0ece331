// The proxy role of a process: connects the HTTP gateway, the dispatcher, the control follower and the owned
// endpoints.
//
// Owns all of these. Gateway calls arrive on worker threads and run on the event loop's thread. Each worker
// thread blocks until its answer is available.
#pragma once

#include "gateway/http_gateway.h"
#include "gateway/proxy_backend.h"
#include "metrics/metrics_registry.h"
#include "proxy/control_follower.h"
#include "proxy/owned_endpoints.h"
#include "proxy/peer_owner_client.h"
#include "routing/statement_dispatcher.h"
#include "sessions/session_token.h"

#include <functional>
#include <memory>
#include <string>

namespace mangoquay::proxy {

class proxy_node : public gateway::proxy_backend {
public:
    proxy_node(transport::event_loop& loop, transport::message_bus& bus, transport::peer_network& network,
               const settings::settings& config, const dialect::database_dialect& sql_dialect);
    ~proxy_node() override;
    proxy_node(const proxy_node&) = delete;
    proxy_node& operator=(const proxy_node&) = delete;
    proxy_node(proxy_node&&) = delete;
    proxy_node& operator=(proxy_node&&) = delete;

    // Starts all parts. Returns an empty text, or the reason why the process cannot serve.
    std::string start();
    // Called when the connection to another host was lost.
    void on_peer_lost(const core::entry_host_id& peer);
    // Shuts down gracefully: endpoints are handed over to other owners and requests in flight are answered.
    // After shutdown_timeout the shutdown continues in any case. `done` is called on the event loop's thread.
    void shut_down(std::function<void()> done);

    routing::entry_answer execute(const routing::entry_statement& statement) override;
    gateway::operator_outcome submit(const control::command& change) override;
    gateway::operator_outcome announce(const control::announce_endpoint& announcement) override;
    gateway::operator_outcome drain(const control::drain_endpoint& change) override;
    gateway::operator_outcome hand_over(const core::group_id& group,
                                        const core::endpoint_id& target) override;
    gateway::operator_outcome replace_control_host(const core::entry_host_id& old_host,
                                                   const core::entry_host_id& new_host,
                                                   const control::socket_address& peer_address) override;
    nlohmann::json status() override;
    std::string metrics_page() override;
    void set_blocked_peers(const std::set<core::entry_host_id>& peers) override;

private:
    // Runs `start` on the event loop's thread, blocks until the handler passed to `start` has been called,
    // and returns the handler's argument.
    template <class Answer>
    Answer wait_for(std::function<void(std::function<void(Answer)>)> start);
    [[nodiscard]] nlohmann::json local_status() const;
    void continue_shut_down(std::function<void()> done);
    void finish_shut_down(std::function<void()> done);

    transport::event_loop& m_loop;
    transport::peer_network& m_network;
    const settings::settings& m_settings;
    metrics::metrics_registry m_metrics;
    sessions::token_codec m_tokens;
    control_follower m_follower;
    owned_endpoints m_owned_endpoints;
    peer_owner_client m_owner_client;
    routing::statement_dispatcher m_dispatcher;
    gateway::http_gateway m_gateway;
    core::deadline m_shutdown_limit; // Set when a shutdown starts.
    core::deadline m_idle_limit;
};

} // namespace mangoquay::proxy
