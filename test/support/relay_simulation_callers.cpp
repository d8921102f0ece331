// Callers of the simulation: their operations, and checks of the answers that they get.
#include "platform/line_protocol.h"
#include "support/relay_simulation.h"

#include <algorithm>
#include <utility>

namespace mangoquay::test {
namespace {

using relay::refusal;
using relay::session_statement;
using relay::statement_kind;

constexpr std::size_t caller_count = 5;

session_statement statement(statement_kind kind, std::string id, std::string text) {
    session_statement result;
    result.m_kind = kind;
    result.m_id = std::move(id);
    result.m_text = std::move(text);
    return result;
}

} // namespace

void relay_simulation::start_callers() {
    for (std::size_t index = 0; index < caller_count; ++index) {
        schedule(core::milliseconds(100 + random_below(50)), [this] { start_operation(0); });
    }
}

void relay_simulation::leave(std::uint64_t session) {
    m_callers.erase(session);
    on_host([this, session] { m_core->on_session_closed(relay::session_id(session), m_now); })();
}

void relay_simulation::start_operation(std::uint64_t session) {
    if (m_process_ended || (session != 0 && !m_callers.contains(session))) {
        return; // The host has closed the session.
    }
    if (m_operations_left-- <= 0) {
        if (session != 0) {
            leave(session);
        }
        return;
    }
    if (session == 0 || occurs(20)) {
        if (session != 0) {
            leave(session);
        }
        session = ++m_last_session;
        m_callers[session].m_route = random_below(3);
        const std::string name = "database" + std::to_string(m_callers[session].m_route);
        on_host([this, session, name] {
            if (m_core->on_session_opened(relay::session_id(session), name) !=
                relay::session_admission::accepted) {
                m_callers.erase(session); // Its route is removed.
                schedule(core::milliseconds(20), [this] { start_operation(0); });
            }
        })();
        if (!m_callers.contains(session)) {
            return;
        }
    }
    write_script(session, m_callers[session]);
    send_next_statement(session);
}

void relay_simulation::write_script(std::uint64_t session, caller& current) {
    current.m_attempt = ++m_last_attempt;
    m_session_of[current.m_attempt] = session;
    current.m_script.clear();
    current.m_planned = current.m_prepared;
    current.m_next = 0;
    current.m_sent = 0;
    current.m_writes = false;
    current.m_transaction_connections.reset();
    current.m_pipelined = m_options.m_events.m_pipelined_statements && occurs(50);
    const auto id = [&] {
        return std::to_string(current.m_attempt) + "-" + std::to_string(current.m_script.size());
    };
    if (occurs(25)) {
        add_value(current);
    }
    current.m_transaction = occurs(40);
    if (!current.m_transaction) {
        add_statement(current, occurs(40));
    } else {
        const bool read_only = occurs(30);
        const auto begins = read_only ? statement_kind::begin_read_only : statement_kind::begin;
        current.m_script.push_back(statement(begins, id(), read_only ? "BEGIN READ" : "BEGIN"));
        for (std::uint64_t count = 1 + random_below(m_options.m_max_transaction_statements); count > 0;
             --count) {
            if (occurs(20)) {
                add_value(current);
            }
            add_statement(current, !read_only && occurs(50));
        }
        const bool rolls_back = occurs(15);
        current.m_script.push_back(statement(rolls_back ? statement_kind::rollback : statement_kind::commit,
                                             id(), rolls_back ? "ROLLBACK" : "COMMIT"));
    }
    current.m_started = m_now;
}

void relay_simulation::add_to_script(caller& current, session_statement added) const {
    added.m_id = std::to_string(current.m_attempt) + "-" + std::to_string(current.m_script.size());
    current.m_script.push_back(std::move(added));
}

void relay_simulation::add_value(caller& current) {
    session_statement sets{.m_kind = statement_kind::set_value, .m_name = draw_name(m_draw)};
    sets.m_argument = occurs(5) ? "" : draw_last_field(m_draw);
    sets.m_text = "SET " + sets.m_name + " " + sets.m_argument;
    add_to_script(current, std::move(sets));
}

void relay_simulation::add_statement(caller& current, bool writes) {
    current.m_writes = current.m_writes || writes;
    if (occurs(50)) {
        add_prepared_statement(current, writes);
        return;
    }
    const auto kind = writes ? statement_kind::write : statement_kind::read;
    add_to_script(current, {.m_kind = kind, .m_text = draw_statement(m_draw, writes)});
}

// Executes a statement that the session holds, or prepares one, at times under a name that is in use.
void relay_simulation::add_prepared_statement(caller& current, bool writes) {
    const auto access = writes ? relay::access_kind::write : relay::access_kind::read;
    const auto held = std::ranges::find_if(
        current.m_planned, [access](const auto& planned) { return planned.second.m_access == access; });
    std::string name = draw_name(m_draw);
    if (held != current.m_planned.end() && occurs(50)) {
        name = held->first;
    } else {
        const std::string shape = draw_shape(m_draw);
        add_to_script(current, {.m_kind = statement_kind::prepare,
                                .m_text = "PREPARE " + name + (writes ? " WRITE " : " READ ") + shape,
                                .m_name = name,
                                .m_argument = shape,
                                .m_access = access});
        current.m_planned[name] = {access, shape};
    }
    const std::string arguments = draw_arguments(m_draw, writes);
    add_to_script(current, {.m_kind = statement_kind::execute,
                            .m_text = "EXECUTE " + name + " " + arguments,
                            .m_name = name,
                            .m_argument = arguments});
    if (occurs(20)) {
        add_to_script(current,
                      {.m_kind = statement_kind::deallocate, .m_text = "DEALLOCATE " + name, .m_name = name});
        current.m_planned.erase(name);
    }
}

void relay_simulation::expect_state(const caller& current) {
    m_expected_states[current.m_script[current.m_next].m_id] = {
        current.m_values, current.m_prepared, current.m_transaction,
        !current.m_transaction && current.m_writes, current.m_transaction_connections};
}

// Sends the next statement, or all further ones if the caller does not wait for answers.
void relay_simulation::send_next_statement(std::uint64_t session) {
    const auto found = m_callers.find(session);
    if (found == m_callers.end()) {
        return;
    }
    caller& current = found->second;
    const std::uint64_t attempt = current.m_attempt;
    std::vector<session_statement> sent;
    do {
        const session_statement& next = current.m_script[current.m_sent++];
        if (!current.m_transaction || next.m_kind == statement_kind::begin ||
            next.m_kind == statement_kind::begin_read_only) {
            current.m_started = m_now;
        }
        m_sent_statements[next.m_id] = next;
        sent.push_back(next);
    } while (current.m_pipelined && current.m_sent < current.m_script.size() &&
             sent.back().m_kind != statement_kind::begin &&
             sent.back().m_kind != statement_kind::begin_read_only);
    current.m_waiting = true;
    expect_state(current);
    for (const session_statement& next : sent) {
        on_host([this, session, next] {
            m_core->on_statement_received(relay::session_id(session),
                                          platform::decode_statement(next.m_id, next.m_text), m_now);
        })();
        const auto left = m_callers.find(session);
        if (left == m_callers.end() || left->second.m_attempt != attempt) {
            return;
        }
    }
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
    const session_statement sent = current.m_script[current.m_next];
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
        current.m_refused = true;
    } else {
        record_success(session.value(), current, sent, answer);
    }
    ++current.m_next;
    current.m_state = answer.m_state;
    current.m_waiting = current.m_next < current.m_sent;
    if (current.m_waiting) {
        expect_state(current);
        return;
    }
    if (current.m_refused) {
        schedule(core::milliseconds(1), [this, id = session.value()] { on_operation_refused(id); });
        return;
    }
    if (current.m_next == current.m_script.size()) {
        schedule(core::milliseconds(1 + random_below(60)),
                 [this, id = session.value()] { start_operation(id); });
        return;
    }
    schedule(core::milliseconds(1 + random_below(20)),
             [this, id = session.value()] { send_next_statement(id); });
}

