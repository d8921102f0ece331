// Load generation and the event loop of the load tool.
#include "driver.h"

#include <algorithm>
#include <cmath>

namespace mangoquay::load {
namespace {

constexpr const char* insert_sql = "INSERT INTO entries (id, value) VALUES ($1, $2)";
constexpr const char* update_sql = "UPDATE entries SET value = $2 WHERE id = $1";
constexpr const char* read_sql = "SELECT id, value FROM entries WHERE id = $1";
constexpr const char* sleep_sql = "SELECT pg_sleep($1)";
constexpr const char* read_all_sql = "SELECT id, value FROM entries ORDER BY id";
constexpr std::int64_t read_all_deadline_ms = 20000;
constexpr int read_all_max_attempts = 30;
// A caller waits for the answer this long past its deadline.
constexpr core::milliseconds answer_grace{2000};
constexpr core::milliseconds max_poll{50};
constexpr core::milliseconds retry_pause{500};

core::time_point now() {
    return core::now();
}

core::duration seconds(double count) {
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(count));
}

double rate_at(const stream& source, double elapsed_s) {
    double rate = 0;
    for (const rate_step& step : source.m_rates) {
        rate = step.m_from_s <= elapsed_s ? step.m_per_s : rate;
    }
    return rate;
}

bool is_duplicate(const answer& reply) {
    return reply.m_message.find("duplicate key") != std::string::npos;
}

} // namespace

driver::driver(scenario requested, driver_options options, caller_transport& transport)
    : m_scenario(std::move(requested)), m_options(std::move(options)), m_transport(transport),
      m_random(m_options.m_seed) {}

core::result<bool> driver::run() {
    if (auto written = write_setup_rows(); !written) {
        return written;
    }
    const core::time_point started = now();
    const core::time_point until = started + seconds(m_scenario.m_duration_s);
    m_measuring = true;
    m_summary.begin_measurement(started, started + seconds(m_scenario.m_peak_from_s),
                                started + seconds(m_scenario.m_peak_to_s));
    start_streams(until);
    run_until(until, false);
    m_summary.end_measurement(now());
    core::milliseconds max_request_time{0};
    for (const stream& each : m_scenario.m_streams) {
        max_request_time =
            std::max(max_request_time, core::milliseconds(each.m_deadline_ms) * each.m_max_attempts);
    }
    run_until(now() + max_request_time + answer_grace, true);
    m_measuring = false;
    return read_all_rows();
}

core::result<bool> driver::write_setup_rows() {
    static const stream setup = [] {
        stream created;
        created.m_name = "setup";
        created.m_max_attempts = 20;
        created.m_idempotency_key = true;
        return created;
    }();
    constexpr std::uint32_t max_in_flight = 32;
    std::uint32_t started_count = 0;
    std::uint32_t finished_count = 0;
    std::function<void()> next = [&] {
        ++finished_count;
        if (started_count < m_scenario.m_setup_row_count) {
            ++started_count;
            pending_request created = make_request(setup, nullptr, now());
            created.m_on_done = next;
            send(created);
        }
    };
    for (; started_count < std::min(m_scenario.m_setup_row_count, max_in_flight);) {
        ++started_count;
        pending_request created = make_request(setup, nullptr, now());
        created.m_on_done = next;
        send(created);
    }
    const core::time_point limit = now() + seconds(60);
    while (finished_count < m_scenario.m_setup_row_count && now() < limit) {
        run_until(now() + max_poll, true);
    }
    if (m_setup_rows.size() < m_scenario.m_setup_row_count) {
        return core::result<bool>::failure(
            "only " + std::to_string(m_setup_rows.size()) +
            " of the setup rows could be written; last failure: " + m_last_failure);
    }
    return true;
}

void driver::start_streams(core::time_point until) {
    for (const stream& each : m_scenario.m_streams) {
        if (!each.m_rates.empty()) {
            schedule_arrival(each, now(), until);
        }
        for (std::uint32_t index = 0; index < each.m_client_count; ++index) {
            const bool keeps_session = each.m_operation == operation::update_and_read;
            start_client(each, keeps_session ? std::make_shared<session_client>() : nullptr, until);
        }
    }
}

void driver::start_client(const stream& source, const std::shared_ptr<session_client>& session,
                          core::time_point until) {
    if (now() >= until) {
        return;
    }
    pending_request created = make_request(source, session, now());
    created.m_on_done = [this, &source, session, until] {
        m_timers.emplace(now() + source.m_think_time,
                         [this, &source, session, until] { start_client(source, session, until); });
    };
    send(created);
}

