// Attempts, answers and deadlines of the statement dispatcher.
#include "routing/dispatcher_engine.h"

#include "core/log.h"
#include "routing/statement_admission.h"

#include <algorithm>
#include <array>

namespace mangoquay::routing {
namespace {

using core::reason;
using core::statement_kind;

// Time to wait for an answer past the deadline of a request before the request is ended here. The owner
// answers at the deadline too, and its answer states whether the request ran.
constexpr core::milliseconds answer_grace{50};
// If an attempt has lasted at least this long when its deadline passes without an answer, its endpoint is
// recorded as failed.
constexpr core::milliseconds unanswered_limit{1000};
constexpr core::milliseconds default_retry_after{200};
// Token of a session whose positions do not fit into a token. It never verifies, so the reads of the session
// go to the primary.
constexpr const char* oversized_session_token = "outgrown";
constexpr std::uint64_t prune_interval = 4096;

constexpr std::array blocking_reasons{
    reason::no_primary,         reason::owner_unreachable, reason::endpoint_unreachable,
    reason::connection_lost,    reason::term_replaced,     reason::lease_lapsed,
    reason::quorum_not_reached, reason::owner_changed,     reason::control_not_current,
};

bool blocks_writes(reason why) {
    return std::find(blocking_reasons.begin(), blocking_reasons.end(), why) != blocking_reasons.end();
}

void log_decision(const dispatched_request& request, const route_decision& decision) {
    const core::statement_request& statement = request.m_statement.m_request;
    constexpr std::array kinds{"read", "write", "begin", "step", "commit", "rollback"};
    std::string text = kinds.at(static_cast<std::size_t>(statement.m_kind));
    text += (decision.refused() ? " refused service=" : " routed service=") + statement.m_service.value();
    text += " group=" + statement.m_group.value() + " attempt=" + std::to_string(request.m_attempts) + " ";
    core::log_line(core::log_level::info, "routing", text + describe(decision));
}

} // namespace

statement_dispatcher::implementation::implementation(dispatcher_settings settings,
                                                     dispatcher_environment environment,
                                                     const control::control_state& state,
                                                     const sessions::token_codec& tokens,
                                                     owner_client& owners, metrics::metrics_registry& metrics)
    : m_transactions(settings.m_host, settings.m_incarnation), m_settings(std::move(settings)),
      m_environment(std::move(environment)), m_state(state), m_tokens(tokens), m_owners(owners),
      m_metrics(metrics), m_random(m_settings.m_seed) {}

void statement_dispatcher::implementation::execute(entry_statement statement, entry_callback done) {
    const std::uint64_t number = m_next_number++;
    if (number % prune_interval == 0) {
        m_positions.prune(m_state);
    }
    dispatched_request& request = m_requests[number];
    request.m_statement = std::move(statement);
    request.m_done = std::move(done);
    request.m_received = m_environment.m_now();
    request.m_due = core::time_point::max();
    std::optional<core::statement_answer> refusal =
        admit_statement(m_state, m_service_groups, m_environment.m_view_status().m_current,
                        request.m_received, request.m_statement);
    if (m_shutting_down && !request.in_transaction()) {
        refusal = core::refused_answer(reason::shutting_down, "this entry host is shutting down");
    }
    if (request.in_transaction()) {
        begin_step(number, request);
        return;
    }
    if (refusal.has_value()) {
        finish(number, std::move(*refusal));
        return;
    }
    const auto positions = m_tokens.verify(request.m_statement.m_session_token);
    request.m_positions = positions.value_or(sessions::session_positions{});
    const core::service_name& service = request.m_statement.m_request.m_service;
    const auto preset = m_state.m_presets.find(m_state.m_services.at(service).m_preset);
    m_budget.record_first_attempt(
        service, preset == m_state.m_presets.end() ? 0 : preset->second.m_retry_budget_percent);
    start_attempt(number);
}

void statement_dispatcher::implementation::start_attempt(std::uint64_t number) {
    dispatched_request& request = m_requests.at(number);
    const core::time_point now = m_environment.m_now();
    if (request.m_statement.m_request.m_deadline.passed(now)) {
        finish(number, core::refused_answer(reason::deadline_exceeded,
                                            "the deadline passed before the statement was sent"));
        return;
    }
    const view_status view = m_environment.m_view_status();
    ++request.m_attempts;
    request.m_attempt_started = now;
    route_request route;
    fill_position(m_state, request.m_positions, request.m_statement, route);
    route.m_service = request.m_statement.m_request.m_service;
    route.m_group = request.m_statement.m_request.m_group;
    route.m_max_age = request.m_statement.m_request.m_max_age;
    route.m_zone = m_settings.m_zone;
    route.m_view_current = view.m_current;
    route.m_lease_valid = view.m_lease_valid;
    route.m_deadline = request.m_statement.m_request.m_deadline;
    route.m_excluded = request.m_excluded;
    route.m_random = m_random();
    request.m_decision = choose_endpoint(m_state, m_positions, route, now);
    log_decision(request, request.m_decision);
    if (request.m_decision.refused()) {
        conclude_attempt(number, core::refused_answer(request.m_decision.m_refusal));
        return;
    }
    request.m_statement.m_request.m_min_position = request.m_decision.m_min_position;
    if (request.kind() == statement_kind::begin) {
        request.m_statement.m_request.m_transaction = m_transactions.next_id();
    }
    send(number, request);
}

void statement_dispatcher::implementation::send(std::uint64_t number, dispatched_request& request) {
    const route_decision& decision = request.m_decision;
    request.m_sent = true;
    request.m_at_owner = true;
    request.m_attempt_started = m_environment.m_now();
    m_positions.record_attempt_start(decision.m_endpoint);
    set_due_time(number, request, request.m_statement.m_request.m_deadline.m_at + answer_grace);
    const std::uint32_t attempt = request.m_attempts;
    const bool begins = request.kind() == statement_kind::begin;
    // The request may be removed before the answer arrives, so the record of a begun transaction is made
    // here.
    const transactions::open_transaction transaction =
        begins ? transaction_of(request) : transactions::open_transaction{};
    const core::transaction_id begun_id =
        begins ? request.m_statement.m_request.m_transaction : core::transaction_id{};
    // execute() may call back before it returns, which can remove the request, so it is given copies.
    const core::statement_request sent = request.m_statement.m_request;
    const route_decision target = decision;
    m_owners.execute(target.m_owner, target.m_endpoint, target.m_epoch, sent, target.m_position_wait,
                     [this, number, attempt, transaction, begun_id](owner_answer answer) {
                         const auto found = m_requests.find(number);
                         const bool awaited = found != m_requests.end() && found->second.m_at_owner &&
                                              found->second.m_attempts == attempt;
                         if (awaited) {
                             on_answer(number, std::move(answer));
                         } else {
                             on_late_answer(transaction, begun_id, answer);
                         }
                     });
}

void statement_dispatcher::implementation::on_answer(std::uint64_t number, owner_answer answer) {
    dispatched_request& request = m_requests.at(number);
    const core::endpoint_id& from = answer.m_answer.m_endpoint;
    if (!from.value().empty() && from != request.m_decision.m_endpoint) {
        // This is the answer to another request. This request goes on waiting for its own answer.
        core::log_line(core::log_level::error, "routing",
                       "dropped an answer from another endpoint expected=" +
                           request.m_decision.m_endpoint.value() + " endpoint=" + from.value());
        ++m_dropped_answers;
        m_metrics.record_dropped_answer();
        return;
    }
    request.m_at_owner = false;
    m_positions.record_attempt_end(request.m_decision.m_endpoint);
    update_hints(request, answer);
    conclude_attempt(number, std::move(answer.m_answer));
}

void statement_dispatcher::implementation::update_hints(const dispatched_request& request,
                                                        const owner_answer& answer) {
    const route_decision& decision = request.m_decision;
    const core::time_point now = m_environment.m_now();
    if (answer.m_endpoint_position.has_value()) {
        m_positions.set_position(decision.m_endpoint, *answer.m_endpoint_position);
    }
    switch (answer.m_answer.m_reason) {
    case reason::owner_unreachable:
        m_positions.record_owner_failure(decision.m_owner, now);
        break;
    case reason::endpoint_unreachable:
    case reason::connection_lost:
        m_positions.record_endpoint_failure(decision.m_endpoint, now);
        break;
    case reason::data_too_old:
    case reason::no_eligible_endpoint:
        m_positions.record_lag(decision.m_endpoint, now);
        break;
    default:
        m_positions.record_success(decision.m_endpoint, decision.m_owner);
    }
}

void statement_dispatcher::implementation::conclude_attempt(std::uint64_t number,
                                                            core::statement_answer answer) {
    dispatched_request& request = m_requests.at(number);
    if (request.in_transaction()) {
        conclude_step(request, answer);
        finish(number, std::move(answer));
        return;
    }
    if (answer.m_verdict == core::verdict::ran) {
        if (request.kind() == statement_kind::begin) {
            open_transaction(request);
        }
        finish(number, std::move(answer));
        return;
    }
    // A write that timed out in a queue is not_run, which is a sign of overload and not of a lost primary.
    const bool unanswered =
        answer.m_reason == reason::deadline_exceeded && answer.m_verdict == core::verdict::may_have_run;
    if (!request.is_read() && (unanswered || blocks_writes(answer.m_reason))) {
        m_metrics.record_blocked_write(request.m_statement.m_request.m_group, request.m_attempt_started);
    }
    if (!retry_attempt(number, request, answer)) {
        finish(number, std::move(answer));
    }
}

bool statement_dispatcher::implementation::retry_attempt(std::uint64_t number, dispatched_request& request,
                                                         const core::statement_answer& answer) {
    const core::statement_request& statement = request.m_statement.m_request;
    const core::time_point now = m_environment.m_now();
    retries::finished_attempt finished;
    finished.m_verdict = answer.m_verdict;
    finished.m_reason = answer.m_reason;
    finished.m_read = request.is_read();
    finished.m_not_repeatable = statement.m_not_repeatable;
    finished.m_sent = request.m_sent;
    finished.m_attempts = request.m_attempts;
    finished.m_deadline = statement.m_deadline;
    const retries::retry_decision decision =
        retries::decide_retry(finished, now, m_random(), m_settings.m_retry_rules);
    if (!decision.m_retry || (decision.m_charge_budget && !m_budget.try_spend(statement.m_service))) {
        return false;
    }
    m_metrics.record_retry();
    request.m_last_refusal = answer;
    if (decision.m_exclude_endpoint) {
        request.m_excluded.insert(request.m_decision.m_endpoint);
    } else {
        request.m_excluded.clear();
    }
    if (decision.m_delay.count() == 0) {
        start_attempt(number);
    } else {
        set_due_time(number, request, now + decision.m_delay);
    }
    return true;
}

void statement_dispatcher::implementation::finish(std::uint64_t number, core::statement_answer answer) {
    const auto found = m_requests.find(number);
    dispatched_request request = std::move(found->second);
    m_due.erase({request.m_due, number});
    m_requests.erase(found);
    record_metrics(request, answer);
    entry_answer reply;
    if (answer.m_verdict == core::verdict::ran) {
        reply.m_session_token = next_token(request, answer);
        if (request.kind() == statement_kind::begin) {
            reply.m_transaction = request.m_statement.m_request.m_transaction;
        }
    }
    const bool may_recover = answer.m_verdict == core::verdict::not_run && !request.in_transaction() &&
                             blocks_writes(answer.m_reason);
    if (may_recover && !answer.m_retry_after.has_value()) {
        answer.m_retry_after = default_retry_after;
    }
    reply.m_answer = std::move(answer);
    request.m_done(std::move(reply));
}

std::string statement_dispatcher::implementation::next_token(dispatched_request& request,
                                                             const core::statement_answer& answer) const {
    const core::group_id& group = request.m_statement.m_request.m_group;
    if (request.in_transaction()) {
        const auto positions = m_tokens.verify(request.m_statement.m_session_token);
        request.m_positions = positions.value_or(sessions::session_positions{});
    }
    if (answer.m_position.has_value()) {
        sessions::raise_position(request.m_positions, group, *answer.m_position);
    } else if (request.kind() == statement_kind::write || request.kind() == statement_kind::commit) {
        // The position of the write is unknown, so the session's next read of the group must go to the
        // primary.
        request.m_positions.erase(group);
    } else {
        return {};
    }
    return m_tokens.encode(request.m_positions).value_or(oversized_session_token);
}

void statement_dispatcher::implementation::record_metrics(const dispatched_request& request,
                                                          const core::statement_answer& answer) {
    const core::time_point now = m_environment.m_now();
    const core::statement_request& statement = request.m_statement.m_request;
    m_metrics.record_statement(
        {statement.m_class, answer.m_verdict, answer.m_reason, now - request.m_received});
    if (answer.m_verdict != core::verdict::ran) {
        return;
    }
    if (request.is_read()) {
        m_metrics.record_read(request.m_decision.m_replica ? metrics::serving_role::replica
                                                           : metrics::serving_role::primary,
                              request.m_decision.m_replica_eligible);
    }
    if (request.kind() == statement_kind::write || request.kind() == statement_kind::commit) {
        m_metrics.record_completed_write(statement.m_group, now);
    }
}

void statement_dispatcher::implementation::on_owner_connection_lost(const core::entry_host_id& owner) {
    m_positions.record_owner_failure(owner, m_environment.m_now());
    std::vector<std::uint64_t> lost;
    for (const auto& [number, request] : m_requests) {
        if (request.m_at_owner && request.m_decision.m_owner == owner) {
            lost.push_back(number);
        }
    }
    for (const std::uint64_t number : lost) {
        dispatched_request& request = m_requests.at(number);
        request.m_at_owner = false;
        m_positions.record_attempt_end(request.m_decision.m_endpoint);
        conclude_attempt(number, retries::answer_for_lost_owner(
                                     request.kind(), request.m_statement.m_request.m_not_repeatable));
    }
    m_transactions.on_owner_connection_lost(owner);
}

void statement_dispatcher::implementation::set_due_time(std::uint64_t number, dispatched_request& request,
                                                        core::time_point when) {
    m_due.erase({request.m_due, number});
    request.m_due = when;
    m_due.insert({when, number});
    schedule_timer();
}

void statement_dispatcher::implementation::schedule_timer() {
    if (m_due.empty() || m_due.begin()->first >= m_scheduled) {
        return;
    }
    m_scheduled = m_due.begin()->first;
    m_environment.m_run_at(m_scheduled, [this, when = m_scheduled] { on_timer(when); });
}

void statement_dispatcher::implementation::on_timer(core::time_point when) {
    if (when != m_scheduled) {
        return; // A timer for an earlier time was set later; it handles this time too.
    }
    m_scheduled = core::time_point::max();
    const core::time_point now = m_environment.m_now();
    while (!m_due.empty() && m_due.begin()->first <= now) {
        const std::uint64_t number = m_due.begin()->second;
        m_due.erase(m_due.begin());
        if (number == 0) {
            expire_transactions();
        } else {
            on_due(number);
        }
    }
    schedule_timer();
}

void statement_dispatcher::implementation::on_due(std::uint64_t number) {
    dispatched_request& request = m_requests.at(number);
    if (!request.m_at_owner) {
        if (request.m_statement.m_request.m_deadline.passed(m_environment.m_now())) {
            finish(number, request.m_last_refusal);
        } else {
            start_attempt(number);
        }
        return;
    }
    request.m_at_owner = false;
    m_positions.record_attempt_end(request.m_decision.m_endpoint);
    const core::time_point now = m_environment.m_now();
    if (now - request.m_attempt_started >= unanswered_limit) {
        m_positions.record_endpoint_failure(request.m_decision.m_endpoint, now);
    }
    conclude_attempt(
        number, retries::answer_at_deadline(request.kind(), request.m_statement.m_request.m_not_repeatable));
}

} // namespace mangoquay::routing
