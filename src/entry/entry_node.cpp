// Connects the relay core to sockets and to the updates of control hosts.
#include "entry/entry_node.h"

#include "core/log.h"
#include "core/process_number.h"
#include "core/quoting.h"
#include "metrics/page_writer.h"
#include "metrics/peer_traffic.h"

#include <algorithm>
#include <utility>

namespace mangoquay::entry {
namespace {

// Resolution of timeouts and delays while statements are in progress.
constexpr core::milliseconds active_tick_interval{10};
constexpr core::milliseconds idle_tick_interval{100};
constexpr core::milliseconds summary_period{5000};
constexpr core::milliseconds drain_interval{100};
// Log lines about single statements between two summaries. Further ones are only counted.
constexpr std::uint64_t max_lines_per_summary = 100;
// Reserved for descriptors other than those of sessions and database connections.
constexpr std::uint32_t reserved_descriptors = 500;
// One in so many descriptors is left for HTTP clients and for peer connections without a handshake.
constexpr std::uint32_t reserved_for_unknown_clients = 16;

caller_limits limits_from(const settings::fleet_settings& host_settings) {
    caller_limits limits;
    const std::uint32_t descriptors = host_settings.m_max_descriptors;
    const std::uint32_t usable =
        descriptors > 2 * reserved_descriptors
            ? descriptors - reserved_descriptors - descriptors / reserved_for_unknown_clients
            : descriptors / 2;
    limits.m_max_sessions = usable;
    limits.m_memory = transport::entry_shares(host_settings.m_max_memory_mb);
    return limits;
}

relay::session_state_limits state_limits_from(const settings::fleet_settings& host_settings) {
    const std::size_t share = transport::entry_shares(host_settings.m_max_memory_mb).m_session_state;
    relay::session_state_limits limits;
    limits.m_reserved_bytes = std::min(limits.m_reserved_bytes, share / 4);
    limits.m_max_total_bytes = std::min(limits.m_max_total_bytes, share - limits.m_reserved_bytes);
    limits.m_max_bytes = std::min(limits.m_max_bytes, share / 2); // One session does not use up the share.
    return limits;
}

} // namespace

entry_node::entry_node(transport::event_loop& loop, transport::message_bus& bus,
                       transport::peer_network& network, const settings::fleet_settings& host_settings,
                       const session_protocol& protocol, documents::document_decoder decoder)
    : m_loop(loop), m_bus(bus), m_settings(host_settings), m_protocol(protocol), m_decoder(decoder),
      m_core(*this, relay::relay_limits{.m_zone = host_settings.m_zone,
                                        .m_executor_fences = host_settings.m_executor_fences,
                                        .m_session_state = state_limits_from(host_settings),
                                        .m_incarnation = core::incarnation(core::process_start_number())}),
      m_callers(loop, protocol, limits_from(host_settings), [this] { return m_subscriber.may_start_work(); }),
      m_subscriber(loop, bus, network,
                   {fleet::host_id(host_settings.m_peer_address), host_settings.m_peer_address, true,
                    host_settings.m_zone},
                   make_subscriber_handlers()),
      m_lease(loop, bus, m_subscriber, fleet::host_id(host_settings.m_peer_address),
              [this] { apply_lease(); }),
      m_quotas(
          bus, m_subscriber, [this](core::time_point now) { return m_core.next_quota_request(now); },
          [this](const quotas::quota_grant& grant, core::time_point now) {
              return m_core.on_quota_granted(grant, now);
          }),
      m_exchange(loop, bus, protocol, make_loan_handlers()) {
    network.on_peer_lost([this](const core::entry_host_id& host) { m_exchange.on_host_lost(host); });
}

entry_node::~entry_node() = default;

fleet::subscriber_handlers entry_node::make_subscriber_handlers() {
    fleet::subscriber_handlers handlers;
    handlers.m_document_received = [this](const fleet::received_document& received) {
        on_document_received(received);
    };
    handlers.m_endpoints_changed = [this] { on_endpoints_changed(); };
    handlers.m_entry_host_count_received = [this](std::uint32_t count) {
        m_core.set_entry_host_count(count);
    };
    handlers.m_ready_hosts_changed = [this](const lending::hosts_by_zone& hosts) {
        m_ready_hosts = hosts;
        update_lending();
    };
    handlers.m_primary_observations = [this] { return m_core.primary_observations(core::now()); };
    handlers.m_ready = [this] { return ready(); };
    handlers.m_document_version = [this] { return m_core.version(); };
    handlers.m_work_resumed = [this] { m_callers.resume(); };
    return handlers;
}

borrowed_connection_handlers entry_node::make_loan_handlers() {
    borrowed_connection_handlers handlers;
    handlers.m_lent = [this](relay::connection_id connection, const lending::loan_offer& offer) {
        m_core.on_connection_lent(connection, offer, core::now());
    };
    handlers.m_answered = [this](relay::connection_id connection, const relay::database_answer& answer) {
        m_core.on_answer_received(connection, answer, core::now());
    };
    handlers.m_refused = [this](relay::connection_id connection, lending::loan_refusal reason) {
        m_core.on_loan_refused(connection, reason, core::now());
    };
    handlers.m_lost = [this](relay::connection_id connection, const std::string& reason) {
        write_limited("entry", "borrowed link lost reason=" + core::quoted(reason));
        m_core.on_loan_lost(connection, reason, core::now());
    };
    handlers.m_database_lost = [this](const core::endpoint_id& endpoint, const std::string& reason) {
        write_limited("entry", "lent database link ended endpoint=" + core::word_or_quoted(endpoint.value()) +
                                   " reason=" + core::quoted(reason));
    };
    return handlers;
}

void entry_node::update_lending() {
    const core::entry_host_id self = fleet::host_id(m_settings.m_peer_address);
    std::vector<registry::endpoint_report> shared;
    for (const registry::endpoint_report& report : m_subscriber.endpoints().usable_reports()) {
        if (m_core.shares_connections(report.m_service)) {
            shared.push_back(report);
        }
    }
    lending::lenders_by_endpoint lenders = lending::choose_lenders(m_ready_hosts, shared);
    std::map<core::endpoint_id, std::uint32_t> own_connections;
    std::vector<lending::lent_endpoint> lent;
    for (const registry::endpoint_report& report : shared) {
        const std::vector<core::entry_host_id>& hosts = lenders[report.m_id];
        if (hosts.empty()) {
            continue;
        }
        const std::uint32_t usable = m_core.usable_connections(report.m_service);
        const bool by_customer = m_core.connections_by_customer();
        own_connections[report.m_id] =
            by_customer ? 0 : lending::connections_kept_by(self, report, m_ready_hosts, usable);
        if (std::ranges::find(hosts, self) != hosts.end()) {
            const auto connections =
                by_customer ? std::max(1U, usable / static_cast<std::uint32_t>(hosts.size()))
                            : lending::connections_per_lender(report, m_ready_hosts, usable, hosts.size());
            lent.push_back(lending::endpoint_share(report, connections, hosts.size()));
            lent.back().m_by_customer = by_customer;
        }
    }
    m_exchange.set_lenders(std::move(lenders));
    m_core.set_lent_endpoints(own_connections, core::now());
    m_exchange.set_lent_endpoints(lent);
}

std::string entry_node::start() {
    const auto listening = m_callers.listen(*m_settings.m_caller_address, m_core);
    if (!listening) {
        return "cannot listen for callers reason=" + listening.reason();
    }
    m_subscriber.start(m_settings.m_known_control_addresses);
    m_exchange.start();
    m_callers.start();
    m_next_summary = core::now() + summary_period;
    tick();
    return {};
}

void entry_node::on_document_received(const fleet::received_document& received) {
    const documents::document_version before = m_core.version();
    if (received.m_version <= before) {
        return;
    }
    auto decoded = m_decoder(received.m_bytes);
    if (!decoded) {
        core::log_line(core::log_level::error, "entry",
                       "configuration from a control host cannot be decoded reason=" +
                           core::quoted(decoded.reason()));
        return;
    }
    m_core.configure(std::move(*decoded), core::now());
    core::log_line(core::log_level::info, "entry",
                   "configuration in force version=" + std::to_string(received.m_version.value()) +
                       " before=" + std::to_string(before.value()) + " source=" + received.m_source.value());
    if (m_core.needs_primary_leases()) {
        m_lease.start();
    }
    on_endpoints_changed();
}

void entry_node::on_endpoints_changed() {
    update_lending(); // Before statements are dispatched to new endpoints, which may be lent.
    m_core.on_endpoints_changed(m_subscriber.endpoints().usable_reports(), core::now());
    m_ready = m_core.configured() && !m_on_stopped;
}

void entry_node::apply_lease() {
    m_core.set_primary_leases(m_lease.holder().primaries(), m_lease.holder().lease_end(), core::now());
}

// The period of tick() is too long for an operation that waits while no other session is active.
void entry_node::on_tokens_needed() {
    m_quota_polls_end = core::deadline_after(core::now(), quotas::max_token_wait);
    if (!std::exchange(m_quota_poll_set, true)) {
        m_loop.post([this] { poll_quotas(); });
    }
}

void entry_node::poll_quotas() {
    const core::time_point now = core::now();
    m_quotas.poll(now);
    m_quota_poll_set = !m_quota_polls_end.passed(now);
    if (m_quota_poll_set) {
        m_loop.run_after(active_tick_interval, [this] { poll_quotas(); });
    }
}

void entry_node::tick() {
    const core::time_point now = core::now();
    m_subscriber.may_start_work(); // Notices pauses while no caller sends anything.
    m_core.tick(now);
    m_quotas.poll(now);
    report_failing_primaries(now);
    if (now >= m_next_summary) {
        write_summary();
        m_next_summary = now + summary_period;
    }
    m_loop.run_after(m_core.active_session_count() > 0 ? active_tick_interval : idle_tick_interval,
                     [this] { tick(); });
}

// Queries control hosts at once if the set of failing primaries has changed, so that they replace a lost
// primary sooner.
void entry_node::report_failing_primaries(core::time_point now) {
    std::set<core::endpoint_id> failing;
    for (const relay::primary_observation& seen : m_core.primary_observations(now)) {
        if (seen.m_failing && !seen.m_answered) {
            failing.insert(seen.m_endpoint);
        }
    }
    if (std::exchange(m_reported_failing, failing) != failing) {
        m_subscriber.query_control_hosts();
    }
}

void entry_node::send_answer(relay::session_id session, const relay::session_answer& answer) {
    m_callers.send_answer(session, answer);
}

void entry_node::close_session(relay::session_id session) {
    m_callers.close_session(session);
}

void entry_node::open_connection(relay::connection_id connection, const registry::endpoint_report& target) {
    database_connection_handlers handlers;
    handlers.m_opened = [this, connection](std::optional<core::history_position> position) {
        m_core.on_connection_opened(connection, position, core::now());
    };
    handlers.m_answered = [this, connection](const relay::database_answer& answer) {
        m_core.on_answer_received(connection, answer, core::now());
    };
    handlers.m_failed = [this, connection, id = target.m_id](std::optional<relay::refusal> reason,
                                                             const std::string& text) {
        write_limited("entry", "database link ended endpoint=" + core::word_or_quoted(id.value()) +
                                   " reason=" + core::quoted(text));
        const auto failed = std::move(m_connections[connection]); // Must outlive the handler that runs on it.
        m_connections.erase(connection);
        m_core.on_connection_failed(connection, reason, core::now());
    };
    m_connections[connection] =
        std::make_unique<database_connection>(m_loop, m_protocol, target, std::nullopt, std::move(handlers));
}

void entry_node::send_requests(relay::connection_id connection,
                               const std::vector<relay::database_request>& requests) {
    if (m_exchange.send(connection, requests)) {
        return;
    }
    // A lost borrowed connection is not in m_connections; its loss will be reported to the core by a posted
    // task.
    if (const auto own = m_connections.find(connection); own != m_connections.end()) {
        own->second->send(requests);
    }
}

void entry_node::close_connection(relay::connection_id connection) {
    if (!m_exchange.close(connection)) {
        m_connections.erase(connection);
    }
}

void entry_node::record_event(const relay::statement_event& event) {
    // Statements that are sent at the first attempt are counted but not logged.
    const bool is_routine = event.m_attempts <= 1 && std::string_view(event.m_action) == "sent";
    if (is_routine) {
        return;
    }
    write_limited("relay", std::string(event.m_action) + " request=" + core::word_or_quoted(event.m_request) +
                               " endpoint=" + core::word_or_quoted(event.m_endpoint) + " reason=" +
                               core::quoted(event.m_reason) + " age_ms=" + std::to_string(event.m_age_ms) +
                               " attempts=" + std::to_string(event.m_attempts) +
                               " configuration=" + std::to_string(m_core.version().value()));
}

void entry_node::write_limited(const char* prefix, const std::string& text) {
    if (m_line_count >= max_lines_per_summary && m_settings.m_log_level != core::log_level::debug) {
        ++m_suppressed_line_count;
        return;
    }
    ++m_line_count;
    core::log_line(core::log_level::info, prefix, text);
}

std::string entry_node::metrics_page() const {
    metrics::page_writer page;
    const lending::lender& lender = m_exchange.lender();
    page.add_line("links_lent", {}, static_cast<double>(lender.loan_count()));
    page.add_line("links_to_lend", {}, static_cast<double>(lender.connection_count()));
    page.add_line("loans_granted_total", {}, static_cast<double>(lender.counters().m_granted));
    page.add_line("loans_granted_idle_total", {}, static_cast<double>(lender.counters().m_granted_idle));
    page.add_line("links_replaced_total", {}, static_cast<double>(lender.counters().m_connections_replaced));
    page.add_line("sessions_unknown_key_total", {}, static_cast<double>(m_core.counters().m_unknown_keys));
    page.add_line("statements_withdrawn_key_total", {},
                  static_cast<double>(m_core.counters().m_withdrawn_keys));
    const quotas::holder_counters& quota_counters = m_core.quota_shares().counters();
    page.add_line("quota_admitted_total", {}, static_cast<double>(quota_counters.m_admitted));
    page.add_line("quota_refused_total", {}, static_cast<double>(quota_counters.m_refused));
    page.add_line("quota_shares_expired_total", {}, static_cast<double>(quota_counters.m_shares_expired));
    page.add_line("loans_refused_total", {}, static_cast<double>(lender.counters().m_refused));
    m_callers.add_metrics(page);
    metrics::add_peer_traffic(page, m_bus);
    return m_metrics.render_page(m_core, m_callers.rejected_count()) + page.take_text();
}

void entry_node::write_summary() {
    const relay::relay_counters& counters = m_core.counters();
    core::log_line(core::log_level::info, "relay",
                   "summary sessions=" + std::to_string(m_core.session_count()) +
                       " active=" + std::to_string(m_core.active_session_count()) +
                       " links=" + std::to_string(m_core.connection_count()) +
                       " statements=" + std::to_string(counters.m_statements) +
                       " succeeded=" + std::to_string(counters.m_succeeded) +
                       " refused=" + std::to_string(counters.m_refused) +
                       " uncertain=" + std::to_string(counters.m_uncertain) + " repeated=" +
                       std::to_string(counters.m_repeated) + " probes=" + std::to_string(counters.m_probes) +
                       " borrowed=" + std::to_string(counters.m_connections_borrowed) +
                       " lent=" + std::to_string(m_exchange.lender().counters().m_granted) +
                       " lends=" + std::to_string(m_exchange.lender().connection_count()) +
                       " lines_left_out=" + std::to_string(std::exchange(m_suppressed_line_count, 0)));
    m_line_count = 0;
}

void entry_node::shut_down(std::function<void()> on_stopped) {
    m_on_stopped = std::move(on_stopped);
    m_ready = false;
    m_exchange.stop_lending();
    m_subscriber.query_control_hosts();
    m_stop.emplace(core::now(), m_settings.m_stop_timeout);
    core::log_line(core::log_level::info, "entry",
                   "stopping sessions=" + std::to_string(m_core.session_count()));
    drain_step();
}

void entry_node::drain_step() {
    const core::time_point now = core::now();
    if (m_callers.has_waiting_messages() && !m_stop->is_overdue(now)) {
        // The core takes a session for idle whose statement waits for the confirmation of the configuration.
        m_loop.run_after(drain_interval, [this] { drain_step(); });
        return;
    }
    std::size_t sessions_left = m_stop->step(m_core, now);
    if (!m_accepting_ended && m_stop->may_end_accepting(sessions_left, now)) {
        m_accepting_ended = true;
        m_callers.stop_accepting();
        sessions_left = 1; // Another step for connections that were accepted before.
    }
    const bool done = m_accepting_ended && sessions_left == 0 && m_callers.open_count() == 0 &&
                      m_exchange.lender().loan_count() == 0;
    if (done || m_stop->is_overdue(now)) {
        core::log_line(core::log_level::info, "entry",
                       "stopped sessions_left=" + std::to_string(sessions_left));
        m_loop.run_after(drain_interval, m_on_stopped); // Delayed so that the last answers are sent.
        return;
    }
    m_loop.run_after(drain_interval, [this] { drain_step(); });
}

} // namespace mangoquay::entry
