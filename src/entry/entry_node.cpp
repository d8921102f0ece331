// Wires the relay core to sockets and news.
#include "entry/entry_node.h"

#include "core/log.h"
#include "metrics/page_writer.h"

#include <algorithm>
#include <utility>

namespace mangoquay::entry {
namespace {

// Resolution of limits and pauses while statements are in progress.
constexpr core::milliseconds busy_tick{10};
constexpr core::milliseconds idle_tick{100};
constexpr core::milliseconds summary_period{5000};
constexpr core::milliseconds drain_tick{100};
// The balancer asks each second and needs two misses (sheet).
constexpr core::milliseconds balancer_notice{2300};
// Spreads the callers' reconnects over the remaining hosts.
constexpr std::size_t sessions_closed_per_step = 40;
// Lines about single statements between two summaries; further ones are counted only.
constexpr std::uint64_t most_lines = 100;
// Kept for descriptors other than sessions and database links.
constexpr std::uint32_t reserved_descriptors = 500;

caller_limits limits_from(const settings::fleet_settings& chosen) {
    caller_limits limits;
    const std::uint32_t usable = chosen.m_max_descriptors > 2 * reserved_descriptors
                                     ? chosen.m_max_descriptors - reserved_descriptors
                                     : chosen.m_max_descriptors / 2;
    limits.m_sessions = usable;
    return limits;
}

} // namespace

entry_node::entry_node(transport::event_loop& loop, transport::message_bus& bus,
                       transport::peer_network& network, const settings::fleet_settings& chosen,
                       const session_protocol& protocol, documents::document_decoder decoder)
    : m_loop(loop), m_settings(chosen), m_protocol(protocol), m_decoder(decoder),
      m_core(*this, relay::relay_limits{.m_zone = chosen.m_zone}),
      m_callers(loop, protocol, limits_from(chosen)),
      m_news(loop, bus, network,
             {fleet::host_id(chosen.m_peer_address), chosen.m_peer_address, true, chosen.m_zone},
             news_handlers()),
      m_exchange(loop, bus, protocol, exchange_handlers()) {
    network.on_peer_lost([this](const core::entry_host_id& host) { m_exchange.host_lost(host); });
}

entry_node::~entry_node() = default;

fleet::follower_handlers entry_node::news_handlers() {
    fleet::follower_handlers handlers;
    handlers.m_document = [this](documents::document_version version, const std::string& bytes) {
        document_arrived(version, bytes);
    };
    handlers.m_endpoints_changed = [this] { endpoints_changed(); };
    handlers.m_entry_hosts = [this](std::uint32_t count) { m_core.set_entry_host_count(count); };
    handlers.m_ready_hosts = [this](const lending::hosts_by_zone& hosts) {
        m_ready_hosts = hosts;
        share_links();
    };
    handlers.m_sightings = [this] { return m_core.primary_observations(core::now()); };
    handlers.m_ready = [this] { return ready(); };
    handlers.m_version = [this] { return m_core.version(); };
    return handlers;
}

borrowed_link_handlers entry_node::exchange_handlers() {
    borrowed_link_handlers handlers;
    handlers.m_opened = [this](relay::connection_id link, const lending::loan_offer& offer) {
        m_core.on_connection_lent(link, offer, core::now());
    };
    handlers.m_answered = [this](relay::connection_id link, const relay::database_answer& answer) {
        m_core.on_answer_received(link, answer, core::now());
    };
    handlers.m_refused = [this](relay::connection_id link, lending::loan_refusal reason) {
        m_core.on_loan_refused(link, reason, core::now());
    };
    handlers.m_lost = [this](relay::connection_id link, const std::string& reason) {
        write_bounded("entry", "borrowed link lost reason=\"" + reason + "\"");
        m_core.on_loan_lost(link, reason, core::now());
    };
    handlers.m_database_lost = [this](const core::endpoint_id& endpoint, const std::string& reason) {
        write_bounded("entry",
                      "lent database link ended endpoint=" + endpoint.value() + " reason=\"" + reason + "\"");
    };
    return handlers;
}

void entry_node::share_links() {
    const core::entry_host_id self = fleet::host_id(m_settings.m_peer_address);
    std::vector<registry::endpoint_report> shared;
    for (const registry::endpoint_report& report : m_news.endpoints().listed()) {
        if (m_core.shares_connections(report.m_service)) {
            shared.push_back(report);
        }
    }
    lending::lenders_by_endpoint lenders = lending::choose_lenders(m_ready_hosts, shared);
    std::map<core::endpoint_id, std::uint32_t> kept;
    std::vector<lending::lent_endpoint> own;
    for (const registry::endpoint_report& report : shared) {
        const std::vector<core::entry_host_id>& hosts = lenders[report.m_id];
        if (hosts.empty()) {
            continue;
        }
        const std::uint32_t usable = m_core.usable_connections(report.m_service);
        kept[report.m_id] = lending::connections_kept_by(self, report, m_ready_hosts, usable);
        if (std::ranges::find(hosts, self) != hosts.end()) {
            const auto links = lending::connections_per_lender(report, m_ready_hosts, usable, hosts.size());
            own.push_back(lending::endpoint_share(report, links, hosts.size()));
        }
    }
    m_exchange.lenders_changed(std::move(lenders));
    m_core.set_lent_endpoints(kept, core::now());
    m_exchange.assign(own);
}

std::string entry_node::start() {
    const auto listening = m_callers.listen(*m_settings.m_caller_address, m_core);
    if (!listening) {
        return "cannot listen for callers reason=" + listening.reason();
    }
    m_news.start(m_settings.m_known_control_addresses);
    m_exchange.start();
    m_next_summary = core::now() + summary_period;
    tick();
    return {};
}

void entry_node::document_arrived(documents::document_version version, const std::string& bytes) {
    if (version <= m_core.version()) {
        return;
    }
    auto decoded = m_decoder(bytes);
    if (!decoded) {
        core::log_line(core::log_level::error, "entry",
                       "configuration from a control host cannot be read reason=" + decoded.reason());
        return;
    }
    const std::string text = std::to_string(version.value());
    m_core.configure(std::move(*decoded), core::now());
    core::log_line(core::log_level::info, "entry", "configuration in force version=" + text);
    endpoints_changed();
}

void entry_node::endpoints_changed() {
    m_core.on_endpoints_changed(m_news.endpoints().listed(), core::now());
    share_links();
    m_ready = m_core.configured() && !m_stopped;
}

void entry_node::tick() {
    const core::time_point now = core::now();
    m_core.tick(now);
    tell_failing_primaries(now);
    if (now >= m_next_summary) {
        write_summary();
        m_next_summary = now + summary_period;
    }
    m_loop.after(m_core.active_session_count() > 0 ? busy_tick : idle_tick, [this] { tick(); });
}

// Control hosts replace a lost primary sooner when they hear of it at once.
void entry_node::tell_failing_primaries(core::time_point now) {
    std::set<core::endpoint_id> failing;
    for (const relay::primary_observation& seen : m_core.primary_observations(now)) {
        if (seen.m_failing && !seen.m_answered) {
            failing.insert(seen.m_endpoint);
        }
    }
    if (std::exchange(m_failing, failing) != failing) {
        m_news.ask();
    }
}

void entry_node::send_answer(relay::session_id session, const relay::session_answer& answer) {
    m_callers.answer(session, answer);
}

void entry_node::close_session(relay::session_id session) {
    m_callers.close(session);
}

void entry_node::open_connection(relay::connection_id link, const registry::endpoint_report& target) {
    database_link_handlers handlers;
    handlers.m_opened = [this, link](std::optional<core::history_position> position) {
        m_core.on_connection_opened(link, position, core::now());
    };
    handlers.m_answered = [this, link](const relay::database_answer& answer) {
        m_core.on_answer_received(link, answer, core::now());
    };
    handlers.m_failed = [this, link, id = target.m_id](std::optional<relay::refusal> reason,
                                                       const std::string& text) {
        write_bounded("entry", "database link ended endpoint=" + id.value() + " reason=\"" + text + "\"");
        const auto failed = std::move(m_links[link]); // outlives the call that ends it
        m_links.erase(link);
        m_core.on_connection_failed(link, reason, core::now());
    };
    m_links[link] = std::make_unique<database_link>(m_loop, m_protocol, target, std::move(handlers));
}

void entry_node::send_requests(relay::connection_id link,
                               const std::vector<relay::database_request>& requests) {
    if (m_exchange.send(link, requests)) {
        return;
    }
    // A borrowed link that is lost is not held any more; the report of its loss is on its way to the core.
    if (const auto own = m_links.find(link); own != m_links.end()) {
        own->second->send(requests);
    }
}

void entry_node::close_connection(relay::connection_id link) {
    if (!m_exchange.close(link)) {
        m_links.erase(link);
    }
}

void entry_node::record_event(const relay::statement_event& event) {
    // Statements that take the usual way are counted, not written.
    const bool usual = event.m_attempts <= 1 && std::string_view(event.m_action) == "sent";
    if (usual) {
        return;
    }
    write_bounded("relay", std::string(event.m_action) + " request=" + event.m_request +
                               " endpoint=" + event.m_endpoint + " reason=\"" + event.m_reason +
                               "\" age_ms=" + std::to_string(event.m_age_ms) +
                               " attempts=" + std::to_string(event.m_attempts) +
                               " configuration=" + std::to_string(m_core.version().value()));
}

void entry_node::write_bounded(const char* prefix, const std::string& text) {
    if (m_lines >= most_lines && m_settings.m_log_level != core::log_level::debug) {
        ++m_lines_left_out;
        return;
    }
    ++m_lines;
    core::log_line(core::log_level::info, prefix, text);
}

std::string entry_node::metrics_page() const {
    metrics::page_writer lent;
    const lending::lender& lender = m_exchange.lender();
    lent.add_line("links_lent", {}, static_cast<double>(lender.loan_count()));
    lent.add_line("links_to_lend", {}, static_cast<double>(lender.connection_count()));
    lent.add_line("loans_granted_total", {}, static_cast<double>(lender.counters().m_granted));
    lent.add_line("loans_refused_total", {}, static_cast<double>(lender.counters().m_refused));
    return m_metrics.render_page(m_core, m_callers.turned_away()) + lent.take_text();
}

void entry_node::write_summary() {
    const relay::relay_counters& counted = m_core.counters();
    core::log_line(core::log_level::info, "relay",
                   "summary sessions=" + std::to_string(m_core.session_count()) +
                       " active=" + std::to_string(m_core.active_session_count()) +
                       " links=" + std::to_string(m_core.connection_count()) +
                       " statements=" + std::to_string(counted.m_statements) + " succeeded=" +
                       std::to_string(counted.m_succeeded) + " refused=" + std::to_string(counted.m_refused) +
                       " uncertain=" + std::to_string(counted.m_uncertain) + " repeated=" +
                       std::to_string(counted.m_repeated) + " probes=" + std::to_string(counted.m_probes) +
                       " borrowed=" + std::to_string(counted.m_connections_borrowed) +
                       " lent=" + std::to_string(m_exchange.lender().counters().m_granted) +
                       " lends=" + std::to_string(m_exchange.lender().connection_count()) +
                       " lines_left_out=" + std::to_string(std::exchange(m_lines_left_out, 0)));
    m_lines = 0;
}

void entry_node::shut_down(std::function<void()> stopped) {
    const core::time_point now = core::now();
    m_stopped = std::move(stopped);
    m_ready = false;
    m_exchange.stop_lending();
    m_news.ask();
    const auto limit = m_settings.m_stop_timeout;
    m_drain_sessions = core::deadline_after(now, std::min<core::milliseconds>(balancer_notice, limit / 2));
    m_drain_transactions = core::deadline_after(now, limit * 55 / 100);
    m_drain_end = core::deadline_after(now, limit * 85 / 100);
    core::log_line(core::log_level::info, "entry",
                   "stopping sessions=" + std::to_string(m_core.session_count()));
    drain_step();
}

void entry_node::drain_step() {
    const core::time_point now = core::now();
    std::size_t left = m_core.session_count();
    if (m_drain_transactions.passed(now)) {
        m_core.abort_idle_transactions(now);
    }
    if (m_drain_sessions.passed(now)) {
        left = m_core.close_idle_sessions(sessions_closed_per_step);
    }
    if (!m_accepting_ended && m_drain_sessions.passed(now) &&
        (left == 0 || m_drain_transactions.passed(now))) {
        m_accepting_ended = true;
        m_callers.stop_accepting();
        left = 1; // one more round for what was accepted before
    }
    const bool done =
        m_accepting_ended && left == 0 && m_callers.open() == 0 && m_exchange.lender().loans() == 0;
    if (done || m_drain_end.passed(now)) {
        core::log_line(core::log_level::info, "entry", "stopped sessions_left=" + std::to_string(left));
        m_loop.after(drain_tick, m_stopped); // the last answers leave first
        return;
    }
    m_loop.after(drain_tick, [this] { drain_step(); });
}

} // namespace mangoquay::entry
