// Model of a database group: effects of steps, answers, repair, and the way back to health.
#include "support/group_model.h"

namespace mangoquay::testing {

using core::milliseconds;

void group_model::execute_action(std::size_t index) {
    const auto [leader, wanted] = m_actions[index];
    m_actions.erase(m_actions.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_steps.one_in(8)) {
        m_actions.push_back({leader, wanted}); // delayed behind later ones
        return;
    }
    if (const auto* proposal = std::get_if<failover::propose>(&wanted)) {
        commit(proposal->m_command);
        tick();
        return;
    }
    if (const auto* ask = std::get_if<failover::request_proxy_probe>(&wanted)) {
        answer_proxy_probe(*ask);
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
        wanted);
    database& at = m_databases[index_of(answer.m_endpoint)];
    const bool reached = at.m_alive && !at.m_unreachable_from_leader && !m_steps.one_in(10);
    answer.m_succeeded = reached && apply_step(wanted, leader, at);
    answer.m_status = status_of(at);
    if (!m_steps.one_in(10)) {
        m_answers.push_back({leader, answer});
    }
}

bool group_model::apply_step(const failover::action& wanted, std::uint64_t leader, database& at) {
    if (std::holds_alternative<failover::read_position>(wanted)) {
        return true;
    }
    const auto is_superseded = [&](std::uint64_t attempt) {
        const std::pair step_number{leader, attempt};
        if (step_number < at.m_last_step) {
            return true;
        }
        at.m_last_step = std::max(at.m_last_step, step_number);
        return false;
    };
    if (const auto* stop = std::get_if<failover::stop_following>(&wanted)) {
        if (is_superseded(stop->m_attempt)) {
            return false;
        }
        at.m_follows = -1;
        at.m_streaming = false;
    } else if (const auto* follow = std::get_if<failover::follow_primary>(&wanted)) {
        if (is_superseded(follow->m_attempt)) {
            return false;
        }
        at.m_follows = index_of(follow->m_primary);
        at.m_streaming = false;
    } else if (const auto* promotion = std::get_if<failover::promote>(&wanted)) {
        if (is_superseded(promotion->m_attempt)) {
            return false;
        }
        if (at.m_in_recovery) {
            at.m_in_recovery = at.m_streaming = false;
            at.m_follows = -1;
            at.m_checkpoint_term = ++at.m_term;
            at.m_log.push_back(m_next_entry++); // the record that ends recovery
        }
    }
    return true;
}

void group_model::deliver_answer() {
    if (m_answers.empty()) {
        return;
    }
    const auto index = m_steps.one_in(4) ? m_steps.below(static_cast<std::uint32_t>(m_answers.size())) : 0;
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

void group_model::answer_proxy_probe(const failover::request_proxy_probe& ask) {
    const database& of = m_databases[index_of(ask.m_endpoint)];
    const bool reachable = of.m_alive && !of.m_unreachable_from_proxies;
    m_core.on_probe_result(m_now, m_state, {ask.m_host, ask.m_endpoint, reachable});
}

// The platform rebuilds a member that needs it from the present primary.
void group_model::rewind(int index) {
    database& of = m_databases[index];
    const auto primary = record().m_primary;
    if (!record().m_needs_rewind.contains(id_of(index)) || primary.value().empty() || !of.m_alive) {
        return;
    }
    const database& source = m_databases[index_of(primary)];
    while (!is_prefix(of.m_log, source.m_log)) {
        of.m_log.pop_back();
    }
    of.m_in_recovery = true;
    of.m_follows = index_of(primary);
}

// What a quiet moment of the system does, so that promotions get to their end in a short script.
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
    std::string found = heal_and_finish();
    const core::endpoint_id drained = record().m_primary;
    commit(control::drain_endpoint{drained, true});
    const int before = m_next_entry;
    for (int round = 0; round < 400 && found.empty() && record().m_primary == drained; ++round) {
        for (model_proxy& proxy : m_proxies) {
            proxy.m_acknowledgements_paused =
                round < 6; // long writes: they outlast the start of the hand-over
            apply_commands(proxy, m_committed.size());
            write(proxy);
        }
        run_fault_free_round();
        while (record().m_promotion_in_progress && found.empty() && round++ < 400) {
            run_fault_free_round();
            found = violation();
        }
    }
    if (!found.empty() || record().m_primary == drained || record().m_primary.value().empty()) {
        return found.empty() ? "the primary was not handed over" : found;
    }
    const auto& log = m_databases[index_of(drained)].m_log;
    const bool answered = std::all_of(
        log.begin(), log.end(), [&](int entry) { return entry < before || m_acknowledged.contains(entry); });
    return answered ? "" : "a write in flight was not acknowledged during a hand-over";
}

std::string group_model::heal_and_finish() {
    for (database& one : m_databases) {
        heal(one);
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
        std::string found = violation();
        if (!found.empty()) {
            return found;
        }
        if (!record().m_promotion_in_progress && m_acknowledged.size() > before + 20) {
            return "";
        }
    }
    return "the group did not recover after all faults had healed";
}

} // namespace mangoquay::testing
