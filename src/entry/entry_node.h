// Shell of an entry host of a discovered fleet: joins callers' sessions, the relay core, database links and
// the news of control hosts.
//
// Owns all of these. Runs on the event loop's thread. Decides only about its own stop: the balancer is told
// first, idle sessions are closed once it has had time to notice, transactions get half of the limit, and
// links that are lent out go on until their work has ended.
#pragma once

#include "entry/caller_sessions.h"
#include "entry/database_link.h"
#include "entry/link_exchange.h"
#include "fleet/news_follower.h"
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
               const settings::fleet_settings& chosen, const session_protocol& protocol,
               documents::document_decoder decoder);
    ~entry_node() override;
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    entry_node(entry_node&&) = delete;
    entry_node& operator=(entry_node&&) = delete;

    // Empty, or why the host cannot start.
    std::string start();
    // Calls `stopped` when nothing is in progress any more, or at the limit.
    void shut_down(std::function<void()> stopped);
    // May be called from any thread.
    [[nodiscard]] bool ready() const { return m_ready.load(); }
    // Figures of this host in the text exposition format.
    [[nodiscard]] std::string metrics_page() const;

private:
    void send_answer(relay::session_id session, const relay::session_answer& answer) override;
    void close_session(relay::session_id session) override;
    void open_connection(relay::connection_id link, const registry::endpoint_report& target) override;
    void borrow_connection(relay::connection_id link, const core::endpoint_id& endpoint,
                           const lending::loan_terms& terms,
                           const std::vector<relay::database_request>& first_work) override {
        m_exchange.borrow(link, endpoint, terms, first_work);
    }
    void return_connection(relay::connection_id link, const lending::returned_state& remains) override {
        m_exchange.give_back(link, remains);
    }
    void send_requests(relay::connection_id link,
                       const std::vector<relay::database_request>& requests) override;
    void close_connection(relay::connection_id link) override;
    void record_event(const relay::statement_event& event) override;
    void count_statement(const relay::answered_statement& statement) override {
        m_metrics.record_statement(statement);
    }

    fleet::follower_handlers news_handlers();
    borrowed_link_handlers exchange_handlers();
    // Which hosts lend links to which endpoints, this one included.
    void share_links();
    void document_arrived(documents::document_version version, const std::string& bytes);
    void endpoints_changed();
    void tick();
    void tell_failing_primaries(core::time_point now);
    void drain_step();
    // At most so many lines between two summaries; the others are counted.
    void write_bounded(const char* prefix, const std::string& text);
    void write_summary();

    transport::event_loop& m_loop;
    settings::fleet_settings m_settings;
    const session_protocol& m_protocol;
    documents::document_decoder m_decoder;
    metrics::session_metrics m_metrics;
    relay::relay_core m_core;
    caller_sessions m_callers;
    fleet::news_follower m_news;
    link_exchange m_exchange;
    lending::hosts_by_zone m_ready_hosts;
    std::map<relay::connection_id, std::unique_ptr<database_link>> m_links;
    std::atomic<bool> m_ready{false};
    std::set<core::endpoint_id> m_failing; // primaries that control hosts were told of
    core::time_point m_next_summary{};
    std::uint64_t m_lines = 0; // written since the last summary
    std::uint64_t m_lines_left_out = 0;
    core::deadline m_drain_sessions; // while stopping
    core::deadline m_drain_transactions;
    core::deadline m_drain_end;
    std::function<void()> m_stopped; // set while stopping
    bool m_accepting_ended = false;
};

} // namespace mangoquay::entry