void relay_simulation::record_success(std::uint64_t session, caller& current, const session_statement& sent,
                                      const relay::session_answer& answer) {
    const bool forwarded = sent.m_kind == statement_kind::read || sent.m_kind == statement_kind::write ||
                           sent.m_kind == statement_kind::execute || sent.m_kind == statement_kind::commit;
    const std::string expected =
        "signature of " + (m_options.m_injected_faults.m_mix_up_answers ? std::string("another") : sent.m_id);
    if (forwarded && answer.m_text != expected) {
        record_violation("a success without the database's signature for it");
    }
    if (sent.m_kind == statement_kind::set_value) {
        current.m_values[sent.m_name] = sent.m_argument;
    } else if (sent.m_kind == statement_kind::prepare) {
        current.m_prepared[sent.m_name] = {sent.m_access, sent.m_argument};
    } else if (sent.m_kind == statement_kind::deallocate) {
        current.m_prepared.erase(sent.m_name);
    }
    if (current.m_transaction && forwarded && sent.m_kind != statement_kind::commit) {
        current.m_transaction_connections = m_ran_on.at(sent.m_id);
    }
    const bool commits =
        sent.m_kind == statement_kind::commit || (forwarded && !current.m_transaction && current.m_writes);
    if (commits && current.m_writes) {
        if (!m_committed.contains(current.m_attempt)) {
            record_violation("a commit was acknowledged that did not take effect");
        }
        m_acknowledged.push_back({current.m_attempt, session, m_now, m_service_of_commit[current.m_attempt]});
        m_succeeded += 1;
    }
}

// After a refusal the caller rolls back its transaction, if one is open, and starts another operation.
void relay_simulation::on_operation_refused(std::uint64_t session) {
    const auto found = m_callers.find(session);
    if (found == m_callers.end()) {
        return;
    }
    caller& current = found->second;
    const bool open = current.m_state != relay::transaction_state::idle;
    current.m_refused = false;
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
    current.m_sent = 0;
    current.m_pipelined = false;
    current.m_transaction_connections.reset();
    send_next_statement(session);
}

void relay_simulation::close_session(relay::session_id session) {
    m_callers.erase(session.value());
}

} // namespace mangoquay::test
