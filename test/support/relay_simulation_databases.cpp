// Databases of the simulation: how they run requests, and checks of what they run.
#include "platform/line_protocol.h"
#include "support/protocol_reader.h"
#include "support/relay_simulation.h"

#include <algorithm>

namespace mangoquay::test {
namespace {

using relay::refusal;
using relay::request_kind;
using relay::session_statement;
using relay::statement_kind;
using relay::transaction_state;

std::uint64_t attempt_of(const std::string& id) {
    return std::stoull(id.substr(0, id.find('-')));
}

relay::access_kind prepared_access(const std::map<std::string, relay::prepared_statement>& prepared,
                                   const std::string& name) {
    const auto held = prepared.find(name);
    return held == prepared.end() ? relay::access_kind::read : held->second.m_access;
}

const std::set<std::string> named_words{"SET", "PREPARE", "EXECUTE", "DEALLOCATE"};

core::history_position position_from(const std::string& text) {
    const std::size_t dot = text.find('.');
    return {core::term(static_cast<std::uint32_t>(std::stoul(text.substr(0, dot)))),
            core::log_position(std::stoull(text.substr(dot + 1)))};
}

request_kind kind_of(const read_request& request) {
    static const std::map<std::string, request_kind> own_kinds{
        {"RESET", request_kind::reset},      {"SET", request_kind::set_value},
        {"PREPARE", request_kind::prepare},  {"DEALLOCATE", request_kind::deallocate},
        {"BEGIN", request_kind::begin},      {"BEGIN READ", request_kind::begin_read_only},
        {"ROLLBACK", request_kind::rollback}};
    const auto own = own_kinds.find(request.m_word);
    if (request.m_id == "-" && own != own_kinds.end()) {
        return own->second;
    }
    return request.m_word == "EXECUTE" ? request_kind::execute : request_kind::forward;
}

relay::database_request changed(relay::database_request request) {
    request.m_argument += " changed";
    return request;
}

} // namespace

relay::database_request relay_simulation::as_received(relay::database_request request) {
    if (m_options.m_injected_faults.m_name_by_text && !request.m_name.empty()) {
        if (request.m_kind == request_kind::prepare) {
            m_names_by_text[request.m_name] = "q_" + request.m_argument;
        }
        const auto named = m_names_by_text.find(request.m_name);
        request.m_name = named == m_names_by_text.end() ? request.m_name : named->second;
    }
    std::string bytes;
    platform::line_protocol().encode_request(request, bytes);
    const std::vector<std::string> lines = split_lines(bytes);
    const auto read = lines.size() == 1 ? read_request_line(lines.front()) : std::nullopt;
    if (!read) {
        record_violation("a database rejects the request " + bytes);
        return request;
    }
    const std::string& after = read->m_after;
    return {.m_kind = kind_of(*read),
            .m_id = read->m_id == "-" ? "" : read->m_id,
            .m_min_position = after.empty() ? std::nullopt : std::optional(position_from(after)),
            .m_name = named_words.contains(read->m_word) ? read->m_fields.front() : "",
            .m_argument = kind_of(*read) == request_kind::forward ? read->m_text
                          : read->m_fields.empty()                ? ""
                                                                  : read->m_fields.back(),
            .m_access = read->m_word == "PREPARE" && read->m_fields.at(1) == "WRITE"
                            ? relay::access_kind::write
                            : relay::access_kind::read};
}

relay::database_answer relay_simulation::execute(const std::shared_ptr<server_session>& connection,
                                                 const relay::database_request& request) {
    server_session& session = *connection;
    database& server = m_databases[session.m_database];
    relay::database_answer answer;
    answer.m_text = "-";
    const auto completed_answer = [&] {
        answer.m_state = session.m_failed           ? transaction_state::failed
                         : session.m_in_transaction ? transaction_state::open
                                                    : transaction_state::idle;
        answer.m_position = position_of(server);
        return answer;
    };
    const bool ends = request.m_kind == request_kind::rollback ||
                      (request.m_kind == request_kind::forward && request.m_argument == "COMMIT");
    if (session.m_was_ended && request.m_kind != request_kind::rollback) {
        session.m_was_ended = false;
        answer.m_refusal = refusal::aborted;
        return completed_answer();
    }
    if (session.m_failed && !ends) {
        answer.m_refusal = refusal::malformed;
        return completed_answer();
    }
    const bool checks_position = request.m_min_position && !m_options.m_injected_faults.m_drop_min_positions;
    if (checks_position && !m_last_commit.contains({server.m_report.m_service, *request.m_min_position})) {
        record_violation("a position of another service was required");
        answer.m_refusal = refusal::lagging;
        return completed_answer();
    }
    if (checks_position && !has_position(server, *request.m_min_position)) {
        answer.m_refusal = refusal::lagging;
        return completed_answer();
    }
    switch (request.m_kind) {
    case request_kind::reset:
        if (!m_options.m_injected_faults.m_keep_session_state) {
            session.m_values.clear();
            session.m_prepared.clear();
        }
        return completed_answer();
    case request_kind::set_value:
        if (!m_options.m_injected_faults.m_drop_session_values) {
            session.m_values[request.m_name] = request.m_argument;
        }
        return completed_answer();
    case request_kind::prepare:
        session.m_prepared[request.m_name] = {
            request.m_access, m_options.m_injected_faults.m_mix_up_shapes ? "other" : request.m_argument};
        return completed_answer();
    case request_kind::deallocate:
        if (session.m_prepared.erase(request.m_name) == 0) {
            record_violation("a name was deallocated that its connection does not hold");
        }
        return completed_answer();
    case request_kind::begin:
    case request_kind::begin_read_only:
        if (session.m_in_transaction) {
            record_violation("a transaction began inside another one");
        }
        session.m_in_primary_transaction = request.m_kind == request_kind::begin;
        if (session.m_in_primary_transaction && !server.m_acts_as_primary &&
            !m_options.m_injected_faults.m_skip_primary_check) {
            answer.m_refusal = refusal::read_only;
            return completed_answer();
        }
        session.m_in_transaction = true;
        session.m_failed = false;
        session.m_transaction_term = server.m_term;
        session.m_attempt = 0;
        session.m_writes.clear();
        session.m_saved_values = session.m_values;
        session.m_saved_prepared = session.m_prepared;
        return completed_answer();
    case request_kind::rollback:
        session.m_was_ended = false;
        if (!session.m_in_transaction) {
            answer.m_refusal = refusal::malformed;
            return completed_answer();
        }
        if (!m_options.m_injected_faults.m_leave_transaction_open) {
            end_database_transaction(session);
        }
        completed_answer();
        answer.m_state = transaction_state::idle;
        return answer;
    default:
        answer = execute_statement(connection, request, request.m_argument, answer);
        if (session.m_ends_transaction && session.m_in_transaction) {
            end_database_transaction(session);
        }
        session.m_ends_transaction = false;
        return completed_answer();
    }
}

void relay_simulation::end_database_transaction(server_session& session) const {
    session.m_in_transaction = false;
    session.m_failed = false;
    session.m_writes.clear();
    if (m_options.m_events.m_rolled_back_values) {
        session.m_values = session.m_saved_values;
        session.m_prepared = session.m_saved_prepared;
    }
}

// A statement has to be one that a caller sent, unchanged.
void relay_simulation::check_statement(const server_session& session,
                                       const relay::database_request& request) {
    const auto sent = m_sent_statements.find(request.m_id);
    if (sent == m_sent_statements.end()) {
        record_violation("a statement that no caller sent");
        return;
    }
    const bool executes = request.m_kind == request_kind::execute;
    const session_statement& statement = sent->second;
    const bool changed = executes != (statement.m_kind == statement_kind::execute) ||
                         request.m_argument != (executes ? statement.m_argument : statement.m_text);
    if (changed) {
        record_violation("a statement was changed");
    }
    const std::uint64_t attempt = attempt_of(request.m_id);
    if (session.m_in_transaction && session.m_attempt != 0 && session.m_attempt != attempt) {
        record_violation("a statement ran inside another caller's transaction");
    }
}

void relay_simulation::check_session_state(const server_session& session,
                                           const relay::database_request& request) {
    const expected_state& expected = m_expected_states.at(request.m_id);
    if (expected.m_transaction && !session.m_in_transaction) {
        record_violation("a statement ran outside its transaction");
    }
    if (expected.m_single_write && session.m_in_transaction) {
        record_violation("a single write ran inside a transaction");
    }
    const auto is_this = [&session](const std::weak_ptr<server_session>& one) {
        return one.lock().get() == &session;
    };
    if (expected.m_connections && std::ranges::none_of(*expected.m_connections, is_this)) {
        record_violation("a statement ran on another connection than its transaction");
    }
    if (session.m_values != expected.m_values) {
        record_violation("a statement ran with other session values");
    }
    if (request.m_kind != request_kind::execute) {
        return;
    }
    const auto held = session.m_prepared.find(request.m_name);
    const auto meant = expected.m_prepared.find(m_sent_statements.at(request.m_id).m_name);
    if (held == session.m_prepared.end()) {
        record_violation("a prepared statement does not exist on its connection");
    } else if (meant == expected.m_prepared.end() || held->second != meant->second) {
        record_violation("a prepared name runs another shape");
    }
}

// Called when the session's database runs a read of the attempt: its log must hold every commit that the
// caller must see.
void relay_simulation::check_read_result(const server_session& session, std::uint64_t attempt) {
    const database& server = m_databases[session.m_database];
    const auto owner = m_callers.find(m_session_of.at(attempt));
    if (owner == m_callers.end() || owner->second.m_attempt != attempt) {
        return;
    }
    for (const acknowledged_commit& acknowledgement : m_acknowledged) {
        if (acknowledgement.m_service != server.m_report.m_service.value()) {
            continue;
        }
        const bool own_commit = acknowledgement.m_session == owner->first;
        const bool must_include =
            owner->second.m_route == 0 ? acknowledgement.m_at < owner->second.m_started
            : acknowledgement.m_at + simulated_max_age < owner->second.m_started
                ? true
                : owner->second.m_route == 2 && own_commit && acknowledgement.m_at < owner->second.m_started;
        const bool held = std::ranges::any_of(
            server.m_log, [&](const commit& entry) { return entry.m_attempt == acknowledgement.m_attempt; });
        if (must_include && !held && !m_rolled_back.contains(acknowledgement.m_attempt)) {
            record_violation("a read lacks an acknowledged commit route=" +
                             std::to_string(owner->second.m_route));
        }
    }
}

relay::database_answer relay_simulation::execute_statement(const std::shared_ptr<server_session>& connection,
                                                           const relay::database_request& request,
                                                           const std::string& text,
                                                           relay::database_answer base) {
    server_session& session = *connection;
    database& server = m_databases[session.m_database];
    const std::uint64_t attempt = attempt_of(request.m_id);
    const bool executes = request.m_kind == request_kind::execute;
    const bool writes = executes
                            ? prepared_access(session.m_prepared, request.m_name) == relay::access_kind::write
                            : text.starts_with("WRITE");
    const bool commits = text == "COMMIT" && !executes;
    const auto refuse = [&](refusal reason) {
        base.m_refusal = reason;
        session.m_failed = session.m_in_transaction;
        return base;
    };
    check_statement(session, m_options.m_injected_faults.m_change_texts ? changed(request) : request);
    if (!m_violation.empty()) {
        base.m_refusal = refusal::failed;
        return base;
    }
    check_session_state(session, request);
    m_ran_on[request.m_id].push_back(connection);
    if (commits && session.m_failed) {
        end_database_transaction(session);
        base.m_refusal = refusal::aborted;
        return base;
    }
    if (random_below(60) == 0) {
        base.m_refusal = refusal::busy;
        return base;
    }
    const bool lost_primary_role =
        session.m_in_transaction && session.m_in_primary_transaction &&
        (!server.m_acts_as_primary || server.m_term != session.m_transaction_term) &&
        !m_options.m_injected_faults.m_skip_primary_check;
    if ((lost_primary_role && !(commits && session.m_writes.empty())) ||
        (writes && !server.m_acts_as_primary)) {
        return refuse(refusal::read_only);
    }
    session.m_attempt = attempt;
    base.m_text = "signature of " + request.m_id;
    if (commits) {
        session.m_in_transaction = false;
        if (!session.m_writes.empty()) {
            server.m_log.push_back({attempt, server.m_term});
            m_service_of_commit[attempt] = server.m_report.m_service.value();
        }
    } else if (writes && session.m_in_transaction) {
        session.m_writes.push_back(attempt);
        return base;
    } else if (writes) {
        server.m_log.push_back({attempt, server.m_term});
        m_service_of_commit[attempt] = server.m_report.m_service.value();
    } else {
        check_read_result(session, attempt);
        return base;
    }
    if (!commits || !session.m_writes.empty()) {
        if (++m_committed[attempt] > 1) {
            record_violation("a write took effect twice");
        }
        session.m_writes.clear();
    }
    return base;
}

} // namespace mangoquay::test