void driver::schedule_arrival(const stream& source, core::time_point started, core::time_point until) {
    // Each arrival schedules the next one by its due time, so that all of them are sent even if the tool
    // lags.
    auto due = std::make_shared<core::time_point>(started);
    auto arrive = std::make_shared<std::function<void()>>();
    *arrive = [this, &source, started, until, due, weak = std::weak_ptr(arrive)] {
        const double elapsed = std::chrono::duration<double>(*due - started).count();
        const double rate = rate_at(source, elapsed) * m_options.m_rate_factor;
        if (rate > 0) {
            send(make_request(source, nullptr, *due));
        }
        // While the rate is 0, checks again every 50 ms.
        *due += rate > 0 ? seconds(std::exponential_distribution<double>(rate)(m_random)) : seconds(0.05);
        if (const auto next_arrival = weak.lock(); next_arrival && *due < until) {
            m_timers.emplace(*due, [next_arrival] { (*next_arrival)(); });
        }
    };
    m_timers.emplace(started, [arrive] { (*arrive)(); });
}

void driver::run_until(core::time_point until, bool stop_when_idle) {
    while (now() < until && !(stop_when_idle && m_transport.in_flight() == 0 && m_timers.empty())) {
        while (!m_timers.empty() && m_timers.begin()->first <= now()) {
            const auto task = m_timers.begin()->second;
            m_timers.erase(m_timers.begin());
            task();
        }
        const core::time_point next = m_timers.empty() ? until : std::min(until, m_timers.begin()->first);
        const auto wait = std::chrono::ceil<core::milliseconds>(next - now());
        m_transport.process_events(std::clamp(wait, core::milliseconds(0), max_poll));
    }
}

driver::pending_request driver::make_request(const stream& source,
                                             const std::shared_ptr<session_client>& session,
                                             core::time_point due) {
    pending_request created;
    created.m_stream = &source;
    created.m_due = due;
    created.m_session = session;
    created.m_attempts_left = source.m_max_attempts - 1;
    if (session) {
        make_session_request(created);
    } else if (source.m_operation == operation::insert) {
        created.m_row = m_options.m_run_id + "-" + std::to_string(m_next_row++);
        created.m_body = {
            insert_sql, {created.m_row, history::value_of(created.m_row, 0)}, created.m_row, {}, true, {}};
    } else if (source.m_operation == operation::read) {
        created.m_row = m_setup_rows.at(m_random() % m_setup_rows.size());
        created.m_body = {read_sql, {created.m_row}, created.m_row, {}, false, {}};
    } else {
        created.m_row = std::to_string(m_random());
        created.m_body = {sleep_sql, {std::to_string(source.m_sleep_s)}, created.m_row, {}, false, {}};
    }
    if (!m_options.m_only_group.empty()) {
        created.m_body.m_key.clear();
        created.m_body.m_group = m_options.m_only_group;
    }
    if (source.m_idempotency_key && created.m_body.m_write) {
        created.m_body.m_idempotency_key = created.m_row + "/" + std::to_string(created.m_number);
    }
    return created;
}

void driver::make_session_request(pending_request& created) {
    session_client& session = *created.m_session;
    const bool insert = session.m_row.empty();
    if (insert) {
        session = {};
        session.m_row = m_options.m_run_id + "-" + std::to_string(m_next_row++);
    }
    created.m_row = session.m_row;
    if (session.m_read_next) {
        created.m_min_number = session.m_acknowledged;
        created.m_body = {read_sql, {created.m_row}, created.m_row, {}, false, {}};
    } else {
        created.m_number = session.m_next_number++;
        created.m_body = {insert ? insert_sql : update_sql,
                          {created.m_row, history::value_of(created.m_row, created.m_number)},
                          created.m_row,
                          {},
                          true,
                          {}};
    }
}

void driver::send(const pending_request& pending) {
    http_request request;
    request.m_url = random_proxy() + "/v1/services/" + m_scenario.m_service + "/statements";
    request.m_key = m_options.m_key;
    request.m_session = pending.m_session ? pending.m_session->m_token : "";
    request.m_body = encode_request(pending.m_body, *pending.m_stream);
    request.m_timeout = core::milliseconds(pending.m_stream->m_deadline_ms) + answer_grace;
    m_transport.submit(std::move(request), [this, pending](const http_answer& raw) {
        pending_request answered = pending;
        on_answer(answered, raw);
    });
}

void driver::on_answer(pending_request& pending, const http_answer& raw) {
    const answer reply = decode_answer(raw);
    if (pending.m_session && !raw.m_session.empty()) {
        pending.m_session->m_token = raw.m_session;
    }
    if (resend(pending, reply)) {
        return;
    }
    record(pending, reply);
    if (pending.m_on_done) {
        pending.m_on_done();
    }
}

