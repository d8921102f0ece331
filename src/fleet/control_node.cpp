// The cell, documents and reports of a control host.
#include "fleet/control_node.h"

#include "core/log.h"
#include "fleet/admission_choice.h"
#include "metrics/page_writer.h"

#include <algorithm>
#include <random>
#include <utility>

namespace mangoquay::fleet {
namespace {

constexpr core::milliseconds tick_period{50};
// A host that knows no leader for this long asks to be admitted; elections end within about a second.
constexpr core::milliseconds alone_for{1000};
constexpr core::milliseconds join_period{250};
// Documents may be large; few are kept in the log.
// Zones of one region are a millisecond apart, so a leader is missed sooner than by the defaults. While a
// slow leader measures 180 ms at most 180 * 1.1 / 0.9 = 220 ms pass on the fastest follower, which votes for
// nobody for 250 ms.
constexpr consensus::raft_timing cell_timing{.m_heartbeat = core::milliseconds(60),
                                             .m_min_election_timeout = core::milliseconds(250),
                                             .m_max_election_timeout = core::milliseconds(500),
                                             .m_lease = core::milliseconds(180)};
constexpr std::uint64_t snapshot_interval = 32;
constexpr std::uint64_t kept_entries = 32;

consensus::driver_settings raft_settings(const settings::fleet_settings& chosen) {
    consensus::driver_settings raft;
    raft.m_self = host_id(chosen.m_peer_address);
    raft.m_data_folder = (chosen.m_data_folder / "control").string();
    for (const control::socket_address& address : chosen.m_known_control_addresses) {
        raft.m_initial_hosts.insert(host_id(address));
    }
    raft.m_may_bootstrap = chosen.m_first_start;
    raft.m_seed = std::random_device{}();
    raft.m_timing = cell_timing;
    raft.m_snapshot_interval = snapshot_interval;
    raft.m_kept_entries = kept_entries;
    return raft;
}

} // namespace

control_node::control_node(transport::event_loop& loop, transport::message_bus& bus,
                           transport::peer_network& network, const settings::fleet_settings& chosen,
                           documents::document_decoder decoder, const entry::session_protocol& protocol,
                           promotion_executor& executor)
    : m_loop(loop), m_bus(bus), m_network(network), m_settings(chosen),
      m_self(host_id(chosen.m_peer_address)), m_decoder(decoder),
      m_raft(std::make_unique<consensus::raft_driver>(
          loop, raft_settings(chosen),
          [this](const core::entry_host_id& to, const consensus::raft_message& message) {
              m_news.add_control_host(to);
              m_bus.send(to, consensus::to_wire(message));
          })),
      m_news(loop, bus, network, {m_self, chosen.m_peer_address, false, chosen.m_zone}, news_handlers()),
      m_source(bus, network, m_documents, m_news.endpoints()),
      m_promotions(loop, protocol, executor, m_self, [this] { return next_fencing_token(); }),
      m_kept(chosen.m_data_folder.string()) {
    m_raft->on_commit([this](core::revision, const std::string& payload) { committed(payload); });
    m_raft->on_snapshot_installed([this](core::revision, const std::string& state) { committed(state); });
    m_raft->on_snapshot_needed(
        [this] { return documents::document_register::encode(m_documents.version(), m_documents.bytes()); });
    m_bus.on<wire::raft_messageT>([this](const auto& from, const auto& message) {
        const auto decoded = consensus::from_wire(message);
        if (decoded) {
            m_raft->receive(from, *decoded);
        } else {
            core::log_line(core::log_level::warning, "fleet",
                           "malformed message dropped peer=" + from.value() + " reason=" + decoded.reason());
        }
    });
    m_bus.on<wire::fleet_followT>([this](const auto& from, const auto& question) {
        std::set<core::entry_host_id> hosts{m_self};
        for (const consensus::member& one : m_raft->members().m_voters) {
            hosts.insert(one.m_host);
        }
        if (!question.is_entry) {
            m_news.add_control_host(from);
        }
        m_source.asked(from, question, hosts, core::now());
    });
    m_bus.on<wire::cell_joinT>([this](const auto& from, const auto& request) { join_asked(from, request); });
}

control_node::~control_node() = default;

follower_handlers control_node::news_handlers() {
    follower_handlers handlers;
    handlers.m_document = [](documents::document_version, const std::string&) {};
    handlers.m_endpoints_changed = [this] { endpoints_changed(); };
    handlers.m_entry_hosts = [](std::uint32_t) {};
    handlers.m_ready_hosts = [](const lending::hosts_by_zone&) {};
    handlers.m_sightings = [] { return std::vector<relay::primary_observation>{}; };
    handlers.m_ready = [] { return true; };
    // Documents come by the log: never ask for one.
    handlers.m_version = [] { return documents::document_version(UINT64_MAX); };
    return handlers;
}

consensus::status control_node::start() {
    m_leader_seen = core::now();
    m_news.start(m_settings.m_known_control_addresses);
    auto started = m_raft->start(); // creates the data folder
    for (const registry::endpoint_report& report : m_kept.load()) {
        m_news.endpoints().merge(report, core::now());
    }
    if (started) {
        tick();
    }
    return started;
}

void control_node::tick() {
    const core::time_point now = core::now();
    join_if_alone(now);
    lead(now);
    m_loop.after(tick_period, [this] { tick(); });
}

// A log that is read again at a start commits many versions at once; followers get the last of them.
void control_node::announce_document() {
    if (std::exchange(m_announcing, true)) {
        return;
    }
    m_loop.post([this] {
        m_announcing = false;
        if (auto decoded = m_decoder(m_documents.bytes())) {
            m_configuration = std::move(*decoded);
        } else { // committed by a host of another version
            core::log_line(core::log_level::error, "fleet",
                           "committed configuration cannot be read reason=" + decoded.reason());
        }
        m_source.document_changed();
    });
}

void control_node::lead(core::time_point now) {
    const bool leads = m_raft->holds_lease(now);
    m_promotions.lead(leads);
    if (leads) {
        m_promotions.tick(m_configuration, m_news.endpoints(), m_source.followers(), now);
    }
}

// The term rises with each leader and the count with each order, so every order has a higher fence than all
// before it.
std::optional<promotion::fencing_token> control_node::next_fencing_token() {
    constexpr unsigned count_bits = 20;
    if (!m_raft->holds_lease(core::now())) {
        return std::nullopt;
    }
    if (m_raft->term() != m_fence_term) {
        m_fence_term = m_raft->term();
        m_orders = 0;
    }
    ++m_all_orders;
    return promotion::fencing_token((m_fence_term.value() << count_bits) + ++m_orders);
}

void control_node::join_if_alone(core::time_point now) {
    if (m_raft->leader()) {
        m_leader_seen = now;
    }
    if (m_leader_seen + alone_for > now) {
        return;
    }
    if (m_next_join > now) {
        return;
    }
    m_next_join = now + join_period;
    wire::cell_joinT request;
    request.peer_host = m_settings.m_peer_address.m_host;
    request.peer_port = m_settings.m_peer_address.m_port;
    for (const core::entry_host_id& host : m_news.control_hosts()) {
        m_bus.send(host, request);
    }
}

void control_node::join_asked(const core::entry_host_id& from, const wire::cell_joinT& request) {
    if (!m_raft->is_leader()) {
        return;
    }
    m_network.set_address(from, {request.peer_host, request.peer_port});
    admission_request asked{
        .m_newcomer = from, .m_self = m_self, .m_wanted = 2 * m_settings.m_tolerated_host_failures + 1};
    const core::time_point now = core::now();
    const auto add = [&](const consensus::member& one) {
        asked.m_members.push_back({one.m_host, m_raft->last_contact(one.m_host).value_or(now)});
    };
    std::ranges::for_each(m_raft->members().m_voters, add);
    std::ranges::for_each(m_raft->members().m_learners, add);
    const auto chosen = choose_admission(asked, now);
    if (!chosen) {
        return;
    }
    const auto changed = m_raft->replace_host(chosen->m_lost, from);
    core::log_line(core::log_level::info, "fleet",
                   "control host admitted host=" + from.value() + " replaces=" + chosen->m_lost.value() +
                       " refusal=" + (changed ? std::string() : changed.reason()));
}

void control_node::committed(const std::string& payload) {
    const documents::document_version before = m_documents.version();
    m_documents.apply(payload);
    if (m_documents.version() != before) {
        core::log_line(core::log_level::info, "fleet",
                       "configuration committed version=" + std::to_string(m_documents.version().value()) +
                           " before=" + std::to_string(before.value()));
        announce_document();
    }
}

call_outcome control_node::leader_needed() const {
    const auto leader = m_raft->leader();
    if (leader && *leader != m_self) {
        return {call_verdict::redirected, {}, *leader};
    }
    return {call_verdict::unavailable, "no leader is known", {}};
}

void control_node::replace_document(const std::string& bytes, const call_done& done) {
    const auto decoded = m_decoder(bytes);
    if (!decoded) {
        core::log_line(core::log_level::info, "fleet", "configuration refused reason=" + decoded.reason());
        done({call_verdict::invalid, decoded.reason(), {}});
        return;
    }
    const documents::document_version version = decoded->m_version;
    if (version <= m_documents.version()) {
        done({call_verdict::done, {}, {}}); // this one or a later one is committed
        return;
    }
    if (!m_raft->is_leader()) {
        done(leader_needed());
        return;
    }
    m_raft->propose(documents::document_register::encode(version, bytes),
                    [done, version](std::optional<core::revision> at) {
                        core::log_line(core::log_level::info, "fleet",
                                       "configuration proposed version=" + std::to_string(version.value()) +
                                           " committed=" + (at ? "yes" : "unknown"));
                        done(at ? call_outcome{call_verdict::done, {}, {}}
                                : call_outcome{call_verdict::unavailable, "not known to be committed", {}});
                    });
}

void control_node::read_document(const call_done& done) {
    if (!m_raft->holds_lease(core::now())) {
        done(m_raft->is_leader() ? call_outcome{call_verdict::unavailable, "the leader's lease ran out", {}}
                                 : leader_needed());
        return;
    }
    if (m_documents.version().value() == 0) {
        done({call_verdict::unavailable, "no configuration yet", {}});
        return;
    }
    done({call_verdict::done, m_documents.bytes(), {}});
}

void control_node::report(const registry::endpoint_report& report) {
    const registry::merge_outcome outcome = m_news.endpoints().merge(report, core::now());
    if (outcome == registry::merge_outcome::stale) {
        return;
    }
    const bool changed = outcome == registry::merge_outcome::changed;
    if (changed) {
        core::log_line(core::log_level::info, "fleet",
                       "endpoint changed endpoint=" + report.m_id.value() +
                           " service=" + report.m_service.value() +
                           " state=" + std::to_string(static_cast<int>(report.m_state)) +
                           " primary=" + std::to_string(static_cast<int>(report.m_is_primary)) +
                           " sequence=" + std::to_string(report.m_sequence));
    }
    m_source.report_merged(report, changed);
    if (changed) {
        endpoints_changed();
    }
}

void control_node::endpoints_changed() {
    m_kept.save(m_news.endpoints().listed());
}

void control_node::leave(const core::endpoint_id& endpoint, std::optional<std::int64_t> started_ms) {
    const registry::endpoint_entry* held = m_news.endpoints().find(endpoint);
    if (held != nullptr && started_ms && *started_ms < held->m_report.m_started_ms) {
        return; // late, of an earlier incarnation
    }
    if (!m_news.endpoints().remove(endpoint, core::now())) {
        return;
    }
    core::log_line(core::log_level::info, "fleet", "endpoint left endpoint=" + endpoint.value());
    m_source.report_merged(m_news.endpoints().find(endpoint)->m_report, true);
    endpoints_changed();
}

std::string control_node::metrics_page() const {
    metrics::page_writer page;
    page.add_line("control_leads", {}, m_raft->holds_lease(core::now()) ? 1 : 0);
    page.add_line("control_term", {}, static_cast<double>(m_raft->term().value()));
    page.add_line("control_voters", {}, static_cast<double>(m_raft->members().m_voters.size()));
    page.add_line("control_learners", {}, static_cast<double>(m_raft->members().m_learners.size()));
    page.add_line("control_log_committed", {}, static_cast<double>(m_raft->committed().value()));
    page.add_line("configuration_version", {}, static_cast<double>(m_documents.version().value()));
    page.add_line("entry_hosts", {}, m_source.entry_hosts());
    page.add_line("endpoints", {}, static_cast<double>(m_news.endpoints().listed().size()));
    page.add_line("promotion_orders_total", {}, static_cast<double>(m_all_orders));
    return page.take_text();
}

} // namespace mangoquay::fleet
