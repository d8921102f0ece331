// Model of a database group: effects of steps, answers, repair and recovery after faults.
#include "support/group_model.h"

namespace mangoquay::testing {

using core::milliseconds;

void group_model::execute_action(std::size_t index) {
    const auto [leader, requested] = m_actions[index];
    m_actions.erase(m_actions.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_steps.one_in(8)) {
        m_actions.push_back({leader, requested}); // Reordered after later actions.
        return;
    }
    if (const auto* proposal = std::get_if<failover::propose>(&requested)) {
        commit(proposal->m_command);
        tick();
        return;
    }
    if (const auto* probe_request = std::get_if<failover::request_proxy_probe>(&requested)) {
        answer_proxy_probe(*probe_request);
        return;
    }
    failover::step_answer answer;
    std::visit(
        [&](const auto& typed) {
            if constexpr (requires { typed.m_attempt; }) {
                answer.m_attempt = typed.m_attempt;
                answer.m_endpoint = typed.m_endpoint;
            }
        },
        requested);
    database& target = m_databases[index_of(answer.m_endpoint)];
    const bool reached = target.m_alive && !target.m_unreachable_from_leader && !m_steps.one_in(10);
    answer.m_succeeded = reached && apply_step(requested, leader, target);
    answer.m_status = status_of(target);
    if (!m_steps.one_in(10)) {
        m_answers.push_back({leader, answer});
    }
}

bool group_model::apply_step(const failover::action& requested, std::uint64_t leader, database& target) {
    if (std::holds_alternative<failover::read_position>(requested)) {
        return true;
    }
    const auto is_superseded = [&](std::uint64_t attempt) {
        const std::pair step_number{leader, attempt};
        if (step_number < target.m_last_step) {
            return true;
        }
        target.m_last_step = std::max(target.m_last_step, step_number);
        return false;
    };
    if (const auto* stop_step = std::get_if<failover::stop_following>(&requested)) {
        if (is_superseded(stop_step->m_attempt)) {
            return false;
        }
        target.m_follows = -1;
        target.m_streaming = false;
    } else if (const auto* follow_step = std::get_if<failover::follow_primary>(&requested)) {
        if (is_superseded(follow_step->m_attempt)) {
            return false;
        }
        target.m_follows = index_of(follow_step->m_primary);
        target.m_streaming = false;
    } else if (const auto* promote_step = std::get_if<failover::promote>(&requested)) {
        if (is_superseded(promote_step->m_attempt)) {
            return false;
        }
        if (target.m_in_recovery) {
            target.m_in_recovery = target.m_streaming = false;
            target.m_follows = -1;
            target.m_checkpoint_term = ++target.m_term;
            target.m_log.push_back(m_next_entry++); // End-of-recovery record.
        }
    }
    return true;
}

void group_model::deliver_answer() {
    if (m_answers.empty()) {
        return;
    }
    const auto index =
        m_steps.one_in(4) ? m_steps.next_below(static_cast<std::uint32_t>(m_answers.size())) : 0;
    const auto answer = m_answers[index];
    m_answers.erase(m_answers.begin() + index);
    if (answer.m_leader == m_leader) {
        const auto empty_leases = membership::lease_table{};
        membership::lease_table leases = empty_leases;
        enqueue_actions(m_core.on_step_answer(
            m_now, m_state, m_injected_fault == injected_fault::skips_wait_for_effect ? leases : m_leases,
            answer.m_message));
    }
}

void group_model::answer_proxy_probe(const failover::request_proxy_probe& probe_request) {
    const database& target = m_databases[index_of(probe_request.m_endpoint)];
    const bool reachable = target.m_alive && !target.m_unreachable_from_proxies;
    m_core.on_probe_result(m_now, m_state, {probe_request.m_host, probe_request.m_endpoint, reachable});
}

// Models the platform, which rebuilds a member that needs a rewind from the current primary.
void group_model::rewind(int index) {
    database& target = m_databases[index];
    const auto primary = record().m_primary;
    if (!record().m_needs_rewind.contains(id_of(index)) || primary.value().empty() || !target.m_alive) {
        return;
    }
    const database& source = m_databases[index_of(primary)];
    while (!is_prefix(target.m_log, source.m_log)) {
        target.m_log.pop_back();
    }
    target.m_in_recovery = true;
    target.m_follows = index_of(primary);
}

// Runs a round of regular operation, so that promotions finish within a short script.
void group_model::run_fault_free_round() {
    m_now += milliseconds(50);
    for (int index = 0; index < static_cast<int>(m_databases.size()); ++index) {
        replicate(index);
    }
    for (model_proxy& proxy : m_proxies) {
        apply_commands(proxy, 2);
        heartbeat(proxy);
        poll_replicas(proxy);
        acknowledge(proxy);
    }
    tick();
    for (std::size_t pending = std::min<std::size_t>(m_actions.size(), 8); pending > 0; --pending) {
        execute_action(0);
    }
    while (!m_answers.empty()) {
        deliver_answer();
    }
}

std::string group_model::hand_over() {
    std::string violation_text = heal_and_finish();
    const core::endpoint_id drained = record().m_primary;
    commit(control::drain_endpoint{drained, true});
    const int before = m_next_entry;
    for (int round = 0; round < 400 && violation_text.empty() && record().m_primary == drained; ++round) {
        for (model_proxy& proxy : m_proxies) {
            // Models long writes, which outlast the start of the hand-over.
            proxy.m_acknowledgements_paused = round < 6;
            apply_commands(proxy, m_committed.size());
            write(proxy);
        }
        run_fault_free_round();
        while (record().m_promotion_in_progress && violation_text.empty() && round++ < 400) {
            run_fault_free_round();
            violation_text = violation();
        }
    }
    if (!violation_text.empty() || record().m_primary == drained || record().m_primary.value().empty()) {
        return violation_text.empty() ? "the primary was not handed over" : violation_text;
    }
    const auto& log = m_databases[index_of(drained)].m_log;
    const bool answered = std::all_of(
        log.begin(), log.end(), [&](int entry) { return entry < before || m_acknowledged.contains(entry); });
    return answered ? "" : "a write in flight was not acknowledged during a hand-over";
}

std::string group_model::heal_and_finish() {
    for (database& server : m_databases) {
        heal(server);
    }
    for (model_proxy& proxy : m_proxies) {
        proxy.m_paused = proxy.m_acknowledgements_paused = false;
    }
    const std::size_t before = m_acknowledged.size();
    for (int round = 0; round < 400; ++round) {
        for (int index = 0; index < static_cast<int>(m_databases.size()); ++index) {
            rewind(index);
        }
        for (model_proxy& proxy : m_proxies) {
            apply_commands(proxy, m_committed.size());
            write(proxy);
        }
        run_fault_free_round();
        std::string violation_text = violation();
        if (!violation_text.empty()) {
            return violation_text;
        }
        if (!record().m_promotion_in_progress && m_acknowledged.size() > before + 20) {
            return "";
        }
    }
    return "the group did not recover after all faults had healed";
}

} // namespace mangoquay::testing
