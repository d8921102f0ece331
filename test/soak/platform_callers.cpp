// Behaviour of callers.
#include "soak/platform_callers.h"

namespace mangoquay::soak {
namespace {

constexpr milliseconds open_limit{2000};
constexpr milliseconds statement_limit{1500};
constexpr int percent = 100;
constexpr int longest_transaction = 5;

} // namespace

platform_caller::platform_caller(soak_world& world, std::uint64_t seed, bool keeps_sessions)
    : m_world(world), m_random(seed), m_keeps_sessions(keeps_sessions), m_texts(m_random()) {}

void platform_caller::pause(int low_ms, int high_ms) {
    sleep_for(milliseconds{draw(m_random, low_ms, high_ms)});
}

void platform_caller::run() {
    while (!m_world.m_stopped) {
        if (!open_session()) {
            pause(30, 150);
            continue;
        }
        run_session();
        pause(5, 60);
    }
}

bool platform_caller::open_session() {
    const auto hosts = m_world.m_fleet.present(host_role::entry);
    const host_process& host = *hosts.at(m_random() % hosts.size());
    const route_map routes = m_world.m_history.newest_routes();
    auto route = routes.begin();
    std::advance(route, static_cast<std::ptrdiff_t>(m_random() % routes.size()));
    m_database = route->first;
    m_entry = host.m_name;
    m_boot = m_world.m_disturbances.boot_of(m_entry);
    m_values.clear();
    m_prepared.clear();
    const steady_time sent = steady_clock::now();
    m_key = m_world.m_customers.draw_key(m_random);
    const auto answer = m_session.open(m_world.m_fleet.caller_address(host), m_database, m_key, open_limit);
    if (answer.m_is_complete) {
        check_end(m_database, answer.m_error, sent);
    }
    if (answer.is_success()) {
        m_world.m_customer_judge.check_accepted({m_entry, m_key, m_database, sent});
    }
    return answer.is_success();
}

void platform_caller::check_end(const std::string& id, const std::string& error, steady_time sent) {
    if (error == "NODB") {
        m_world.m_configuration_judge.check({m_entry, m_boot, id, m_database, std::nullopt, sent});
    } else if (error == "NOAUTH") {
        m_world.m_customer_judge.check_refused({m_entry, m_key, id, sent});
    }
}

void platform_caller::run_session() {
    const int operations = m_keeps_sessions ? draw(m_random, 30, 400) : draw(m_random, 1, 2);
    for (int done = 0; done < operations && !m_world.m_stopped; ++done) {
        if (m_session.is_broken()) {
            m_session.close();
            return;
        }
        run_operation();
        if (m_keeps_sessions) {
            pause(5, 120);
        }
    }
    if (draw(m_random, 1, percent) <= 80) {
        m_session.terminate();
    } else {
        m_session.reset();
    }
}

void platform_caller::run_operation() {
    const int kind = draw(m_random, 1, percent);
    if (kind <= 1) {
        run_many_shapes();
    } else if (kind <= 4) {
        deallocate();
    } else if (kind <= 12) {
        set_value();
    } else if (kind <= 24) {
        prepare(m_texts.draw_name(), {draw(m_random, 0, 1) == 1, m_texts.draw_shape()});
    } else if (kind <= 60) {
        run_single();
    } else {
        run_transaction();
    }
}

sent_statement platform_caller::record(const planned_statement& planned, transaction_number transaction) {
    sent_statement sent{m_world.next_statement_id(), planned.m_kind, planned.m_text, transaction};
    sent.m_prepared = planned.m_prepared;
    sent.m_arguments = planned.m_arguments;
    sent.m_database = m_database;
    sent.m_entry = m_entry;
    sent.m_key = m_key;
    sent.m_values = std::make_shared<session_values>(m_values);
    sent.m_began = transaction.value() == 0 ? steady_clock::now() : m_began;
    m_world.m_judge.add_sent(sent);
    return sent;
}

session_answer platform_caller::send(const planned_statement& planned, transaction_number transaction) {
    const sent_statement sent = record(planned, transaction);
    if (draw(m_random, 1, percent) <= 5) {
        m_session.split_next(static_cast<std::size_t>(draw(m_random, 1, 60)));
    }
    session_answer answer = m_session.query(sent.m_id, planned.m_text, statement_limit);
    check(sent.m_id, planned, answer);
    if (answer.m_is_complete && (answer.m_error == "NODB" || answer.m_error == "NOAUTH")) {
        check_end(sent.m_id.value(), answer.m_error, sent.m_began);
        m_session.close();
    }
    return answer;
}

void platform_caller::check(const statement_id& id, const planned_statement& planned,
                            const session_answer& answer) {
    const bool reaches_database = planned.m_kind == statement_kind::read ||
                                  planned.m_kind == statement_kind::write ||
                                  planned.m_kind == statement_kind::commit;
    if (answer.is_success() && reaches_database) {
        m_world.m_judge.check_success(id, answer.m_rows + answer.m_signature);
    }
    // Callers send only what the protocol allows, in the right state and with acknowledged names.
    if (answer.m_error == "MALFORMED" || answer.m_error == "NOSTMT") {
        m_world.m_violations.add({rule::rejected, id.value(), answer.m_error + " for " + planned.m_text});
    }
    if (answer.is_promise()) {
        m_world.m_judge.add_promise(id, answer.m_error);
    }
    if (!answer.is_success()) {
        m_world.m_record.write("answer id=" + id.value() + " " + m_entry.value() + " " +
                               (answer.m_is_complete ? answer.m_error : "none"));
    }
}

platform_caller::planned_statement platform_caller::plan_execution(const std::string& name) {
    const auto& shape = m_prepared.at(name);
    std::string arguments = m_texts.draw_item();
    if (shape->m_writes || draw(m_random, 1, percent) <= 10) {
        arguments += " " + m_texts.draw_data();
    }
    return {shape->m_writes ? statement_kind::write : statement_kind::read,
            std::string("EXECUTE ").append(name).append(" ").append(arguments), shape, arguments};
}

platform_caller::planned_statement platform_caller::plan(bool may_write) {
    if (!m_prepared.empty() && draw(m_random, 1, percent) <= 50) {
        auto prepared = m_prepared.begin();
        std::advance(prepared, static_cast<std::ptrdiff_t>(m_random() % m_prepared.size()));
        if (may_write || !prepared->second->m_writes) {
            return plan_execution(prepared->first);
        }
    }
    if (may_write && draw(m_random, 1, percent) <= 50) {
        const std::string item = m_texts.draw_item();
        return {statement_kind::write,
                std::string("WRITE ").append(item).append(" ").append(m_texts.draw_data())};
    }
    return {statement_kind::read, "READ " + m_texts.draw_last_item()};
}

void platform_caller::run_single() {
    const auto answer = send(plan(true), transaction_number(0));
    if (!answer.m_is_complete || answer.m_state != 'I') {
        m_session.close();
    }
}

void platform_caller::set_value() {
    const std::string name = m_texts.draw_name();
    const std::string value = m_texts.draw_value();
    const std::string text = std::string("SET ").append(name).append(" ").append(value);
    const auto answer = send({statement_kind::set_value, text}, transaction_number(0));
    if (!answer.is_success()) {
        m_session.close();
        return;
    }
    m_values[name] = value;
}

bool platform_caller::prepare(const std::string& name, prepared_shape shape) {
    const std::string text = std::string("PREPARE ")
                                 .append(name)
                                 .append(shape.m_writes ? " WRITE " : " READ ")
                                 .append(shape.m_shape);
    const auto answer = send({statement_kind::prepare, text}, transaction_number(0));
    if (!answer.is_success()) {
        m_session.close();
        return false;
    }
    m_prepared[name] = std::make_shared<const prepared_shape>(std::move(shape));
    return true;
}

void platform_caller::deallocate() {
    if (m_prepared.empty()) {
        return;
    }
    const std::string name = m_prepared.begin()->first;
    const auto answer = send({statement_kind::prepare, "DEALLOCATE " + name}, transaction_number(0));
    if (!answer.is_success()) {
        m_session.close();
        return;
    }
    m_prepared.erase(name);
}

void platform_caller::run_many_shapes() {
    const transaction_number transaction = m_world.next_transaction();
    m_began = steady_clock::now();
    auto answer = send({statement_kind::begin, "BEGIN READ"}, transaction);
    for (int left = draw(m_random, 70, 90); left > 0 && answer.is_success(); --left) {
        const std::string name = "m" + std::to_string(left);
        if (!prepare(name, {false, m_texts.draw_shape() + " " + name})) {
            return;
        }
        answer = send(plan_execution(name), transaction);
    }
    end_transaction(answer, transaction);
}

void platform_caller::leave() {
    const int way = draw(m_random, 0, 2);
    if (way == 0) {
        // The text that is recorded is one that no database may run.
        sent_statement sent = record({statement_kind::commit, "(incomplete)"}, transaction_number(0));
        m_session.send_incomplete(sent.m_id, draw(m_random, 0, 1) == 0 ? "COMMIT" : "WRITE i1 cut");
        m_session.close();
    } else if (way == 1) {
        m_session.reset();
    } else {
        m_session.close();
    }
}

void platform_caller::run_transaction() {
    const transaction_number transaction = m_world.next_transaction();
    const bool may_write = draw(m_random, 1, percent) <= 60;
    m_began = steady_clock::now();
    auto answer = send({statement_kind::begin, may_write ? "BEGIN" : "BEGIN READ"}, transaction);
    const int statements = draw(m_random, 1, longest_transaction);
    for (int done = 0; done < statements && answer.is_success(); ++done) {
        const int next = draw(m_random, 1, percent);
        if (next <= 3) {
            leave();
            return;
        }
        pause(0, next <= 20 ? 500 : 20);
        const planned_statement planned = plan(may_write);
        if (next >= 98) {
            // The caller leaves while the statement is on its way.
            const sent_statement sent = record(planned, transaction);
            m_session.send_only(sent.m_id, planned.m_text);
            leave();
            return;
        }
        answer = send(planned, transaction);
    }
    end_transaction(answer, transaction);
}

void platform_caller::end_transaction(session_answer answer, transaction_number transaction) {
    if (!answer.m_is_complete) {
        m_session.close();
        return;
    }
    if (answer.m_state != 'I') {
        const bool commits = answer.is_success() && draw(m_random, 1, percent) <= 85;
        answer = commits ? send({statement_kind::commit, "COMMIT"}, transaction)
                         : send({statement_kind::rollback, "ROLLBACK"}, transaction);
    }
    if (!answer.m_is_complete || answer.m_state != 'I') {
        m_session.close();
    }
}

} // namespace mangoquay::soak
