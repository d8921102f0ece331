// Functions used by the read, write and transaction paths: checks, answers, clean-up, quorum waits and
// timers.
#include "ownership/owner_engine.h"

#include "core/log.h"
#include "dialect/postgres_sql.h"

#include <algorithm>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::statement_outcome;

constexpr core::milliseconds clean_up_timeout{2000};
constexpr core::milliseconds conflict_retry_delay{10};

replication::write_number write_number_of(const request_context& context) {
    return replication::write_number{static_cast<std::uint64_t>(context.m_number)};
}

} // namespace

bool owner_engine::may_acknowledge(core::term write_term) const {
    return m_rights.may_acknowledge(m_record.m_group, write_term, now());
}

bool owner_engine::holds_position(const core::history_position& required) const {
    if (!m_status) {
        return false;
    }
    // The current primary holds every position of its own term that was ever reported to a caller.
    if (is_primary() && term() == required.m_term && may_acknowledge(term())) {
        return true;
    }
    return replication::contains_position(
        m_applied_position, required, m_group ? m_group->m_fork_positions : replication::fork_positions{});
}

core::reason owner_engine::write_refusal_reason(const core::statement_request& request) const {
    if (!m_monitor.lock_held()) {
        return core::reason::endpoint_unreachable;
    }
    if (!m_group || !is_primary() || m_group->m_promotion_in_progress || m_group->m_primary != m_endpoint) {
        return core::reason::no_primary;
    }
    if (m_group->m_term != term()) {
        return core::reason::term_replaced;
    }
    // During a planned hand-over, only transactions that have already begun may continue.
    const bool starts =
        request.m_kind == core::statement_kind::write || request.m_kind == core::statement_kind::begin;
    if (m_group->m_writes_held && starts) {
        return core::reason::no_primary;
    }
    if (!may_acknowledge(term())) {
        return core::reason::lease_lapsed;
    }
    const auto& day = request.m_business_day;
    return day.value().empty() || m_rights.day_open(request.m_service, day) ? core::reason::none
                                                                            : core::reason::day_closed;
}

bool owner_engine::requires_current_primary(const core::statement_request& request) const {
    return is_primary() && (!request.m_min_position || request.m_max_age);
}

core::reason owner_engine::read_refusal_reason(const core::statement_request& request) const {
    if (!m_monitor.lock_held()) {
        return core::reason::endpoint_unreachable;
    }
    if (request.m_min_position && !holds_position(*request.m_min_position)) {
        return core::reason::no_eligible_endpoint;
    }
    if (is_primary()) {
        return !requires_current_primary(request) || may_acknowledge(term()) ? core::reason::none
                                                                             : core::reason::lease_lapsed;
    }
    if (request.m_max_age) {
        const auto age = m_age.age_upper_bound(now());
        return age && *age <= *request.m_max_age ? core::reason::none : core::reason::data_too_old;
    }
    return request.m_min_position ? core::reason::none : core::reason::no_eligible_endpoint;
}

void owner_engine::execute(const request_context_ptr& context, const std::string& text,
                           const std::vector<core::cell>& parameters, core::deadline deadline,
                           database::statement_handler next) {
    context->m_connection.m_connection->execute(text, parameters, deadline, std::move(next));
}

void owner_engine::answer(const request_context_ptr& context, core::statement_answer result) {
    const answer_handler handler = std::exchange(context->m_handler, nullptr);
    if (!handler) {
        return;
    }
    result.m_endpoint = m_endpoint;
    handler(std::move(result));
    remove_if_finished(context);
}

core::statement_answer owner_engine::answer_for_failure(const database_answer& failed,
                                                        bool effects_possible) const {
    if (failed.m_outcome == statement_outcome::refused && !effects_possible) {
        const auto kind = m_strategy.classify_error(failed.m_sqlstate);
        core::statement_answer refusal = core::refused_answer(core::reason::database_error, failed.m_message);
        if (kind == dialect::error_class::transaction_conflict) {
            refusal.m_retry_after = conflict_retry_delay;
        }
        return refusal;
    }
    const auto reason = failed.m_outcome == statement_outcome::timed_out ? core::reason::deadline_exceeded
                                                                         : core::reason::connection_lost;
    return effects_possible ? core::uncertain_answer(reason, failed.m_message)
                            : core::refused_answer(reason, failed.m_message);
}

void owner_engine::clean_up(const request_context_ptr& context, bool discard_state) {
    const auto deadline = core::deadline_after(now(), clean_up_timeout);
    const auto state = context->m_connection.m_connection->transaction();
    if (state == database::transaction_state::none && !discard_state) {
        m_connections.return_connection(std::exchange(context->m_connection, {}));
        release_slot(context, true);
        return;
    }
    const bool rolling_back = state != database::transaction_state::none;
    execute(context, rolling_back ? sql::rollback : sql::discard_session_state, {}, deadline,
            [this, context, discard_state, rolling_back](const database_answer& reply) {
                if (reply.m_outcome != statement_outcome::completed) {
                    on_connection_lost(context);
                    return;
                }
                clean_up(context, discard_state && rolling_back);
            });
}

void owner_engine::on_connection_lost(const request_context_ptr& context) {
    const auto lent = std::exchange(context->m_connection, {});
    const int process = lent.m_connection->server_process_id();
    m_connections.close_and_linger(lent);
    m_monitor.end_session(process, [this, context, number = lent.m_number] {
        m_connections.on_session_ended(number);
        release_slot(context, false);
    });
}

