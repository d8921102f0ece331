// Implements the gateway's backend calls and the graceful shutdown.
#include "proxy/proxy_node.h"

#include "control/codec.h"
#include "core/log.h"

#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace mangoquay::proxy {
namespace {

// Requests in flight have this long to finish. After that, the process stops in any case.
constexpr core::milliseconds shutdown_timeout{30000};
constexpr core::milliseconds shutdown_poll_period{50};
// Open connections delay the shutdown for at most this long if no request is in progress.
constexpr core::milliseconds idle_connection_timeout{3000};
// For this long after the start of the drain, connections are still accepted, because the load balancer may
// continue to open them.
constexpr core::milliseconds drain_grace_period{500};

gateway::operator_outcome refused_operation(const std::string& message) {
    gateway::operator_outcome outcome;
    outcome.m_reason = core::reason::invalid_change;
    outcome.m_outcome = {false, {}, "invalid_change", message};
    return outcome;
}

} // namespace

proxy_node::proxy_node(transport::event_loop& loop, transport::message_bus& bus,
                       transport::peer_network& network, const settings::settings& config,
                       const dialect::database_dialect& sql_dialect)
    : m_loop(loop), m_network(network), m_settings(config), m_tokens(config.m_session_keys),
      m_follower(loop, bus, network, config), m_owned_endpoints(loop, bus, m_follower, config, sql_dialect),
      m_owner_client(loop, bus, m_owned_endpoints, config.m_host),
      m_dispatcher(
          {config.m_host, config.m_zone, m_follower.present_incarnation(),
           std::hash<core::entry_host_id>{}(config.m_host)},
          {[] { return transport::event_loop::now(); },
           [&loop](core::time_point when, std::function<void()> task) { loop.run_at(when, std::move(task)); },
           [this] {
               const bool valid = m_follower.lease_valid(transport::event_loop::now());
               return routing::view_status{valid, valid};
           }},
          m_follower.state(), m_tokens, m_owner_client, m_metrics),
      m_gateway(config, *this) {
    m_follower.on_change([this] { m_owned_endpoints.reconcile(); });
    m_follower.set_report_source(
        [this](membership::heartbeat& heartbeat) { m_owned_endpoints.fill_heartbeat(heartbeat); });
}

proxy_node::~proxy_node() = default;

std::string proxy_node::start() {
    m_follower.start();
    m_owned_endpoints.start();
    return m_gateway.start();
}

void proxy_node::on_peer_lost(const core::entry_host_id& peer) {
    m_dispatcher.on_owner_connection_lost(peer);
    m_owned_endpoints.on_origin_lost(peer);
}

template <class Answer>
Answer proxy_node::wait_for(std::function<void(std::function<void(Answer)>)> start) {
    const auto promise = std::make_shared<std::promise<Answer>>();
    auto answer = promise->get_future();
    m_loop.post([start = std::move(start), promise] {
        start([promise](Answer value) { promise->set_value(std::move(value)); });
    });
    return answer.get();
}

routing::entry_answer proxy_node::execute(const routing::entry_statement& statement) {
    return wait_for<routing::entry_answer>(
        [this, &statement](const auto& done) { m_dispatcher.execute(statement, done); });
}

gateway::operator_outcome proxy_node::submit(const control::command& change) {
    return wait_for<gateway::operator_outcome>(
        [this, &change](const auto& done) { m_follower.submit(change, done); });
}

gateway::operator_outcome proxy_node::announce(const control::announce_endpoint& announcement) {
    return wait_for<gateway::operator_outcome>(
        [this, &announcement](const auto& done) { m_follower.announce(announcement, done); });
}

gateway::operator_outcome proxy_node::drain(const control::drain_endpoint& change) {
    return submit(change);
}

// When the primary is drained, the control leader hands its role over to a replica that has caught up.
gateway::operator_outcome proxy_node::hand_over(const core::group_id& group,
                                                const core::endpoint_id& target) {
    if (!target.value().empty()) {
        return refused_operation(
            "target: not supported; omit it, and the control leader chooses the most advanced replica");
    }
    return wait_for<gateway::operator_outcome>([this, &group](const auto& done) {
        const auto record = m_follower.state().m_groups.find(group);
        if (record == m_follower.state().m_groups.end() || record->second.m_primary.value().empty()) {
            done(refused_operation("group: unknown, or it has no primary at present"));
            return;
        }
        m_follower.submit(control::drain_endpoint{record->second.m_primary, true}, done);
    });
}

