// What the read, write and transaction paths use: checks, answers, cleaning up, quorum waits, timers.
#include "ownership/owner_engine.h"

#include "core/log.h"
#include "dialect/postgres_sql.h"

#include <algorithm>
#include <utility>

namespace mangoquay::ownership {
namespace {

namespace sql = dialect::postgres_sql;
using database::database_answer;
using database::outcome;

constexpr core::milliseconds clean_up_limit{2000};
constexpr core::milliseconds conflict_retry{10};

replication::write_number write_of(const job& work) {
    return replication::write_number{static_cast<std::uint64_t>(work.m_number)};
}

} // namespace

bool owner_engine::may_acknowledge(core::term under) const {
    return m_rights.may_acknowledge(m_record.m_group, under, now());
}

bool owner_engine::holds_position(const core::history_position& wanted) const {
    if (!m_status) {
        return false;
    }
    // The present primary holds every position of its own term that was ever given out.
    if (is_primary() && term() == wanted.m_term && may_acknowledge(term())) {
        return true;
    }
    return replication::contains_position(
        m_reached, wanted, m_group ? m_group->m_fork_positions : replication::fork_positions{});
}

core::reason owner_engine::write_obstacle(const core::statement_request& request) const {
    if (!m_monitor.lock_held()) {
        return core::reason::endpoint_unreachable;
    }
    if (!m_group || !is_primary() || m_group->m_promotion_in_progress || m_group->m_primary != m_endpoint) {
        return core::reason::no_primary;
    }
    if (m_group->m_term != term()) {
        return core::reason::term_replaced;
    }
    // During a planned hand-over only work that has begun goes on.
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

bool owner_engine::needs_present_primary(const core::statement_request& request) const {
    return is_primary() && (!request.m_min_position || request.m_max_age);
}

core::reason owner_engine::read_obstacle(const core::statement_request& request) const {
    if (!m_monitor.lock_held()) {
        return core::reason::endpoint_unreachable;
    }
    if (request.m_min_position && !holds_position(*request.m_min_position)) {
        return core::reason::no_eligible_endpoint;
    }
    if (is_primary()) {
        return !needs_present_primary(request) || may_acknowledge(term()) ? core::reason::none
                                                                          : core::reason::lease_lapsed;
    }
    if (request.m_max_age) {
        const auto age = m_age.age_upper_bound(now());
        return age && *age <= *request.m_max_age ? core::reason::none : core::reason::data_too_old;
    }
    return request.m_min_position ? core::reason::none : core::reason::no_eligible_endpoint;
}

void owner_engine::execute(const job_ptr& work, const std::string& text,
                           const std::vector<core::cell>& parameters, core::deadline by,
                           database::statement_handler next) {
    work->m_connection.m_connection->execute(text, parameters, by, std::move(next));
}

void owner_engine::answer(const job_ptr& work, core::statement_answer with) {
    const answer_handler handler = std::exchange(work->m_handler, nullptr);
    if (!handler) {
        return;
    }
    with.m_endpoint = m_endpoint;
    handler(std::move(with));
    forget_if_done(work);
}

core::statement_answer owner_engine::failed_answer(const database_answer& failed,
                                                   bool effects_possible) const {
    if (failed.m_outcome == outcome::refused && !effects_possible) {
        const auto kind = m_strategy.classify(failed.m_sqlstate);
        core::statement_answer refusal = core::refused_answer(core::reason::database_error, failed.m_message);
        if (kind == dialect::error_class::transaction_conflict) {
            refusal.m_retry_after = conflict_retry;
        }
        return refusal;
    }
    const auto why = failed.m_outcome == outcome::timed_out ? core::reason::deadline_exceeded
                                                            : core::reason::connection_lost;
    return effects_possible ? core::uncertain_answer(why, failed.m_message)
                            : core::refused_answer(why, failed.m_message);
}

void owner_engine::clean_up(const job_ptr& work, bool discard_state) {
    const auto by = core::deadline_after(now(), clean_up_limit);
    const auto state = work->m_connection.m_connection->transaction();
    if (state == database::transaction_state::none && !discard_state) {
        m_connections.return_connection(std::exchange(work->m_connection, {}));
        free_slot(work, true);
        return;
    }
    const bool rolling_back = state != database::transaction_state::none;
    execute(work, rolling_back ? sql::rollback : sql::discard_session_state, {}, by,
            [this, work, discard_state, rolling_back](const database_answer& got) {
                if (got.m_outcome != outcome::completed) {
                    connection_lost(work);
                    return;
                }
                clean_up(work, discard_state && rolling_back);
            });
}

void owner_engine::connection_lost(const job_ptr& work) {
    const auto lent = std::exchange(work->m_connection, {});
    const int process = lent.m_connection->server_process();
    m_connections.close_and_linger(lent);
    m_monitor.end_session(process, [this, work, number = lent.m_number] {
        m_connections.on_session_ended(number);
        free_slot(work, false);
    });
}

void owner_engine::free_slot(const job_ptr& work, bool learn) {
    if (!std::exchange(work->m_holds_slot, false)) {
        return;
    }
    m_queue.finish(work->m_number, now(), learn);
    forget_if_done(work);
    pump();
}

void owner_engine::forget_if_done(const job_ptr& work) {
    if (work->answered() && !work->m_holds_slot) {
        settle_days(work);
        m_jobs.erase(work->m_number);
    }
    check_released();
}

bool owner_engine::count_day(const job_ptr& work, const core::statement_request& request) {
    const auto& day = request.m_business_day;
    if (day.value().empty()) {
        return true;
    }
    if (!m_rights.day_open(request.m_service, day)) {
        return false;
    }
    if (work->m_days.insert(day).second) {
        m_unsettled.add({request.m_service, day});
    }
    return true;
}

void owner_engine::settle_days(const job_ptr& work) {
    for (const auto& day : std::exchange(work->m_days, {})) {
        m_unsettled.remove({work->m_request.m_service, day});
    }
}

void owner_engine::await_quorum(const job_ptr& work, core::log_position position,
                                core::statement_answer with) {
    const core::history_position reached{work->m_term, position};
    with.m_position = reached;
    if (reached.m_term == term()) {
        m_reached = std::max(m_reached, reached);
    }
    m_quorum_waits.emplace(write_of(*work), quorum_wait{work, std::move(with)});
    m_quorum.add_write(write_of(*work), reached, work->m_request.m_deadline, now());
    m_monitor.wake();
    set_timer();
}

void owner_engine::end_writes(const std::vector<replication::write_outcome>& ends) {
    for (const auto& end : ends) {
        auto wait = m_quorum_waits.extract(end.m_number);
        if (end.m_uncertain_reason == core::reason::none) {
            answer(wait.mapped().m_job, std::move(wait.mapped().m_answer));
        } else {
            answer(wait.mapped().m_job,
                   core::uncertain_answer(end.m_uncertain_reason, "committed at the primary only"));
        }
    }
}

bool owner_engine::transaction_opened(const job_ptr& begin) {
    const auto& request = begin->m_request;
    const core::transaction_id id = request.m_transaction;
    if (id.value().empty() ||
        !m_transactions.open(id, {request.m_service, request.m_caller, begin->m_origin}, now())) {
        return false;
    }
    m_transaction_jobs.emplace(id, begin);
    begin->m_connection.m_connection->on_idle_end([this, id, begin] {
        transaction_closed(id);
        connection_lost(begin);
    });
    set_timer();
    return true;
}

void owner_engine::transaction_closed(const core::transaction_id& id) {
    const auto found = m_transaction_jobs.find(id);
    if (found != m_transaction_jobs.end()) {
        found->second->m_connection.m_connection->on_idle_end(nullptr);
        m_transaction_jobs.erase(found);
    }
    m_transactions.close(id);
}

void owner_engine::step_ended(const core::transaction_id& id, bool failed) {
    m_transactions.end_step(id, failed, now());
    const auto found = m_transaction_jobs.find(id);
    if (found != m_transaction_jobs.end() && found->second->m_origin_lost) {
        roll_back(id);
    }
    set_timer();
}

void owner_engine::roll_back(const core::transaction_id& id) {
    const auto found = m_transaction_jobs.find(id);
    // A step in flight ends first; step_ended() comes back here.
    if (found == m_transaction_jobs.end() || m_transactions.step_in_flight(id)) {
        return;
    }
    const job_ptr holder = found->second;
    core::log_line(core::log_level::info, "transactions",
                   "transaction rolled back endpoint=" + m_endpoint.value() +
                       " reason=" + (holder->m_origin_lost ? "origin_lost" : "time_limit"));
    transaction_closed(id);
    clean_up(holder, true);
}

void owner_engine::end_due_transactions() {
    for (const auto& id : m_transactions.expired(now())) {
        roll_back(id);
    }
}

std::optional<core::time_point> owner_engine::next_event() const {
    std::optional<core::time_point> next;
    for (const auto& candidate :
         {m_queue.next_event(now()), m_quorum.next_deadline(), m_transactions.next_expiry()}) {
        next = next && candidate ? std::min(*next, *candidate) : (candidate ? candidate : next);
    }
    for (const job_ptr& work : m_position_waits) {
        const auto due = std::min(work->m_position_wait.m_at, work->m_request.m_deadline.m_at);
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

void owner_engine::set_timer() {
    if (m_timer) {
        m_loop.cancel_timer(*std::exchange(m_timer, std::nullopt));
    }
    if (const auto next = next_event()) {
        m_timer = m_loop.run_at(*next, [this] {
            m_timer.reset();
            on_timer();
        });
    }
}

void owner_engine::on_timer() {
    end_writes(m_quorum.expire_writes(now()));
    end_due_transactions();
    serve_position_waits();
    pump();
}

} // namespace mangoquay::ownership
