// Submission, queue and dispatch of the owner.
#include "ownership/owner_engine.h"
#include "ownership/read_path.h"
#include "ownership/transaction_path.h"
#include "ownership/write_path.h"

#include "core/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mangoquay::ownership {
namespace {

// When the obstacle may be gone.
constexpr core::milliseconds obstacle_retry{100};

bool passes_by_itself(core::reason why) {
    constexpr std::array transient{core::reason::endpoint_unreachable, core::reason::lease_lapsed,
                                   core::reason::no_primary,           core::reason::term_replaced,
                                   core::reason::no_eligible_endpoint, core::reason::data_too_old};
    return std::ranges::find(transient, why) != transient.end();
}

} // namespace

void owner_engine::submit(core::statement_request request, const core::entry_host_id& origin,
                          core::deadline position_wait, answer_handler handler) {
    const auto work = std::make_shared<job>();
    work->m_number = admission::work_number{++m_next_job};
    work->m_request = std::move(request);
    work->m_origin = origin;
    work->m_position_wait = position_wait;
    work->m_handler = std::move(handler);
    work->m_submitted_at = now();
    m_jobs.emplace(work->m_number, work);
    const core::statement_kind kind = work->kind();
    if (kind == core::statement_kind::in_transaction || kind == core::statement_kind::commit ||
        kind == core::statement_kind::rollback) {
        run_step(*this, work);
        set_timer();
        return;
    }
    if (const auto why = submission_obstacle(work->m_request); why != core::reason::none) {
        refuse(work, why);
    } else if (kind == core::statement_kind::read) {
        submit_read(work);
    } else if (!count_day(work, work->m_request)) {
        refuse(work, core::reason::day_closed);
    } else {
        enqueue(work);
    }
}

core::reason owner_engine::submission_obstacle(const core::statement_request& request) const {
    if (leaving()) {
        return core::reason::endpoint_leaving;
    }
    if (request.m_group != m_record.m_group) {
        return core::reason::unknown_group;
    }
    if (!m_monitor.lock_held()) {
        return core::reason::endpoint_unreachable;
    }
    if (request.m_deadline.passed(now())) {
        return core::reason::deadline_exceeded;
    }
    if (m_strategy.controls_transaction(request.m_sql)) {
        return core::reason::malformed_request;
    }
    return request.m_kind == core::statement_kind::read ? core::reason::none : write_obstacle(request);
}

void owner_engine::submit_read(const job_ptr& work) {
    const auto& least = work->m_request.m_min_position;
    if (least && !holds_position(*least) && !work->m_position_wait.passed(now())) {
        m_position_waits.push_back(work);
        m_monitor.wake();
        set_timer();
        return;
    }
    if (const auto why = read_obstacle(work->m_request); why != core::reason::none) {
        refuse(work, why);
        return;
    }
    enqueue(work);
}

void owner_engine::serve_position_waits() {
    for (const job_ptr& work : std::exchange(m_position_waits, {})) {
        if (work->answered()) {
            continue;
        }
        if (work->m_request.m_deadline.passed(now())) {
            refuse(work, core::reason::deadline_exceeded);
        } else {
            submit_read(work); // waits on when the position is still not reached
        }
    }
}

void owner_engine::enqueue(const job_ptr& work) {
    const auto& request = work->m_request;
    admission::queued_work queued;
    queued.m_number = work->m_number;
    queued.m_caller = request.m_caller;
    // A transaction holds its slot as long as its service's transactions usually last.
    queued.m_fingerprint = admission::fingerprint_of(
        work->kind() == core::statement_kind::begin ? "begin " + request.m_service.value() : request.m_sql);
    queued.m_declared = request.m_class;
    queued.m_deadline = request.m_deadline;
    const auto outcome = m_queue.offer(queued, now());
    if (!outcome.m_accepted) {
        ++m_shed;
        core::statement_answer shed = core::refused_answer(outcome.m_reason);
        shed.m_retry_after = outcome.m_retry_after;
        log_placement(*work, "shed", std::string(core::to_string(outcome.m_reason)));
        answer(work, std::move(shed));
        return;
    }
    pump();
}

void owner_engine::pump() {
    if (m_pumping) {
        m_pump_again = true;
        return;
    }
    m_pumping = true;
    do {
        m_pump_again = false;
        const auto actions = m_queue.advance(now());
        for (const auto number : actions.m_expired) {
            refuse(m_jobs.at(number), core::reason::deadline_exceeded);
        }
        for (const auto number : actions.m_dispatched) {
            start(m_jobs.at(number));
        }
    } while (m_pump_again);
    m_pumping = false;
    const std::size_t slots = queue_slots();
    m_connections.record_demand(std::min(slots, m_queue.running() + m_queue.waiting()));
    set_timer();
}

void owner_engine::start(const job_ptr& work) {
    work->m_holds_slot = true;
    ++m_dispatched;
    const auto& request = work->m_request;
    const auto why =
        work->kind() == core::statement_kind::read ? read_obstacle(request) : write_obstacle(request);
    if (why != core::reason::none) {
        refuse(work, why);
        free_slot(work, false);
        return;
    }
    log_placement(*work, "dispatched", "slot_free");
    m_connections.acquire(request.m_deadline,
                          [this, work](pooling::lent_connection lent) { run_on(work, std::move(lent)); });
}

void owner_engine::run_on(const job_ptr& work, pooling::lent_connection lent) {
    if (!lent) {
        const bool late = work->m_request.m_deadline.passed(now());
        refuse(work, late ? core::reason::deadline_exceeded : core::reason::endpoint_unreachable,
               "no connection to the endpoint");
        free_slot(work, false);
        return;
    }
    work->m_connection = std::move(lent);
    switch (work->kind()) {
    case core::statement_kind::read:
        run_read(*this, work);
        break;
    case core::statement_kind::write:
        run_write(*this, work);
        break;
    default:
        run_begin(*this, work);
        break;
    }
}

void owner_engine::refuse_queued(core::reason why) {
    for (const auto number : m_queue.withdraw_all()) {
        refuse(m_jobs.at(number), why);
    }
    for (const job_ptr& work : std::exchange(m_position_waits, {})) {
        refuse(work, why);
    }
}

void owner_engine::refuse(const job_ptr& work, core::reason why, const std::string& message) {
    core::statement_answer refusal = core::refused_answer(why, message);
    if (passes_by_itself(why)) {
        refusal.m_retry_after = obstacle_retry;
    }
    log_placement(*work, "refused", std::string(core::to_string(why)));
    answer(work, std::move(refusal));
}

void owner_engine::origin_lost(const core::entry_host_id& origin) {
    for (const auto& [number, work] : std::map(m_jobs)) {
        if (work->m_origin != origin) {
            continue;
        }
        work->m_origin_lost = true;
        if (m_queue.withdraw(number) || std::erase(m_position_waits, work) > 0) {
            refuse(work, core::reason::connection_lost);
        }
    }
    for (const auto& id : m_transactions.opened_through(origin)) {
        roll_back(id);
    }
    set_timer();
}

void owner_engine::log_placement(const job& work, const std::string& what, const std::string& why) const {
    const auto waited = std::chrono::duration_cast<core::milliseconds>(now() - work.m_submitted_at).count();
    core::log_line(core::log_level::debug, "admission",
                   "request " + what + " endpoint=" + m_endpoint.value() + " kind=" +
                       std::string(to_string(work.kind())) + " caller=" + work.m_request.m_caller.value() +
                       " waited_ms=" + std::to_string(waited) + " reason=" + why);
}

} // namespace mangoquay::ownership
