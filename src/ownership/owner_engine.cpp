// Construction, control records, reports and monitor events of the owner.
#include "ownership/owner_engine.h"

#include "core/log.h"
#include "core/quoting.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangoquay::ownership {
namespace {

constexpr core::milliseconds write_stall_threshold{1000};
constexpr std::size_t monitoring_connection_count = 1;

std::size_t max_pooled_connections(const control::endpoint_record& record) {
    return std::max<std::size_t>(record.m_connections, monitoring_connection_count + 1) -
           monitoring_connection_count;
}

admission::queue_policy queue_policy_of(const control::endpoint_record& record,
                                        const control::preset_record& policy) {
    admission::queue_policy limits;
    // Each slot needs a connection.
    limits.m_slots = std::clamp<std::size_t>(record.m_slots, 1, max_pooled_connections(record));
    limits.m_reserved_short_slots = policy.m_reserved_short_slots;
    limits.m_bound_per_slot = policy.m_queue_bound_per_slot;
    limits.m_shed_wait = core::milliseconds(policy.m_shed_wait_ms);
    return limits;
}

pooling::pool_policy pool_policy_of(const control::endpoint_record& record,
                                    const control::preset_record& policy) {
    pooling::pool_policy limits;
    limits.m_limit = max_pooled_connections(record);
    limits.m_min_connections = std::min<std::size_t>(policy.m_warm_connections, limits.m_limit);
    return limits;
}

} // namespace

std::string_view to_string(core::statement_kind kind) {
    constexpr std::array names{"read", "write", "begin", "step", "commit", "rollback"};
    return names.at(static_cast<std::size_t>(kind));
}

owner_engine::owner_engine(transport::event_loop& loop, core::endpoint_id endpoint,
                           control::endpoint_record record, const core::entry_host_id& self,
                           const owner_rights& rights, const connection_settings& settings,
                           const dialect::database_dialect& strategy, std::uint64_t seed)
    : m_loop(loop), m_endpoint(std::move(endpoint)), m_record(std::move(record)), m_rights(rights),
      m_strategy(strategy), m_queue(queue_policy_of(m_record, m_policy)),
      m_connections(loop,
                    strategy.connection_parameters(m_record.m_address, settings,
                                                   strategy.application_name(m_record.m_owner_epoch, self)),
                    pool_policy_of(m_record, m_policy)),
      m_monitor(loop, *this, strategy,
                strategy.connection_parameters(m_record.m_address, settings,
                                               strategy.application_name(m_record.m_owner_epoch, self)),
                m_record.m_owner_epoch, m_endpoint.value(), seed),
      m_quorum(m_endpoint) {
    m_monitor.start();
}

owner_engine::~owner_engine() {
    m_monitor.stop();
    if (m_timer) {
        m_loop.cancel_timer(*m_timer);
    }
    // Answers must not cause requests to be dispatched.
    m_dispatching = true;
    for (const auto& [number, context] : std::map(m_requests)) {
        answer(context, context->m_effects_possible ? core::uncertain_answer(core::reason::shutting_down)
                                                    : core::refused_answer(core::reason::shutting_down));
    }
    for (const auto& query : m_position_queries) {
        query.m_handler(std::nullopt);
    }
}

void owner_engine::apply_policy(const control::preset_record& policy) {
    m_policy = policy;
    apply_limits();
}

void owner_engine::set_record(const control::endpoint_record& record) {
    m_record = record;
    apply_limits();
}

void owner_engine::apply_limits() {
    m_queue.set_policy(queue_policy_of(m_record, m_policy));
    m_connections.set_policy(pool_policy_of(m_record, m_policy));
    if (leaving()) {
        refuse_queued(core::reason::endpoint_leaving);
    }
    dispatch_ready();
}

void owner_engine::set_group(const control::group_record& group) {
    m_group = group;
    finish_quorum_waits(m_quorum.set_group(group.m_term, group.m_promotion_in_progress, group.m_members));
    // A finished promotion decided which writes of the old term survive. Their outcome can no longer change.
    if (!group.m_promotion_in_progress) {
        for (const auto& [number, context] : std::map(m_requests)) {
            if (context->answered() && !m_transaction_contexts.contains(context->m_request.m_transaction) &&
                context->m_term < group.m_term) {
                uncount_days(context);
            }
        }
    }
    dispatch_ready();
}

void owner_engine::drain() {
    m_draining = true;
    refuse_queued(core::reason::endpoint_leaving);
}

void owner_engine::release(std::function<void()> done) {
    m_on_released = std::move(done);
    drain();
    finish_release_if_idle();
}

bool owner_engine::idle() const {
    return m_transactions.size() == 0 &&
           std::ranges::all_of(m_requests, [](const auto& item) { return item.second->answered(); });
}

