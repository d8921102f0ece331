// Callers of the simulated world: operations, answers and what they promise.
#include "support/relay_world.h"

#include <utility>

namespace mangoquay::test {
namespace {

using relay::refusal;
using relay::session_statement;
using relay::statement_kind;

session_statement statement(statement_kind kind, std::string id, std::string text) {
    session_statement made;
    made.m_kind = kind;
    made.m_id = std::move(id);
    made.m_text = std::move(text);
    return made;
}

} // namespace

void relay_world::start_operation(std::uint64_t session) {
    if (m_operations_left-- <= 0) {
        if (session != 0) {
            m_callers.erase(session);
            m_core->session_closed(relay::session_id(session), m_now);
        }
        return;
    }
    if (session == 0 || chance(20)) {
        if (session != 0) {
            m_callers.erase(session);
            m_core->session_closed(relay::session_id(session), m_now);
        }
        session = ++m_last_session;
        m_callers[session].m_route = draw(3);
        m_core->session_opened(relay::session_id(session),
                               "database" + std::to_string(m_callers[session].m_route));
    }
    caller& own = m_callers[session];
    own.m_attempt = ++m_last_attempt;
    m_session_of[own.m_attempt] = session;
    own.m_script.clear();
    own.m_next = 0;
    own.m_writes = false;
    const auto id = [&] { return std::to_string(own.m_attempt) + "-" + std::to_string(own.m_script.size()); };
    const auto add_work = [&](bool writes) {
        own.m_writes = own.m_writes || writes;
        if (!chance(30)) {
            const auto kind = writes ? statement_kind::write : statement_kind::read;
            own.m_script.push_back(statement(kind, id(), writes ? "WRITE item data" : "READ item"));
            return;
        }
        session_statement prepares = statement(statement_kind::prepare, id(), "PREPARE p");
        prepares.m_name = "p";
        prepares.m_argument = "shape" + std::to_string(draw(2));
        prepares.m_access = writes ? relay::access_kind::write : relay::access_kind::read;
        own.m_script.push_back(prepares);
        session_statement executes = statement(statement_kind::execute, id(), "EXECUTE p item");
        executes.m_name = "p";
        executes.m_argument = "item";
        own.m_script.push_back(executes);
    };
    if (chance(25)) {
        session_statement sets = statement(statement_kind::set_value, id(), "SET name");
        sets.m_name = "name" + std::to_string(draw(2));
        sets.m_argument = std::to_string(draw(3));
        own.m_script.push_back(sets);
    }
    own.m_transaction = chance(40);
    if (!own.m_transaction) {
        add_work(chance(40));
    } else {
        const bool read_only = chance(30);
        const auto begins = read_only ? statement_kind::begin_read_only : statement_kind::begin;
        own.m_script.push_back(statement(begins, id(), read_only ? "BEGIN READ" : "BEGIN"));
        for (std::uint64_t count = 1 + draw(3); count > 0; --count) {
            add_work(!read_only && chance(50));
        }
        const bool rolls_back = chance(15);
        own.m_script.push_back(statement(rolls_back ? statement_kind::rollback : statement_kind::commit, id(),
                                         rolls_back ? "ROLLBACK" : "COMMIT"));
    }
    own.m_started = m_now;
    send_next(session);
}

void relay_world::send_next(std::uint64_t session) {
    const auto found = m_callers.find(session);
    if (found == m_callers.end()) {
        return;
    }
    caller& own = found->second;
    const session_statement next = own.m_script[own.m_next];
    if (!own.m_transaction || next.m_kind == statement_kind::begin ||
        next.m_kind == statement_kind::begin_read_only) {
        own.m_started = m_now;
    }
    own.m_waiting = true;
    m_core->statement_received(relay::session_id(session), next, m_now);
}

void relay_world::answer(relay::session_id session, const relay::session_answer& answer) {
    const auto found = m_callers.find(session.value());
    if (found == m_callers.end() || !found->second.m_waiting) {
        violate("an answer without a statement");
        return;
    }
    caller& own = found->second;
    own.m_waiting = false;
    const session_statement& asked = own.m_script[own.m_next];
    if (answer.m_request != asked.m_id) {
        violate("an answer to another statement");
    }
    refusal told = answer.m_refusal.value_or(refusal::failed);
    if (m_options.m_planted.m_promise_lost_writes && told == refusal::in_doubt) {
        told = refusal::busy;
    }
    if (answer.m_refusal) {
        if (own.m_writes && relay::promises_not_run(told)) {
            m_promised.insert(own.m_attempt);
        }
        at(core::milliseconds(1), [this, id = session.value()] { operation_ended(id); });
        return;
    }
    const bool forwarded = asked.m_kind == statement_kind::read || asked.m_kind == statement_kind::write ||
                           asked.m_kind == statement_kind::execute || asked.m_kind == statement_kind::commit;
    const std::string expected =
        "signature of " + (m_options.m_planted.m_cross_answers ? std::string("another") : asked.m_id);
    if (forwarded && answer.m_text != expected) {
        violate("a success without the database's signature for it");
    }
    if (asked.m_kind == statement_kind::set_value) {
        own.m_values[asked.m_name] = asked.m_argument;
    }
    const bool commits =
        asked.m_kind == statement_kind::commit || (forwarded && !own.m_transaction && own.m_writes);
    if (commits && own.m_writes) {
        m_acknowledged.push_back({own.m_attempt, session.value(), m_now});
        m_succeeded += 1;
    }
    if (++own.m_next == own.m_script.size()) {
        at(core::milliseconds(1 + draw(60)), [this, id = session.value()] { start_operation(id); });
        return;
    }
    at(core::milliseconds(1 + draw(20)), [this, id = session.value()] { send_next(id); });
}

// After a refusal the caller ends its transaction and goes on.
void relay_world::operation_ended(std::uint64_t session) {
    const auto found = m_callers.find(session);
    if (found == m_callers.end()) {
        return;
    }
    caller& own = found->second;
    const statement_kind failed = own.m_script[own.m_next].m_kind;
    const bool open = own.m_transaction && failed != statement_kind::commit &&
                      failed != statement_kind::rollback && failed != statement_kind::begin &&
                      failed != statement_kind::set_value;
    own.m_transaction = false;
    own.m_writes = false;
    if (!open) {
        start_operation(session);
        return;
    }
    own.m_attempt = ++m_last_attempt;
    m_session_of[own.m_attempt] = session;
    own.m_script = {statement(statement_kind::rollback, std::to_string(own.m_attempt) + "-0", "ROLLBACK")};
    own.m_next = 0;
    send_next(session);
}

void relay_world::close_session(relay::session_id session) {
    m_callers.erase(session.value());
}

} // namespace mangoquay::test
