// Cell membership, promotions and endpoint reports of a control host.
#include "fleet/control_node.h"

#include "core/log.h"
#include "core/quoting.h"
#include "fleet/admission_choice.h"

#include <algorithm>
#include <random>
#include <utility>

namespace mangoquay::fleet {
namespace {

constexpr core::milliseconds tick_period{50};
// A host that has known no leader for this long requests admission. Elections end within about 1 s.
constexpr core::milliseconds leaderless_timeout{1000};
constexpr core::milliseconds join_retry_interval{250};
// A host that stops waits for a standby to take its place at most this long, which allows for an election and
// a few changes of members, and for at most half of the time that it has to stop.
constexpr core::milliseconds max_leave_time{2000};
constexpr core::milliseconds leave_retry_interval{50};
constexpr std::size_t min_cell_size = 3;
// Zones of one region are about 1 ms apart, so the failure of a leader is detected sooner than with the
// defaults. While the slowest clock of a leader measures a lease of 180 ms, at most 180 * 1.1 / 0.9 = 220 ms
// pass on the fastest clock of a follower, which grants no vote for 250 ms.
constexpr consensus::raft_timing cell_timing{.m_heartbeat = core::milliseconds(60),
                                             .m_min_election_timeout = core::milliseconds(250),
                                             .m_max_election_timeout = core::milliseconds(500),
                                             .m_lease = core::milliseconds(180)};
// Documents may be large, so the log keeps few entries.
constexpr std::uint64_t snapshot_interval = 32;
constexpr std::uint64_t retained_entries = 32;

std::size_t target_cell_size(const settings::fleet_settings& host_settings) {
    return 2 * host_settings.m_tolerated_host_failures + 1;
}

std::string join_hosts(const std::set<consensus::member>& members) {
    std::string text;
    for (const consensus::member& listed : members) {
        text += (text.empty() ? "" : ",") + listed.m_host.value();
    }
    return text;
}

consensus::driver_settings raft_settings(const settings::fleet_settings& host_settings) {
    consensus::driver_settings raft;
    raft.m_self = host_id(host_settings.m_peer_address);
    raft.m_data_folder = (host_settings.m_data_folder / "control").string();
    for (const control::socket_address& address : host_settings.m_known_control_addresses) {
        raft.m_initial_hosts.insert(host_id(address));
    }
    raft.m_may_bootstrap = host_settings.m_first_start;
    raft.m_voter_target = std::max(min_cell_size, target_cell_size(host_settings));
    raft.m_seed = std::random_device{}();
    raft.m_timing = cell_timing;
    raft.m_snapshot_interval = snapshot_interval;
    raft.m_kept_entries = retained_entries;
    return raft;
}

} // namespace

control_node::control_node(transport::event_loop& loop, transport::message_bus& bus,
                           transport::peer_network& network, const settings::fleet_settings& host_settings,
                           documents::document_decoder decoder, const entry::session_protocol& protocol,
                           promotion_executor& executor)
    : m_loop(loop), m_bus(bus), m_network(network), m_settings(host_settings),
      m_self(host_id(host_settings.m_peer_address)), m_decoder(decoder),
      m_raft(std::make_unique<consensus::raft_driver>(
          loop, raft_settings(host_settings),
          [this](const core::entry_host_id& to, const consensus::raft_message& message) {
              m_subscriber.add_control_host(to);
              m_bus.send(to, consensus::to_wire(message));
          })),
      m_subscriber(loop, bus, network, {m_self, host_settings.m_peer_address, false, host_settings.m_zone},
                   make_subscriber_handlers()),
      m_publisher(bus, network, m_documents, m_subscriber.endpoints()),
      m_leases(
          bus,
          [this](const core::service_name& service, const core::endpoint_id& endpoint) {
              propose_assignment(service, endpoint);
          },
          [this] { return led_term(); }, [this] { return other_leader(); }),
      m_quotas(
          bus, host_settings.m_quota_tolerance,
          [this](const core::entry_host_id& host, bool holds) { propose_quota_holder(host, holds); },
          [this] { return led_term(); }, [this] { return other_leader(); }),
      m_promotions(
          loop, protocol, executor, m_leases.authority(), host_settings.m_executor_fences, m_self,
          [this] { return next_fencing_token(); }, [this] { return m_raft->lease_end(core::now()); },
          [this](const std::vector<promotion::copy_change>& changes) { propose_copies(changes); }),
      m_registry_store(host_settings.m_data_folder.string()) {
    m_raft->on_commit([this](core::revision, const std::string& payload) {
        on_state_changed([&] { return m_state.apply(payload); });
    });
    m_raft->on_snapshot_installed([this](core::revision, const std::string& state) {
        on_state_changed([&] { return m_state.install(state); });
    });
    m_raft->on_snapshot_needed([this] { return m_state.encode_snapshot(); });
    m_bus.set_handler<wire::raft_messageT>([this](const auto& from, const auto& message) {
        const auto decoded = consensus::from_wire(message);
        if (decoded) {
            m_raft->receive(from, *decoded);
        } else {
            core::log_line(core::log_level::warning, "fleet",
                           "malformed message dropped peer=" + from.value() + " reason=" + decoded.reason());
        }
    });
    m_bus.set_handler<wire::fleet_followT>([this](const auto& from, const auto& query) {
        std::set<core::entry_host_id> hosts{m_self};
        for (const consensus::member& voter : m_raft->members().m_voters) {
            hosts.insert(voter.m_host);
        }
        if (!query.is_entry) {
            m_subscriber.add_control_host(from);
        }
        m_publisher.on_query_received(from, query, hosts, core::now());
        confirm_document(core::now());
    });
    m_bus.set_handler<wire::read_index_requestT>([this](const auto& from, const auto& request) {
        if (m_raft->holds_lease(core::now())) {
            wire::read_indexT answer;
            answer.number = request.number;
            answer.committed_revision = m_raft->committed().value();
            m_bus.send(from, answer);
        }
    });
    m_bus.set_handler<wire::read_indexT>([this](const auto&, const auto& answer) {
        m_read_barrier.on_answer(read_index_number(answer.number), core::revision(answer.committed_revision));
        confirm_document(core::now());
    });
    m_bus.set_handler<wire::cell_joinT>(
        [this](const auto& from, const auto& request) { on_join_requested(from, request); });
}

control_node::~control_node() = default;

subscriber_handlers control_node::make_subscriber_handlers() {
    subscriber_handlers handlers;
    handlers.m_document_received = [](const received_document&) {};
    handlers.m_endpoints_changed = [this] { on_endpoints_changed(); };
    handlers.m_entry_host_count_received = [](std::uint32_t) {};
    handlers.m_ready_hosts_changed = [](const lending::hosts_by_zone&) {};
    handlers.m_primary_observations = [] { return std::vector<relay::primary_observation>{}; };
    handlers.m_ready = [] { return true; };
    // Control hosts receive documents through the log. The maximum version prevents that one is requested.
    handlers.m_document_version = [] { return documents::document_version(UINT64_MAX); };
    return handlers;
}

consensus::status control_node::start() {
    m_leader_last_known = core::now();
    m_subscriber.start(m_settings.m_known_control_addresses);
    auto started = m_raft->start(); // Also creates the data folder.
    for (const registry::endpoint_report& report : m_registry_store.load()) {
        m_subscriber.endpoints().merge(report, core::now());
    }
    if (started) {
        tick();
    }
    return started;
}

void control_node::tick() {
    const core::time_point now = core::now();
    log_leader_change();
    log_member_change();
    join_if_leaderless(now);
    confirm_document(now);
    run_promotions(now);
    m_quotas.tick(now);
    m_loop.run_after(tick_period, [this] { tick(); });
}

void control_node::log_leader_change() {
    const auto leader = m_raft->leader();
    if (std::exchange(m_logged_leader, leader) != leader) {
        core::log_line(core::log_level::info, "fleet",
                       "control leader " +
                           (leader ? "known host=" + leader->value() : std::string("not known")) +
                           " term=" + std::to_string(m_raft->term().value()) +
                           " committed=" + std::to_string(m_raft->committed().value()));
    }
}

void control_node::log_member_change() {
    const consensus::membership& members = m_raft->members();
    if (members != m_logged_members) {
        m_logged_members = members;
        core::log_line(core::log_level::info, "fleet",
                       "control members voters=" + join_hosts(members.m_voters) +
                           " standbys=" + join_hosts(members.m_learners));
    }
}

void control_node::leave(std::function<void()> done) {
    const core::milliseconds limit =
        std::min<core::milliseconds>(max_leave_time, m_settings.m_stop_timeout / 2);
    m_on_left = std::move(done);
    m_leave_deadline = core::deadline_after(core::now(), limit);
    leave_step();
}

void control_node::leave_step() {
    const consensus::membership& members = m_raft->members();
    const auto is_self = [this](const consensus::member& listed) { return listed.m_host == m_self; };
    const bool is_voter = std::ranges::any_of(members.m_voters, is_self);
    const bool has_standby = !std::ranges::all_of(members.m_learners, is_self);
    const bool timed_out = m_leave_deadline.passed(core::now());
    if (!is_voter || !has_standby || timed_out) {
        core::log_line(core::log_level::info, "fleet",
                       "leaves the cell voter=" + std::to_string(static_cast<int>(is_voter)) +
                           " standbys=" + std::to_string(members.m_learners.size()) +
                           " timed_out=" + std::to_string(static_cast<int>(timed_out)));
        m_on_left();
        return;
    }
    if (m_raft->is_leader()) {
        m_raft->abdicate();
    } else if (const auto leader = m_raft->leader()) {
        wire::cell_joinT request;
        request.peer_host = m_settings.m_peer_address.m_host;
        request.peer_port = m_settings.m_peer_address.m_port;
        request.leaving = true;
        m_bus.send(*leader, request);
    }
    m_loop.run_after(leave_retry_interval, [this] { leave_step(); });
}

void control_node::run_promotions(core::time_point now) {
    const bool leads = m_raft->holds_lease(now);
    m_leases.authority().set_leading(leads, primary_leases::leader_term(m_raft->term().value()),
                                     m_state.primaries(), withheld_services(), now);
    m_promotions.set_leading(leads);
    if (leads) {
        m_promotions.tick(m_configuration, m_subscriber.endpoints(),
                          {m_documents.version(), m_state.copies()}, m_publisher.subscribers(), now);
    }
}

std::set<core::service_name> control_node::withheld_services() const {
    std::set<core::service_name> services;
    for (const documents::service_rule& rule : m_configuration.m_services) {
        if (rule.m_synchronous_replicas > 0) {
            services.insert(rule.m_name);
        }
    }
    return services;
}

std::optional<primary_leases::leader_term> control_node::led_term() const {
    return m_raft->holds_lease(core::now())
               ? std::optional(primary_leases::leader_term(m_raft->term().value()))
               : std::nullopt;
}

std::optional<core::entry_host_id> control_node::other_leader() const {
    const auto leader = m_raft->leader();
    return leader && *leader != m_self ? leader : std::nullopt;
}

void control_node::propose_quota_holder(const core::entry_host_id& host, bool holds) {
    m_raft->propose(replicated_state::encode_quota_holder(host, holds), [](std::optional<core::revision>) {});
}

void control_node::propose_copies(const std::vector<promotion::copy_change>& changes) {
    m_raft->propose(replicated_state::encode_copies(changes), [](std::optional<core::revision>) {});
}

void control_node::propose_assignment(const core::service_name& service, const core::endpoint_id& endpoint) {
    m_raft->propose(replicated_state::encode_assignment(service, endpoint),
                    [this, service, endpoint](std::optional<core::revision> at) {
                        core::log_line(core::log_level::info, "fleet",
                                       "primary proposed service=" + core::word_or_quoted(service.value()) +
                                           " endpoint=" + core::word_or_quoted(endpoint.value()) +
                                           " committed=" + (at ? "yes" : "unknown"));
                        // An order may be waiting for this commit.
                        m_loop.post([this] { run_promotions(core::now()); });
                    });
}

// The term increases with each leader and the count with each order of the term, so every order has a higher
// fencing token than all orders before it.
std::optional<promotion::fencing_token> control_node::next_fencing_token() {
    constexpr unsigned count_bits = 20;
    if (!m_raft->holds_lease(core::now())) {
        return std::nullopt;
    }
    if (m_raft->term() != m_token_term) {
        m_token_term = m_raft->term();
        m_term_order_count = 0;
    }
    ++m_total_order_count;
    return promotion::fencing_token((m_token_term.value() << count_bits) + ++m_term_order_count);
}

void control_node::join_if_leaderless(core::time_point now) {
    if (m_raft->leader()) {
        m_leader_last_known = now;
    }
    if (m_leader_last_known + leaderless_timeout > now || m_on_left) {
        return;
    }
    if (m_next_join > now) {
        return;
    }
    m_next_join = now + join_retry_interval;
    wire::cell_joinT request;
    request.peer_host = m_settings.m_peer_address.m_host;
    request.peer_port = m_settings.m_peer_address.m_port;
    for (const core::entry_host_id& host : m_subscriber.control_hosts()) {
        m_bus.send(host, request);
    }
}

void control_node::on_join_requested(const core::entry_host_id& from, const wire::cell_joinT& request) {
    if (!m_raft->is_leader()) {
        return;
    }
    if (request.leaving) {
        m_raft->release_host(from);
        return;
    }
    m_network.set_address(from, {request.peer_host, request.peer_port});
    admission_request admission_input{.m_joining_host = from,
                                      .m_self = m_self,
                                      .m_target_size = target_cell_size(m_settings),
                                      .m_max_standbys = m_settings.m_tolerated_host_failures};
    const core::time_point now = core::now();
    const auto add = [&](const consensus::member& member) {
        admission_input.m_members.push_back(
            {member.m_host, m_raft->last_contact(member.m_host).value_or(now)});
    };
    std::ranges::for_each(m_raft->members().m_voters, add);
    std::ranges::for_each(m_raft->members().m_learners, add);
    const auto chosen = choose_admission(admission_input, now);
    if (!chosen) {
        return;
    }
    const auto changed = m_raft->replace_host(chosen->m_replaced_host, from);
    core::log_line(core::log_level::info, "fleet",
                   "control host admitted host=" + from.value() +
                       " replaces=" + chosen->m_replaced_host.value() +
                       " refusal=" + (changed ? std::string() : changed.reason()));
}

void control_node::on_state_changed(const std::function<std::vector<core::service_name>()>& change) {
    const documents::document_version before = m_documents.version();
    for (const core::service_name& service : change()) {
        m_leases.authority().on_assigned(service, m_state.primaries().at(service));
    }
    m_quotas.set_holders(m_state.quota_holders());
    if (m_documents.version() != before) {
        core::log_line(core::log_level::info, "fleet",
                       "configuration committed version=" + std::to_string(m_documents.version().value()) +
                           " before=" + std::to_string(before.value()));
        announce_document();
    }
}

void control_node::merge_report(const registry::endpoint_report& report) {
    const registry::merge_outcome outcome = m_subscriber.endpoints().merge(report, core::now());
    if (outcome == registry::merge_outcome::stale) {
        return;
    }
    const bool changed = outcome == registry::merge_outcome::changed;
    if (changed) {
        core::log_line(core::log_level::info, "fleet",
                       "endpoint changed endpoint=" + core::word_or_quoted(report.m_id.value()) +
                           " service=" + core::word_or_quoted(report.m_service.value()) +
                           " state=" + std::to_string(static_cast<int>(report.m_state)) +
                           " primary=" + std::to_string(static_cast<int>(report.m_is_primary)) +
                           " sequence=" + std::to_string(report.m_sequence));
    }
    m_publisher.publish_report(report, changed);
    if (changed) {
        on_endpoints_changed();
    }
}

void control_node::on_endpoints_changed() {
    m_registry_store.save(m_subscriber.endpoints().all_reports());
}

void control_node::deregister_endpoint(const core::endpoint_id& endpoint,
                                       std::optional<std::int64_t> started_ms) {
    const registry::endpoint_entry* held = m_subscriber.endpoints().find(endpoint);
    if (held != nullptr && started_ms && *started_ms < held->m_report.m_started_ms) {
        return; // The message is late: it belongs to an earlier incarnation.
    }
    if (!m_subscriber.endpoints().remove(endpoint, core::now())) {
        return;
    }
    core::log_line(core::log_level::info, "fleet",
                   "endpoint deregistered endpoint=" + core::word_or_quoted(endpoint.value()));
    m_publisher.publish_report(m_subscriber.endpoints().find(endpoint)->m_report, true);
    on_endpoints_changed();
}

} // namespace mangoquay::fleet