void owner_engine::finish_release_if_idle() {
    if (!m_on_released || !idle()) {
        return;
    }
    m_monitor.stop();
    m_connections.set_enabled(false);
    core::log_line(core::log_level::info, "ownership", "endpoint released endpoint=" + m_endpoint.value());
    // Posted, because the handler may destroy this object.
    m_loop.post(std::exchange(m_on_released, nullptr));
}

std::size_t owner_engine::queue_slots() const {
    return queue_policy_of(m_record, m_policy).m_slots;
}

bool owner_engine::leaving() const {
    return m_draining || m_record.m_leaving || m_policy.m_drained_endpoints.contains(m_endpoint);
}

std::optional<core::history_position> owner_engine::position() const {
    return m_monitor.lock_held() && m_status ? std::optional(m_applied_position) : std::nullopt;
}

void owner_engine::query_position(position_handler handler) {
    if (!m_monitor.lock_held()) {
        handler(std::nullopt);
        return;
    }
    m_position_queries.push_back({now(), std::move(handler)});
    m_monitor.poll_if_idle();
}

void owner_engine::on_primary_position(core::time_point queried_at, const core::history_position& position) {
    m_age.on_primary_position(queried_at, position,
                              m_group ? m_group->m_fork_positions : replication::fork_positions{});
}

owner_health owner_engine::health() const {
    owner_health health;
    health.m_reachable = m_monitor.reachable();
    health.m_lock_held = m_monitor.lock_held();
    health.m_position = position();
    if (m_status) {
        health.m_is_replica = m_status->m_is_replica;
        health.m_follows = m_status->m_primary_conninfo;
    }
    const auto since = m_quorum.oldest_waiting_since();
    health.m_writes_stalled = since && now() - *since > write_stall_threshold;
    return health;
}

owner_statistics owner_engine::statistics() const {
    owner_statistics statistics;
    statistics.m_queue_length = m_queue.waiting();
    statistics.m_busy_slots = m_queue.running();
    statistics.m_slots = queue_slots();
    statistics.m_connections = m_connections.total() + monitoring_connection_count;
    statistics.m_open_transactions = m_transactions.size();
    statistics.m_waiting_writes = m_quorum.waiting_write_count();
    statistics.m_dispatched = m_dispatched;
    statistics.m_shed = m_shed;
    statistics.m_average_short_wait = m_queue.average_wait(false);
    statistics.m_average_long_wait = m_queue.average_wait(true);
    return statistics;
}

bool owner_engine::may_end_earlier_owners() const {
    return m_rights.may_end_earlier_owners(m_endpoint, m_record.m_owner_epoch, now());
}

bool owner_engine::status_requested() const {
    return !m_position_waits.empty() || !m_position_queries.empty();
}

bool owner_engine::process_in_use(int server_process) const {
    return m_connections.has_server_process(server_process);
}

void owner_engine::on_taken_over() {
    m_outcomes_table_ready = false;
    m_connections.set_enabled(true);
    dispatch_ready();
}

void owner_engine::on_monitor_session_lost(const std::string& reason) {
    core::log_line(core::log_level::warning, "ownership",
                   "endpoint not served until taken over again endpoint=" + m_endpoint.value() +
                       " reason=" + core::quoted(reason));
    refuse_queued(core::reason::endpoint_unreachable);
    m_connections.set_enabled(false);
    for (const auto& query : std::exchange(m_position_queries, {})) {
        query.m_handler(std::nullopt);
    }
}

void owner_engine::on_status(const dialect::endpoint_status& status, core::time_point queried_at) {
    const bool same_primary = is_primary() && !status.m_is_replica && term() == status.m_applied.m_term;
    m_status = status;
    m_applied_position = same_primary ? std::max(m_applied_position, status.m_applied) : status.m_applied;
    if (status.m_is_replica) {
        m_age.on_replica_position(status.m_applied,
                                  m_group ? m_group->m_fork_positions : replication::fork_positions{});
    } else {
        m_age.reset();
    }
    const bool position_valid = status.m_is_replica || may_acknowledge(status.m_applied.m_term);
    std::vector<position_query> later;
    for (auto& query : std::exchange(m_position_queries, {})) {
        if (query.m_queried_at <= queried_at) {
            query.m_handler(position_valid ? std::optional(status.m_applied) : std::nullopt);
        } else {
            later.push_back(std::move(query));
        }
    }
    m_position_queries.insert(m_position_queries.end(), std::make_move_iterator(later.begin()),
                              std::make_move_iterator(later.end()));
    recheck_position_waits();
}

bool owner_engine::on_replica_report(const replication::replica_report& replicas,
                                     core::time_point queried_at) {
    const bool permitted = may_acknowledge(replicas.m_term);
    const auto outcomes = m_quorum.on_replica_report(replicas, queried_at, permitted, now());
    finish_quorum_waits(outcomes);
    return !outcomes.empty();
}

} // namespace mangoquay::ownership