gateway::operator_outcome proxy_node::replace_control_host(const core::entry_host_id& old_host,
                                                           const core::entry_host_id& new_host,
                                                           const control::socket_address&) {
    return wait_for<gateway::operator_outcome>([this, &old_host, &new_host](const auto& done) {
        gateway::operator_outcome outcome;
        const bool sent = m_follower.request_control_host_replacement(old_host, new_host);
        outcome.m_verdict = sent ? core::verdict::may_have_run : core::verdict::not_run;
        outcome.m_reason = core::reason::control_not_current;
        outcome.m_outcome.m_message = "see control_members in the status for the outcome";
        done(outcome);
    });
}

nlohmann::json proxy_node::local_status() const {
    const auto now = transport::event_loop::now();
    const control::control_state& state = m_follower.state();
    nlohmann::json shared = nlohmann::json::parse(control::encode(state));
    nlohmann::json proxies = nlohmann::json::object();
    for (const auto& [host, record] : state.m_proxies) {
        proxies[host.value()] = {{"revision", nullptr}};
    }
    shared["proxies"] = proxies;
    shared["host"] = m_settings.m_host.value();
    shared["revision"] = state.m_revision.value();
    shared["lease_valid"] = m_follower.lease_valid(now);
    shared["view_current"] = m_follower.lease_valid(now);
    shared["leader"] = m_follower.leader().value();
    return shared;
}

nlohmann::json proxy_node::status() {
    struct answers {
        nlohmann::json m_local;
        std::string m_leader;
    };
    const auto answers_received = wait_for<answers>([this](const auto& done) {
        m_follower.query_status([this, done](std::string text) { done({local_status(), std::move(text)}); });
    });
    nlohmann::json status = answers_received.m_local;
    status["leader_answered"] = !answers_received.m_leader.empty();
    if (!answers_received.m_leader.empty()) {
        status.update(nlohmann::json::parse(answers_received.m_leader));
    }
    return status;
}

std::string proxy_node::metrics_page() {
    return wait_for<std::string>([this](const auto& done) {
        auto gauges = m_owned_endpoints.gauges();
        const auto now = transport::event_loop::now();
        gauges.push_back({"lease_valid", {}, m_follower.lease_valid(now) ? 1.0 : 0.0});
        gauges.push_back(
            {"applied_revision", {}, static_cast<double>(m_follower.state().m_revision.value())});
        gauges.push_back(
            {"requests_in_progress", {}, static_cast<double>(m_dispatcher.requests_in_progress())});
        gauges.push_back({"open_transactions", {}, static_cast<double>(m_dispatcher.open_transactions())});
        done(m_metrics.render_page(gauges));
    });
}

void proxy_node::set_blocked_peers(const std::set<core::entry_host_id>& peers) {
    m_loop.post([this, peers] { m_network.set_blocked_peers(peers); });
}

void proxy_node::shut_down(std::function<void()> done) {
    core::log_line(core::log_level::info, "proxy", "graceful shutdown started");
    m_follower.begin_leaving();
    m_gateway.begin_drain();
    const auto now = transport::event_loop::now();
    m_shutdown_limit = core::deadline_after(now, shutdown_timeout);
    m_idle_limit = core::deadline_after(now, idle_connection_timeout);
    m_loop.run_after(drain_grace_period, [this, done = std::move(done)] {
        m_gateway.stop_accepting();
        continue_shut_down(done);
    });
}

void proxy_node::continue_shut_down(std::function<void()> done) {
    const auto now = transport::event_loop::now();
    // Without a valid lease there is no control leader that could assign the endpoints to other owners, so
    // waiting has no use.
    const bool handed_over = m_owned_endpoints.empty() || !m_follower.lease_valid(now);
    const bool requests_finished =
        m_dispatcher.requests_in_progress() == 0 && m_dispatcher.open_transactions() == 0;
    // Closing a connection that its caller is about to use again would abort that request. Each response asks
    // the caller to close the connection, so that only idle connections remain.
    const bool connections_closed = m_gateway.connection_count() == 0 || m_idle_limit.passed(now);
    if ((handed_over && requests_finished && connections_closed) || m_shutdown_limit.passed(now)) {
        finish_shut_down(std::move(done));
        return;
    }
    m_loop.run_after(shutdown_poll_period, [this, done = std::move(done)] { continue_shut_down(done); });
}

void proxy_node::finish_shut_down(std::function<void()> done) {
    m_dispatcher.begin_shutdown();
    // A separate thread is needed, because wait_until_idle() blocks and responses in progress need the event
    // loop.
    std::thread([this, done = std::move(done)] {
        const auto limit = core::deadline_after(transport::event_loop::now(), core::milliseconds(5000));
        if (!m_gateway.wait_until_idle(limit)) {
            core::log_line(core::log_level::warning, "proxy",
                           "responses in progress were aborted at the end of the shutdown");
        }
        m_gateway.stop();
        m_loop.post(done);
    }).detach();
}

} // namespace mangoquay::proxy
