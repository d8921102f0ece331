// Entry host of a fleet whose hosts are discovered at run time: connects callers' sessions, the relay core,
// database connections and the updates of control hosts.
//
// Owns all of these. Runs on the event loop's thread. Its only decisions are about its own shutdown: the load
// balancer is notified first, idle sessions are closed once it has had time to detect this, transactions may
// run for about half of the limit, and lent connections stay in use until their loans have ended.
#pragma once

#include "entry/caller_sessions.h"
#include "entry/database_connection.h"
#include "entry/loan_exchange.h"
#include "entry/planned_stop.h"
#include "fleet/lease_renewal.h"
#include "fleet/quota_renewal.h"
#include "fleet/update_subscriber.h"
#include "metrics/session_metrics.h"
#include "settings/fleet_settings.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>

namespace mangoquay::entry {

class entry_node final : private relay::relay_ports {
public:
    entry_node(transport::event_loop& loop, transport::message_bus& bus, transport::peer_network& network,
               const settings::fleet_settings& host_settings, const session_protocol& protocol,
               documents::document_decoder decoder);
    ~entry_node() override;
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    entry_node(entry_node&&) = delete;
    entry_node& operator=(entry_node&&) = delete;

    // Returns an empty text, or the reason why the host cannot start.
    std::string start();
    // Calls `on_stopped` when nothing is in progress any more, or at 85 % of the stop limit of the settings.
    void shut_down(std::function<void()> on_stopped);
    // May be called from any thread.
    [[nodiscard]] bool ready() const { return m_ready.load(); }
    // Metrics of this host in the text exposition format of Prometheus.
    [[nodiscard]] std::string metrics_page() const;

private:
    void send_answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id session) override;
    void open_connection(relay::connection_id connection, const registry::endpoint_report& target) override;
    void borrow_connection(relay::connection_id connection, const core::endpoint_id& endpoint,
                           const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& initial_requests) override {
        m_exchange.borrow(connection, endpoint, terms, initial_requests);
    }
    void return_connection(relay::connection_id connection, const lending::returned_state& state) override {
        m_exchange.return_connection(connection, state);
    }
    void send_requests(relay::connection_id connection,
                       const std::vector<relay::database_request>& requests) override;
    void close_connection(relay::connection_id connection) override;
    void record_event(const relay::statement_event& event) override;
    [[nodiscard]] bool can_encode(const relay::database_request& request) const override {
        return m_protocol.can_encode(request);
    }
    void count_statement(const relay::answered_statement& statement) override {
        m_metrics.record_statement(statement);
    }

    fleet::subscriber_handlers make_subscriber_handlers();
    borrowed_connection_handlers make_loan_handlers();
    // Recomputes which hosts, including this one, lend connections to which endpoints.
    void update_lending();
    void on_document_received(const fleet::received_document& received);
    void on_endpoints_changed();
    void apply_lease();
    void on_tokens_needed() override;
    void poll_quotas();
    void tick();
    void report_failing_primaries(core::time_point now);
    void drain_step();
    // Logs the text unless max_lines_per_summary lines were logged since the last summary; the others are
    // counted.
    void write_limited(const char* prefix, const std::string& text);
    void write_summary();

    transport::event_loop& m_loop;
    const transport::message_bus& m_bus;
    settings::fleet_settings m_settings;
    const session_protocol& m_protocol;
    documents::document_decoder m_decoder;
    metrics::session_metrics m_metrics;
    relay::relay_core m_core;
    caller_sessions m_callers;
    fleet::update_subscriber m_subscriber;
    fleet::lease_renewal m_lease;
    fleet::quota_renewal m_quotas;
    core::deadline m_quota_polls_end; // Requests for shares are checked more often than by tick() until then.
    bool m_quota_poll_set = false;
    loan_exchange m_exchange;
    lending::hosts_by_zone m_ready_hosts;
    std::map<relay::connection_id, std::unique_ptr<database_connection>> m_connections;
    std::atomic<bool> m_ready{false};
    std::set<core::endpoint_id> m_reported_failing; // Failing primaries that were reported to control hosts.
    core::time_point m_next_summary{};
    std::uint64_t m_line_count = 0; // Logged since the last summary.
    std::uint64_t m_suppressed_line_count = 0;
    std::optional<planned_stop> m_stop; // Set once the stop has begun.
    std::function<void()> m_on_stopped; // Set while the host stops.
    bool m_accepting_ended = false;
};

} // namespace mangoquay::entry
