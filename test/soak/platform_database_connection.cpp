// Runs the statements of a connection.
#include "soak/platform_database_connection.h"

#include <atomic>

namespace mangoquay::soak {
namespace {

std::atomic<std::uint64_t> last_connection{0};
constexpr std::chrono::hours no_limit{1};

// The fields of a start: service, who connects, and the expected id, which may be absent.
std::optional<std::vector<std::string>> read_start(const std::string& line) {
    auto fields = test::split_fields(line, 3);
    return fields ? fields : test::split_fields(line, 2);
}

} // namespace

const std::vector<platform_database_connection::command> platform_database_connection::commands{
    {"BEGIN", &platform_database_connection::begin},
    {"BEGIN READ", &platform_database_connection::begin},
    {"COMMIT", &platform_database_connection::commit},
    {"ROLLBACK", &platform_database_connection::rollback},
    {"READ", &platform_database_connection::run_statement},
    {"WRITE", &platform_database_connection::run_statement},
    {"EXECUTE", &platform_database_connection::run_statement},
    {"RESET", &platform_database_connection::reset},
    {"SET", &platform_database_connection::set_value},
    {"PREPARE", &platform_database_connection::prepare},
    {"DEALLOCATE", &platform_database_connection::deallocate},
    {"STATUS", &platform_database_connection::status},
    {"PAUSE", &platform_database_connection::status},
    {"RESUME", &platform_database_connection::status},
    {"STEPDOWN", &platform_database_connection::status}};

platform_database_connection::platform_database_connection(platform_database& database, connection& peer)
    : m_database(database), m_service(database.service()), m_member(database.m_state), m_peer(peer),
      m_number(++last_connection) {}

void platform_database_connection::serve() {
    auto line = m_peer.read_line(steady_clock::now() + no_limit);
    if (line && start(*line)) {
        do {
            line = m_peer.read_line(steady_clock::now() + no_limit);
        } while (line && *line != "TERMINATE" && answer(*line));
    }
    const lock held(m_service.m_mutex);
    m_member.m_connections -= m_counted ? 1 : 0;
}

bool platform_database_connection::start(const std::string& line) {
    const auto fields = read_start(line);
    const bool is_ours = fields && fields->at(0) == "STARTUP" && fields->at(1) == m_service.m_name.value() &&
                         (fields->size() < 4 || fields->at(3) == m_database.id());
    if (!is_ours) {
        (void)m_peer.send("ERROR MISROUTED " + m_database.id() + "\r\n");
        return false;
    }
    m_customer = fields->at(2);
    m_service.m_customers.check_startup(m_database.id(), m_customer);
    {
        const lock held(m_service.m_mutex);
        m_counted = m_member.m_connections < m_service.m_limits.m_max_connections;
        m_member.m_connections += m_counted ? 1 : 0;
    }
    if (!m_counted) {
        (void)m_peer.send("ERROR TOOMANY connections\r\n");
        return false;
    }
    sleep_for(m_service.m_limits.m_connect);
    const lock held(m_service.m_mutex);
    m_service.receive(m_member);
    return m_peer.send("READY I " + to_text(m_service.place_of(m_member)) + "\r\n");
}

bool platform_database_connection::answer(const std::string& line) {
    observed_run run{m_database.id(), m_service.m_name, m_number, m_customer};
    auto request = test::read_request_line(line);
    const bool has_readable_position =
        request && (request->m_after.empty() || parse_log_place(request->m_after).has_value());
    if (!has_readable_position) {
        // Callers of the soak send only what the protocol allows.
        const auto fields = test::split_fields(line, 2);
        run.m_id = statement_id(fields ? fields->at(1) : "-");
        run.m_text = line;
        m_service.m_judge.add_malformed(run);
        return send_answer(fail("MALFORMED " + m_database.id()));
    }
    m_request = std::move(*request);
    m_after = parse_log_place(m_request.m_after);
    run.m_id = statement_id(m_request.m_id);
    run.m_text = m_request.m_text;
    run.m_is_execution = m_request.m_word == "EXECUTE";
    run.m_transaction = m_state == 'I' ? nullptr : &m_transaction;
    run.m_values = &m_values;
    if (run.m_is_execution) {
        run.m_arguments = m_request.m_fields.at(1);
        const auto prepared = m_prepared.find(m_request.m_fields.at(0));
        run.m_prepared = prepared != m_prepared.end() ? std::optional(prepared->second) : std::nullopt;
    }
    const outcome ended = handle(run);
    if (ended.m_close) {
        return false;
    }
    return send_answer(ended);
}

bool platform_database_connection::send_answer(const outcome& ended) {
    std::string text = ended.m_rows +
                       (ended.m_error.empty() ? "COMPLETE " + ended.m_signature : "ERROR " + ended.m_error) +
                       "\r\nREADY " + m_state + " ";
    {
        const lock held(m_service.m_mutex);
        text += to_text(m_service.place_of(m_member)) + "\r\n";
    }
    constexpr milliseconds part_pause{1};
    constexpr std::uint64_t split_each = 13;
    const std::size_t cut = (m_number.value() * split_each + ++m_answers) % text.size();
    if (ended.m_signature != "-" && m_database.loses_answer()) {
        // Half of the lost answers are cut off in the middle.
        (void)(cut % 2 == 0 && m_peer.send(text.substr(0, cut)));
        return false;
    }
    return m_peer.send_in_parts(text, m_answers % split_each == 0 ? cut : text.size(), part_pause);
}

platform_database_connection::outcome platform_database_connection::handle(const observed_run& run) {
    lock held(m_service.m_mutex);
    m_service.receive(m_member);
    for (const command& one : commands) {
        if (m_request.m_word == one.m_word) {
            return (this->*one.m_handler)(run, held);
        }
    }
    return {"MALFORMED " + m_request.m_word};
}

platform_database_connection::outcome platform_database_connection::fail(std::string error) {
    m_state = m_state == 'T' && !error.starts_with("BUSY") ? 'E' : m_state;
    return {std::move(error)};
}

void platform_database_connection::end_transaction() {
    m_state = 'I';
    m_transaction = {};
    m_writes.clear();
}

bool platform_database_connection::needs_lead(bool writes) const {
    return writes || (m_state != 'I' && !m_is_read_only);
}

std::string platform_database_connection::work(milliseconds duration, lock& held) {
    const service_limits& limits = m_service.m_limits;
    if (m_member.m_running >= limits.m_slots && m_member.m_waiting >= limits.m_queue) {
        return "BUSY";
    }
    ++m_member.m_waiting;
    m_service.m_changed.wait(held, [&] { return !m_member.m_is_up || m_member.m_running < limits.m_slots; });
    --m_member.m_waiting;
    ++m_member.m_running;
    held.unlock();
    sleep_for(duration);
    held.lock();
    --m_member.m_running;
    m_service.m_changed.notify_all();
    m_service.receive(m_member);
    return {};
}

platform_database_connection::outcome platform_database_connection::run_statement(const observed_run& run,
                                                                                  lock& held) {
    const bool writes = m_request.m_word == "WRITE" || (run.m_prepared && run.m_prepared->m_writes);
    if (auto refused = refuse_before_run(run, writes)) {
        return *refused;
    }
    if (const std::string refused = work(m_service.m_limits.m_run, held); !refused.empty()) {
        return fail(refused);
    }
    if (!m_member.m_is_up) {
        return {.m_close = true};
    }
    if (needs_lead(writes) && !m_member.m_is_primary) {
        return fail("READONLY " + m_database.id());
    }
    return complete(run, writes);
}

std::optional<platform_database_connection::outcome>
platform_database_connection::refuse_before_run(const observed_run& run, bool writes) {
    if (m_state == 'E') {
        return outcome{"MALFORMED the transaction failed"};
    }
    if (m_after && m_service.lacks(m_member, *m_after)) {
        return fail("LAGGING " + m_database.id());
    }
    if (run.m_is_execution && !run.m_prepared) {
        m_service.m_judge.check_run(run);
        return fail("NOSTMT " + m_request.m_fields.at(0));
    }
    if (run.m_is_execution && writes && !test::split_fields(run.m_arguments, 1)) {
        m_service.m_judge.add_malformed(run);
        return fail("MALFORMED a write needs an item and data");
    }
    if (needs_lead(writes) && !m_member.m_is_primary) {
        return fail("READONLY " + m_database.id());
    }
    return std::nullopt;
}

platform_database_connection::outcome platform_database_connection::complete(const observed_run& run,
                                                                             bool writes) {
    m_service.m_judge.check_run(run);
    outcome done;
    done.m_signature = "sig." + run.m_id.value() + "." + std::to_string(m_number.value());
    if (writes) {
        const auto written = run.m_is_execution ? test::split_fields(run.m_arguments, 1) : m_request.m_fields;
        m_writes.emplace_back(written->at(0), written->at(1));
    } else {
        const std::string& item = run.m_is_execution ? run.m_arguments : m_request.m_fields.at(0);
        done.m_rows = "ROW " + m_service.read(m_member, item) + "\r\n";
    }
    if (writes && m_state == 'I') {
        m_service.commit(m_member, {run.m_id, {}, std::exchange(m_writes, {})});
    }
    m_service.m_judge.add_signature(run.m_id, done.m_rows + done.m_signature);
    return done;
}

platform_database_connection::outcome platform_database_connection::begin(const observed_run& run,
                                                                          lock& /*held*/) {
    const bool reads = m_request.m_word == "BEGIN READ";
    if (m_state != 'I') {
        return {"MALFORMED a transaction is open"};
    }
    if (!reads && !m_member.m_is_primary) {
        return {"READONLY " + m_database.id()};
    }
    if (m_after && m_service.lacks(m_member, *m_after)) {
        return {"LAGGING " + m_database.id()};
    }
    end_transaction();
    m_state = 'T';
    m_is_read_only = reads;
    if (run.m_id.value() != "-") {
        observed_run begun = run;
        begun.m_transaction = &m_transaction;
        m_service.m_judge.check_begin(begun);
    }
    return {};
}

platform_database_connection::outcome platform_database_connection::commit(const observed_run& run,
                                                                           lock& held) {
    if (m_state == 'I') {
        return {"MALFORMED no transaction is open"};
    }
    if (m_state == 'E') {
        end_transaction();
        return {"ABORTED the transaction had failed"};
    }
    const bool needs_primary = !m_writes.empty();
    if (needs_primary && !m_member.m_is_primary) {
        return fail("READONLY " + m_database.id());
    }
    if (const std::string refused = work(m_service.m_limits.m_commit, held); !refused.empty()) {
        return fail(refused);
    }
    if (!m_member.m_is_up) {
        return {.m_close = true};
    }
    if (needs_primary && !m_member.m_is_primary) {
        return fail("READONLY " + m_database.id());
    }
    m_service.m_judge.check_commit(run);
    if (needs_primary) {
        m_service.commit(m_member, {run.m_id, {}, m_writes});
    }
    end_transaction();
    outcome done;
    done.m_signature = "sig." + run.m_id.value() + "." + std::to_string(m_number.value());
    m_service.m_judge.add_signature(run.m_id, done.m_signature);
    return done;
}

platform_database_connection::outcome platform_database_connection::rollback(const observed_run& /*run*/,
                                                                             lock& /*held*/) {
    if (m_state == 'I') {
        return {"MALFORMED no transaction is open"};
    }
    end_transaction();
    return {};
}

platform_database_connection::outcome platform_database_connection::reset(const observed_run& /*run*/,
                                                                          lock& /*held*/) {
    m_values.clear();
    m_prepared.clear();
    return {};
}

platform_database_connection::outcome platform_database_connection::set_value(const observed_run& /*run*/,
                                                                              lock& /*held*/) {
    m_values[m_request.m_fields.at(0)] = m_request.m_fields.at(1);
    return {};
}

platform_database_connection::outcome platform_database_connection::prepare(const observed_run& /*run*/,
                                                                            lock& /*held*/) {
    m_prepared[m_request.m_fields.at(0)] = {m_request.m_fields.at(1) == "WRITE", m_request.m_fields.at(2)};
    return {};
}

platform_database_connection::outcome platform_database_connection::deallocate(const observed_run& /*run*/,
                                                                               lock& /*held*/) {
    const std::string& name = m_request.m_fields.at(0);
    if (m_prepared.erase(name) == 0) {
        return {"NOSTMT " + name};
    }
    m_service.m_judge.add_deallocation();
    return {};
}

platform_database_connection::outcome platform_database_connection::status(const observed_run& /*run*/,
                                                                           lock& /*held*/) {
    const auto& fields = m_request.m_fields;
    const std::string& word = m_request.m_word;
    const auto term = fields.empty() ? 0 : std::strtoul(fields.front().c_str(), nullptr, 10);
    if (word == "PAUSE" && !m_member.m_is_primary) {
        m_member.m_is_paused = term > m_service.m_term;
    } else if (word == "RESUME") {
        m_member.m_is_paused = false;
        m_service.receive(m_member);
    } else if (word == "STEPDOWN" && m_member.m_is_primary && m_member.m_term < term) {
        m_member.m_is_primary = false;
        m_member.m_report_now = true;
        m_service.m_record.write("database " + m_database.id() + " is stepped down");
    }
    m_service.m_changed.notify_all();
    const std::string place = to_text(m_service.place_of(m_member));
    return {{},
            "ROW " + std::string(m_member.m_is_primary ? "primary " : "replica ") +
                std::to_string(m_member.m_term) + " " + place + " 0 0 " + std::to_string(m_member.m_running) +
                " " + std::to_string(m_member.m_connections) + "\r\n"};
}

} // namespace mangoquay::soak
