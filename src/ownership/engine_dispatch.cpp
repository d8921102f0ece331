// Submission, queueing and dispatch of requests.
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

// Delay after which a retry may succeed.
constexpr core::milliseconds transient_retry_delay{100};

bool is_transient(core::reason reason) {
    constexpr std::array transient{core::reason::endpoint_unreachable, core::reason::lease_lapsed,
                                   core::reason::no_primary,           core::reason::term_replaced,
                                   core::reason::no_eligible_endpoint, core::reason::data_too_old};
    return std::ranges::find(transient, reason) != transient.end();
}

} // namespace

void owner_engine::submit(core::statement_request request, const core::entry_host_id& origin,
                          core::deadline position_wait, answer_handler handler) {
    const auto context = std::make_shared<request_context>();
    context->m_number = admission::work_number{++m_last_request_number};
    context->m_request = std::move(request);
    context->m_origin = origin;
    context->m_position_wait = position_wait;
    context->m_handler = std::move(handler);
    context->m_submitted_at = now();
    m_requests.emplace(context->m_number, context);
    const core::statement_kind kind = context->kind();
    if (kind == core::statement_kind::in_transaction || kind == core::statement_kind::commit ||
        kind == core::statement_kind::rollback) {
        run_step(*this, context);
        set_timer();
        return;
    }
    if (const auto reason = submission_refusal_reason(context->m_request); reason != core::reason::none) {
        refuse(context, reason);
    } else if (kind == core::statement_kind::read) {
        submit_read(context);
    } else if (!count_unsettled_day(context, context->m_request)) {
        refuse(context, core::reason::day_closed);
    } else {
        enqueue(context);
    }
}

core::reason owner_engine::submission_refusal_reason(const core::statement_request& request) const {
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
    return request.m_kind == core::statement_kind::read ? core::reason::none : write_refusal_reason(request);
}

void owner_engine::submit_read(const request_context_ptr& context) {
    const auto& min_position = context->m_request.m_min_position;
    if (min_position && !holds_position(*min_position) && !context->m_position_wait.passed(now())) {
        m_position_waits.push_back(context);
        m_monitor.poll_if_idle();
        set_timer();
        return;
    }
    if (const auto reason = read_refusal_reason(context->m_request); reason != core::reason::none) {
        refuse(context, reason);
        return;
    }
    enqueue(context);
}

void owner_engine::recheck_position_waits() {
    for (const request_context_ptr& context : std::exchange(m_position_waits, {})) {
        if (context->answered()) {
            continue;
        }
        if (context->m_request.m_deadline.passed(now())) {
            refuse(context, core::reason::deadline_exceeded);
        } else {
            submit_read(context); // Waits again if the position is still not reached.
        }
    }
}

void owner_engine::enqueue(const request_context_ptr& context) {
    const auto& request = context->m_request;
    admission::queued_work queued;
    queued.m_number = context->m_number;
    queued.m_caller = request.m_caller;
    // A transaction holds its slot until it ends, so its run time is estimated from other transactions of the
    // service.
    queued.m_fingerprint = admission::fingerprint_of(context->kind() == core::statement_kind::begin
                                                         ? "begin " + request.m_service.value()
                                                         : request.m_sql);
    queued.m_declared = request.m_class;
    queued.m_deadline = request.m_deadline;
    const auto outcome = m_queue.offer(queued, now());
    if (!outcome.m_accepted) {
        ++m_shed;
        core::statement_answer shed = core::refused_answer(outcome.m_reason);
        shed.m_retry_after = outcome.m_retry_after;
        log_queue_event(*context, "shed", std::string(core::to_string(outcome.m_reason)));
        answer(context, std::move(shed));
        return;
    }
    dispatch_ready();
}

void owner_engine::dispatch_ready() {
    if (m_dispatching) {
        m_dispatch_again = true;
        return;
    }
    m_dispatching = true;
    do {
        m_dispatch_again = false;
        const auto actions = m_queue.advance(now());
        for (const auto number : actions.m_expired) {
            refuse(m_requests.at(number), core::reason::deadline_exceeded);
        }
        for (const auto number : actions.m_dispatched) {
            start(m_requests.at(number));
        }
    } while (m_dispatch_again);
    m_dispatching = false;
    const std::size_t slots = queue_slots();
    m_connections.record_demand(std::min(slots, m_queue.running() + m_queue.waiting()));
    set_timer();
}

void owner_engine::start(const request_context_ptr& context) {
    context->m_holds_slot = true;
    ++m_dispatched;
    const auto& request = context->m_request;
    const auto reason = context->kind() == core::statement_kind::read ? read_refusal_reason(request)
                                                                      : write_refusal_reason(request);
    if (reason != core::reason::none) {
        refuse(context, reason);
        release_slot(context, false);
        return;
    }
    log_queue_event(*context, "dispatched", "slot_free");
    m_connections.acquire(request.m_deadline, [this, context](pooling::lent_connection lent) {
        run_on_connection(context, std::move(lent));
    });
}

void owner_engine::run_on_connection(const request_context_ptr& context, pooling::lent_connection lent) {
    if (!lent) {
        const bool late = context->m_request.m_deadline.passed(now());
        refuse(context, late ? core::reason::deadline_exceeded : core::reason::endpoint_unreachable,
               "no connection to the endpoint");
        release_slot(context, false);
        return;
    }
    context->m_connection = std::move(lent);
    switch (context->kind()) {
    case core::statement_kind::read:
        run_read(*this, context);
        break;
    case core::statement_kind::write:
        run_write(*this, context);
        break;
    default:
        run_begin(*this, context);
        break;
    }
}

void owner_engine::refuse_queued(core::reason reason) {
    for (const auto number : m_queue.withdraw_all()) {
        refuse(m_requests.at(number), reason);
    }
    for (const request_context_ptr& context : std::exchange(m_position_waits, {})) {
        refuse(context, reason);
    }
}

void owner_engine::refuse(const request_context_ptr& context, core::reason reason,
                          const std::string& message) {
    core::statement_answer refusal = core::refused_answer(reason, message);
    if (is_transient(reason)) {
        refusal.m_retry_after = transient_retry_delay;
    }
    log_queue_event(*context, "refused", std::string(core::to_string(reason)));
    answer(context, std::move(refusal));
}

void owner_engine::on_origin_lost(const core::entry_host_id& origin) {
    for (const auto& [number, context] : std::map(m_requests)) {
        if (context->m_origin != origin) {
            continue;
        }
        context->m_origin_lost = true;
        if (m_queue.withdraw(number) || std::erase(m_position_waits, context) > 0) {
            refuse(context, core::reason::connection_lost);
        }
    }
    for (const auto& id : m_transactions.opened_through(origin)) {
        roll_back(id);
    }
    set_timer();
}

void owner_engine::log_queue_event(const request_context& context, const std::string& event,
                                   const std::string& reason) const {
    const auto waited =
        std::chrono::duration_cast<core::milliseconds>(now() - context.m_submitted_at).count();
    core::log_line(core::log_level::debug, "admission",
                   "request " + event + " endpoint=" + m_endpoint.value() +
                       " kind=" + std::string(to_string(context.kind())) +
                       " caller=" + context.m_request.m_caller.value() +
                       " waited_ms=" + std::to_string(waited) + " reason=" + reason);
}

} // namespace mangoquay::ownership
