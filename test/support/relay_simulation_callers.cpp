// Callers of the simulation: their operations, and checks of the answers that they get.
#include "support/relay_simulation.h"

#include <utility>

namespace mangoquay::test {
namespace {

using relay::refusal;
using relay::session_statement;
using relay::statement_kind;

session_statement statement(statement_kind kind, std::string id, std::string text) {
    session_statement result;
    result.m_kind = kind;
    result.m_id = std::move(id);
    result.m_text = std::move(text);
    return result;
}

} // namespace

void relay_simulation::start_operation(std::uint64_t session) {
    if (m_process_ended || (session != 0 && !m_callers.contains(session))) {
        return; // The host has closed the session.
    }
    if (m_operations_left-- <= 0) {
        if (session != 0) {
            m_callers.erase(session);
            m_core->on_session_closed(relay::session_id(session), m_now);
        }
        return;
    }
    if (session == 0 || occurs(20)) {
        if (session != 0) {
            m_callers.erase(session);
            m_core->on_session_closed(relay::session_id(session), m_now);
        }
        session = ++m_last_session;
        m_callers[session].m_route = random_below(3);
        m_core->on_session_opened(relay::session_id(session),
                                  "database" + std::to_string(m_callers[session].m_route));
    }
    caller& current = m_callers[session];
    current.m_attempt = ++m_last_attempt;
    m_session_of[current.m_attempt] = session;
    current.m_script.clear();
    current.m_next = 0;
    current.m_writes = false;
    const auto id = [&] {
        return std::to_string(current.m_attempt) + "-" + std::to_string(current.m_script.size());
    };
    const auto add_statement = [&](bool writes) {
        current.m_writes = current.m_writes || writes;
        if (!occurs(30)) {
            const auto kind = writes ? statement_kind::write : statement_kind::read;
            current.m_script.push_back(statement(kind, id(), writes ? "WRITE item data" : "READ item"));
            return;
        }
        session_statement prepares = statement(statement_kind::prepare, id(), "PREPARE p");
        prepares.m_name = "p";
        prepares.m_argument = "shape" + std::to_string(random_below(2));
        prepares.m_access = writes ? relay::access_kind::write : relay::access_kind::read;
        current.m_script.push_back(prepares);
        session_statement executes = statement(statement_kind::execute, id(), "EXECUTE p item");
        executes.m_name = "p";
        executes.m_argument = "item";
        current.m_script.push_back(executes);
    };
    if (occurs(25)) {
        session_statement sets = statement(statement_kind::set_value, id(), "SET name");
        sets.m_name = "name" + std::to_string(random_below(2));
        sets.m_argument = std::to_string(random_below(3));
        current.m_script.push_back(sets);
    }
    current.m_transaction = occurs(40);
    if (!current.m_transaction) {
        add_statement(occurs(40));
    } else {
        const bool read_only = occurs(30);
        const auto begins = read_only ? statement_kind::begin_read_only : statement_kind::begin;
        current.m_script.push_back(statement(begins, id(), read_only ? "BEGIN READ" : "BEGIN"));
        for (std::uint64_t count = 1 + random_below(m_options.m_max_transaction_statements); count > 0;
             --count) {
            add_statement(!read_only && occurs(50));
        }
        const bool rolls_back = occurs(15);
        current.m_script.push_back(statement(rolls_back ? statement_kind::rollback : statement_kind::commit,
                                             id(), rolls_back ? "ROLLBACK" : "COMMIT"));
    }
    current.m_started = m_now;
    send_next_statement(session);
}

void relay_simulation::send_next_statement(std::uint64_t session) {
    const auto found = m_callers.find(session);
    if (found == m_callers.end()) {
        return;
    }
    caller& current = found->second;
    const session_statement next = current.m_script[current.m_next];
    if (!current.m_transaction || next.m_kind == statement_kind::begin ||
        next.m_kind == statement_kind::begin_read_only) {
        current.m_started = m_now;
    }
    current.m_waiting = true;
    m_core->on_statement_received(relay::session_id(session), next, m_now);
}

void relay_simulation::send_answer(relay::session_id session, const relay::session_answer& answer) {
    if (m_process_ended) {
        return;
    }
    const auto found = m_callers.find(session.value());
    if (found == m_callers.end() || !found->second.m_waiting) {
        record_violation("an answer without a statement");
        return;
    }
    caller& current = found->second;
    current.m_waiting = false;
    const session_statement& sent = current.m_script[current.m_next];
    if (answer.m_request != sent.m_id) {
        record_violation("an answer to another statement");
    }
    refusal reported = answer.m_refusal.value_or(refusal::failed);
    if (m_options.m_injected_faults.m_report_in_doubt_as_busy && reported == refusal::in_doubt) {
        reported = refusal::busy;
    }
    if (answer.m_refusal) {
        if (current.m_writes && relay::guarantees_not_run(reported)) {
            m_reported_not_run.insert(current.m_attempt);
        }
        schedule(core::milliseconds(1), [this, id = session.value()] { on_operation_refused(id); });
        return;
    }
    const bool forwarded = sent.m_kind == statement_kind::read || sent.m_kind == statement_kind::write ||
                           sent.m_kind == statement_kind::execute || sent.m_kind == statement_kind::commit;
    const std::string expected =
        "signature of " + (m_options.m_injected_faults.m_mix_up_answers ? std::string("another") : sent.m_id);
    if (forwarded && answer.m_text != expected) {
        record_violation("a success without the database's signature for it");
    }
    if (sent.m_kind == statement_kind::set_value) {
        current.m_values[sent.m_name] = sent.m_argument;
    }
    const bool commits =
        sent.m_kind == statement_kind::commit || (forwarded && !current.m_transaction && current.m_writes);
    if (commits && current.m_writes) {
        m_acknowledged.push_back({current.m_attempt, session.value(), m_now});
        m_succeeded += 1;
    }
    if (++current.m_next == current.m_script.size()) {
        schedule(core::milliseconds(1 + random_below(60)),
                 [this, id = session.value()] { start_operation(id); });
        return;
    }
    schedule(core::milliseconds(1 + random_below(20)),
             [this, id = session.value()] { send_next_statement(id); });
}

// After a refusal the caller rolls back its transaction, if one is open, and starts another operation.
void relay_simulation::on_operation_refused(std::uint64_t session) {
    const auto found = m_callers.find(session);
    if (found == m_callers.end()) {
        return;
    }
    caller& current = found->second;
    const statement_kind failed = current.m_script[current.m_next].m_kind;
    const bool open = current.m_transaction && failed != statement_kind::commit &&
                      failed != statement_kind::rollback && failed != statement_kind::begin &&
                      failed != statement_kind::set_value;
    current.m_transaction = false;
    current.m_writes = false;
    if (!open) {
        start_operation(session);
        return;
    }
    current.m_attempt = ++m_last_attempt;
    m_session_of[current.m_attempt] = session;
    current.m_script = {
        statement(statement_kind::rollback, std::to_string(current.m_attempt) + "-0", "ROLLBACK")};
    current.m_next = 0;
    send_next_statement(session);
}

void relay_simulation::close_session(relay::session_id session) {
    m_callers.erase(session.value());
}

} // namespace mangoquay::test
