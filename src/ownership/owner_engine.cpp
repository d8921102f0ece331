// Construction, control records and reports of the owner.
#include "ownership/owner_engine.h"

#include "core/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangoquay::ownership {
namespace {

constexpr core::milliseconds stalled_after{1000};
// The monitoring connection.
constexpr std::size_t own_connections = 1;

std::size_t pooled_limit(const control::endpoint_record& record) {
    return std::max<std::size_t>(record.m_connections, own_connections + 1) - own_connections;
}

admission::queue_policy queue_policy_of(const control::endpoint_record& record,
                                        const control::preset_record& policy) {
    admission::queue_policy limits;
    // A slot without a connection would be of no use.
    limits.m_slots = std::clamp<std::size_t>(record.m_slots, 1, pooled_limit(record));
    limits.m_reserved_short_slots = policy.m_reserved_short_slots;
    limits.m_bound_per_slot = policy.m_queue_bound_per_slot;
    limits.m_shed_wait = core::milliseconds(policy.m_shed_wait_ms);
    return limits;
}

pooling::pool_policy pool_policy_of(const control::endpoint_record& record,
                                    const control::preset_record& policy) {
    pooling::pool_policy limits;
    limits.m_limit = pooled_limit(record);
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
    // Handlers only: no work may be dispatched any more.
    m_pumping = true;
    for (const auto& [number, work] : std::map(m_jobs)) {
        answer(work, work->m_effects_possible ? core::uncertain_answer(core::reason::shutting_down)
                                              : core::refused_answer(core::reason::shutting_down));
    }
    for (const auto& question : m_position_questions) {
        question.m_handler(std::nullopt);
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
    pump();
}

void owner_engine::set_group(const control::group_record& group) {
    m_group = group;
    end_writes(m_quorum.set_group(group.m_term, group.m_promotion_in_progress, group.m_members));
    // A finished promotion fixed what of the old term remains, so that its writes can change nothing more.
    if (!group.m_promotion_in_progress) {
        for (const auto& [number, work] : std::map(m_jobs)) {
            if (work->answered() && !m_transaction_jobs.contains(work->m_request.m_transaction) &&
                work->m_term < group.m_term) {
                settle_days(work);
            }
        }
    }
    pump();
}

void owner_engine::drain() {
    m_draining = true;
    refuse_queued(core::reason::endpoint_leaving);
}

void owner_engine::release(std::function<void()> done) {
    m_on_released = std::move(done);
    drain();
    check_released();
}

bool owner_engine::idle() const {
    return m_transactions.size() == 0 &&
           std::ranges::all_of(m_jobs, [](const auto& item) { return item.second->answered(); });
}

void owner_engine::check_released() {
    if (!m_on_released || !idle()) {
        return;
    }
    m_monitor.stop();
    m_connections.set_enabled(false);
    core::log_line(core::log_level::info, "ownership", "endpoint released endpoint=" + m_endpoint.value());
    // Posted: the callee may destroy this object.
    m_loop.post(std::exchange(m_on_released, nullptr));
}

std::size_t owner_engine::queue_slots() const {
    return queue_policy_of(m_record, m_policy).m_slots;
}

bool owner_engine::leaving() const {
    return m_draining || m_record.m_leaving || m_policy.m_drained_endpoints.contains(m_endpoint);
}

std::optional<core::history_position> owner_engine::position() const {
    return m_monitor.lock_held() && m_status ? std::optional(m_reached) : std::nullopt;
}

void owner_engine::ask_position(position_handler handler) {
    if (!m_monitor.lock_held()) {
        handler(std::nullopt);
        return;
    }
    m_position_questions.push_back({now(), std::move(handler)});
    m_monitor.wake();
}

void owner_engine::primary_position_proven(core::time_point asked_at,
                                           const core::history_position& position) {
    m_age.on_primary_position(asked_at, position,
                              m_group ? m_group->m_fork_positions : replication::fork_positions{});
}

owner_health owner_engine::health() const {
    owner_health health;
    health.m_reachable = m_monitor.reachable();
    health.m_lock_held = m_monitor.lock_held();
    health.m_position = position();
    if (m_status) {
        health.m_is_replica = m_status->m_is_replica;
        health.m_follows = m_status->m_follows;
    }
    const auto since = m_quorum.oldest_waiting_since();
    health.m_writes_stalled = since && now() - *since > stalled_after;
    return health;
}

owner_measures owner_engine::measures() const {
    owner_measures measures;
    measures.m_queue_length = m_queue.waiting();
    measures.m_busy_slots = m_queue.running();
    measures.m_slots = queue_slots();
    measures.m_connections = m_connections.total() + own_connections;
    measures.m_open_transactions = m_transactions.size();
    measures.m_writes_waiting = m_quorum.waiting_write_count();
    measures.m_dispatched = m_dispatched;
    measures.m_shed = m_shed;
    measures.m_short_wait = m_queue.average_wait(false);
    measures.m_long_wait = m_queue.average_wait(true);
    return measures;
}

bool owner_engine::may_end_earlier_owners() const {
    return m_rights.may_end_earlier_owners(m_endpoint, m_record.m_owner_epoch, now());
}

bool owner_engine::status_wanted() const {
    return !m_position_waits.empty() || !m_position_questions.empty();
}

bool owner_engine::process_in_use(int server_process) const {
    return m_connections.has_server_process(server_process);
}

void owner_engine::on_taken_over() {
    m_outcomes_table_ready = false;
    m_connections.set_enabled(true);
    pump();
}

void owner_engine::on_lost(const std::string& why) {
    core::log_line(core::log_level::warning, "ownership",
                   "endpoint not served until taken over again endpoint=" + m_endpoint.value() +
                       " reason=" + why);
    refuse_queued(core::reason::endpoint_unreachable);
    m_connections.set_enabled(false);
    for (const auto& question : std::exchange(m_position_questions, {})) {
        question.m_handler(std::nullopt);
    }
}

void owner_engine::on_status(const dialect::endpoint_status& status, core::time_point asked_at) {
    const bool same_primary = is_primary() && !status.m_is_replica && term() == status.m_applied.m_term;
    m_status = status;
    m_reached = same_primary ? std::max(m_reached, status.m_applied) : status.m_applied;
    if (status.m_is_replica) {
        m_age.on_replica_position(status.m_applied,
                                  m_group ? m_group->m_fork_positions : replication::fork_positions{});
    } else {
        m_age.reset();
    }
    const bool known = status.m_is_replica || may_acknowledge(status.m_applied.m_term);
    std::vector<position_question> later;
    for (auto& question : std::exchange(m_position_questions, {})) {
        if (question.m_asked_at <= asked_at) {
            question.m_handler(known ? std::optional(status.m_applied) : std::nullopt);
        } else {
            later.push_back(std::move(question));
        }
    }
    m_position_questions.insert(m_position_questions.end(), std::make_move_iterator(later.begin()),
                                std::make_move_iterator(later.end()));
    serve_position_waits();
}

bool owner_engine::on_replicas(const replication::replica_report& replicas, core::time_point asked_at) {
    const bool may = may_acknowledge(replicas.m_term);
    const auto ends = m_quorum.on_replica_report(replicas, asked_at, may, now());
    end_writes(ends);
    return !ends.empty();
}

} // namespace mangoquay::ownership