bool driver::resend(pending_request& pending, const answer& reply) {
    const bool safe = reply.m_verdict == core::verdict::not_run && reply.m_reason != "database_error";
    const bool by_key =
        reply.m_verdict == core::verdict::may_have_run && !pending.m_body.m_idempotency_key.empty();
    if (pending.m_attempts_left == 0 || (!safe && !by_key)) {
        return false;
    }
    --pending.m_attempts_left;
    pending.m_may_have_run = pending.m_may_have_run || by_key;
    const core::milliseconds wait =
        reply.m_retry_after_ms ? core::milliseconds(*reply.m_retry_after_ms) : retry_pause;
    m_timers.emplace(now() + wait, [this, pending] { send(pending); });
    return true;
}

void driver::record(const pending_request& pending, const answer& reply) {
    if (reply.m_verdict != core::verdict::ran) {
        m_last_failure = reply.m_reason + " " + reply.m_message;
    }
    if (pending.m_body.m_write) {
        record_write(pending, reply);
    } else if (reply.m_verdict == core::verdict::ran) {
        record_read(pending, reply);
    }
    if (pending.m_session && reply.m_verdict == core::verdict::ran) {
        pending.m_session->m_read_next = pending.m_body.m_write;
    }
    if (m_measuring) {
        // The text of a transport error distinguishes a refused connection from one that was lost.
        const std::string reason =
            reply.m_reason == "transport_error" ? reply.m_reason + ": " + reply.m_message : reply.m_reason;
        m_summary.add_outcome({pending.m_stream->m_name, pending.m_body.m_write, reply.m_verdict, reason,
                               reply.m_endpoint, pending.m_due, now(),
                               core::milliseconds(pending.m_stream->m_deadline_ms)});
    }
}

void driver::record_write(const pending_request& pending, const answer& reply) {
    const bool ran = reply.m_verdict == core::verdict::ran;
    // An earlier attempt may have run, so only an acknowledgement makes the outcome certain.
    const bool unsettled = pending.m_may_have_run && !ran;
    m_history.record_write(pending.m_row, pending.m_number,
                           unsettled ? core::verdict::may_have_run : reply.m_verdict);
    if (is_duplicate(reply)) {
        m_history.record_duplicate_error(pending.m_row, pending.m_may_have_run);
    }
    if (ran && pending.m_body.m_sql == update_sql && reply.m_rows_affected == std::uint64_t{0}) {
        m_history.record_update_without_row(pending.m_row);
    }
    if (ran && !m_measuring) {
        m_setup_rows.push_back(pending.m_row);
        m_summary.record_primary(reply.m_endpoint);
    }
    if (!pending.m_session) {
        return;
    }
    if (ran) {
        pending.m_session->m_acknowledged = pending.m_number;
    } else if (pending.m_number == 0) {
        *pending.m_session = {}; // The row may not exist, so the client starts a new one.
    }
}

void driver::record_read(const pending_request& pending, const answer& reply) {
    if (pending.m_stream->m_operation == operation::sleep) {
        return;
    }
    std::optional<std::string> value;
    if (!reply.m_rows.empty() && reply.m_rows[0].size() > 1) {
        value = reply.m_rows[0][1];
    }
    if (pending.m_session) {
        m_history.check_session_read(pending.m_row, pending.m_min_number, value);
    } else {
        m_history.check_read(pending.m_row, value);
    }
}

core::result<bool> driver::read_all_rows() {
    stream options;
    options.m_deadline_ms = read_all_deadline_ms;
    row_values stored;
    for (const std::string& group : m_options.m_groups) {
        bool read = false;
        for (int attempt = 0; attempt < read_all_max_attempts && !read; ++attempt) {
            http_request request;
            request.m_url = random_proxy() + "/v1/services/" + m_scenario.m_service + "/statements";
            request.m_key = m_options.m_key;
            request.m_body = encode_request({read_all_sql, {}, {}, group, false, {}}, options);
            request.m_timeout = core::milliseconds(read_all_deadline_ms) + answer_grace;
            m_transport.submit(request, [&](const http_answer& raw) {
                const answer reply = decode_answer(raw);
                read = reply.m_verdict == core::verdict::ran;
                m_last_failure = reply.m_reason + " " + reply.m_message;
                for (const auto& row : reply.m_rows) {
                    stored[row.at(0)] = row.at(1);
                }
            });
            run_until(now() + core::milliseconds(read_all_deadline_ms) + answer_grace, true);
            if (!read) {
                run_until(now() + retry_pause, false);
            }
        }
        if (!read) {
            return core::result<bool>::failure("the final read of group " + group +
                                               " did not succeed: " + m_last_failure);
        }
    }
    if (!m_options.m_groups.empty()) {
        m_history.check_stored_rows(stored);
    }
    return true;
}

const std::string& driver::random_proxy() {
    return m_options.m_proxies.at(m_random() % m_options.m_proxies.size());
}

} // namespace mangoquay::load