void owner_engine::release_slot(const request_context_ptr& context, bool learn) {
    if (!std::exchange(context->m_holds_slot, false)) {
        return;
    }
    m_queue.finish(context->m_number, now(), learn);
    remove_if_finished(context);
    dispatch_ready();
}

void owner_engine::remove_if_finished(const request_context_ptr& context) {
    if (context->answered() && !context->m_holds_slot) {
        uncount_days(context);
        m_requests.erase(context->m_number);
    }
    finish_release_if_idle();
}

bool owner_engine::count_unsettled_day(const request_context_ptr& context,
                                       const core::statement_request& request) {
    const auto& day = request.m_business_day;
    if (day.value().empty()) {
        return true;
    }
    if (!m_rights.day_open(request.m_service, day)) {
        return false;
    }
    if (context->m_days.insert(day).second) {
        m_unsettled.add({request.m_service, day});
    }
    return true;
}

void owner_engine::uncount_days(const request_context_ptr& context) {
    for (const auto& day : std::exchange(context->m_days, {})) {
        m_unsettled.remove({context->m_request.m_service, day});
    }
}

void owner_engine::await_quorum(const request_context_ptr& context, core::log_position position,
                                core::statement_answer result) {
    const core::history_position reached{context->m_term, position};
    result.m_position = reached;
    if (reached.m_term == term()) {
        m_applied_position = std::max(m_applied_position, reached);
    }
    m_quorum_waits.emplace(write_number_of(*context), quorum_wait{context, std::move(result)});
    m_quorum.add_write(write_number_of(*context), reached, context->m_request.m_deadline, now());
    m_monitor.poll_if_idle();
    set_timer();
}

void owner_engine::finish_quorum_waits(const std::vector<replication::write_outcome>& outcomes) {
    for (const auto& finished : outcomes) {
        auto wait = m_quorum_waits.extract(finished.m_number);
        if (finished.m_uncertain_reason == core::reason::none) {
            answer(wait.mapped().m_context, std::move(wait.mapped().m_answer));
        } else {
            answer(wait.mapped().m_context,
                   core::uncertain_answer(finished.m_uncertain_reason,
                                          "committed at the primary, but not confirmed by a quorum"));
        }
    }
}

bool owner_engine::register_transaction(const request_context_ptr& begin) {
    const auto& request = begin->m_request;
    const core::transaction_id id = request.m_transaction;
    if (id.value().empty() ||
        !m_transactions.open(id, {request.m_service, request.m_caller, begin->m_origin}, now())) {
        return false;
    }
    m_transaction_contexts.emplace(id, begin);
    begin->m_connection.m_connection->on_closed_while_idle([this, id, begin] {
        unregister_transaction(id);
        on_connection_lost(begin);
    });
    set_timer();
    return true;
}

void owner_engine::unregister_transaction(const core::transaction_id& id) {
    const auto found = m_transaction_contexts.find(id);
    if (found != m_transaction_contexts.end()) {
        found->second->m_connection.m_connection->on_closed_while_idle(nullptr);
        m_transaction_contexts.erase(found);
    }
    m_transactions.close(id);
}

void owner_engine::on_step_finished(const core::transaction_id& id, bool failed) {
    m_transactions.end_step(id, failed, now());
    const auto found = m_transaction_contexts.find(id);
    if (found != m_transaction_contexts.end() && found->second->m_origin_lost) {
        roll_back(id);
    }
    set_timer();
}

void owner_engine::roll_back(const core::transaction_id& id) {
    const auto found = m_transaction_contexts.find(id);
    // If a step is in progress, on_step_finished() calls this function again.
    if (found == m_transaction_contexts.end() || m_transactions.step_in_progress(id)) {
        return;
    }
    const request_context_ptr connection_context = found->second;
    core::log_line(core::log_level::info, "transactions",
                   "transaction rolled back endpoint=" + m_endpoint.value() +
                       " reason=" + (connection_context->m_origin_lost ? "origin_lost" : "time_limit"));
    unregister_transaction(id);
    clean_up(connection_context, true);
}

void owner_engine::roll_back_expired_transactions() {
    for (const auto& id : m_transactions.expired(now())) {
        roll_back(id);
    }
}

std::optional<core::time_point> owner_engine::next_timer_due() const {
    std::optional<core::time_point> next;
    for (const auto& candidate :
         {m_queue.next_event(now()), m_quorum.next_deadline(), m_transactions.next_expiry()}) {
        next = next && candidate ? std::min(*next, *candidate) : (candidate ? candidate : next);
    }
    for (const request_context_ptr& context : m_position_waits) {
        const auto due = std::min(context->m_position_wait.m_at, context->m_request.m_deadline.m_at);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

void owner_engine::set_timer() {
    if (m_timer) {
        m_loop.cancel_timer(*std::exchange(m_timer, std::nullopt));
    }
    if (const auto next = next_timer_due()) {
        m_timer = m_loop.run_at(*next, [this] {
            m_timer.reset();
            on_timer();
        });
    }
}

void owner_engine::on_timer() {
    finish_quorum_waits(m_quorum.expire_writes(now()));
    roll_back_expired_transactions();
    recheck_position_waits();
    dispatch_ready();
}

} // namespace mangoquay::ownership
