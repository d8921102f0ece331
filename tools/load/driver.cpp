// The load loop.
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
constexpr int read_all_tries = 30;
// A caller waits this long past its deadline for the answer.
constexpr core::milliseconds answer_grace{2000};
constexpr core::milliseconds longest_poll{50};
constexpr core::milliseconds pause_between_tries{500};

core::time_point now() {
    return core::now();
}

core::duration seconds(double count) {
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(count));
}

double rate_at(const stream& of, double elapsed_s) {
    double rate = 0;
    for (const rate_step& step : of.m_rates) {
        rate = step.m_from_s <= elapsed_s ? step.m_per_s : rate;
    }
    return rate;
}

bool is_duplicate(const answer& got) {
    return got.m_message.find("duplicate key") != std::string::npos;
}

} // namespace

driver::driver(scenario wanted, driver_options options, caller_transport& transport)
    : m_wanted(std::move(wanted)), m_options(std::move(options)), m_client(transport),
      m_random(m_options.m_seed) {}

core::result<bool> driver::run() {
    if (auto written = write_setup_rows(); !written) {
        return written;
    }
    const core::time_point started = now();
    const core::time_point until = started + seconds(m_wanted.m_duration_s);
    m_measuring = true;
    m_summary.start(started, started + seconds(m_wanted.m_peak_from_s),
                    started + seconds(m_wanted.m_peak_to_s));
    start_streams(until);
    work_until(until, false);
    m_summary.end(now());
    core::milliseconds longest{0};
    for (const stream& each : m_wanted.m_streams) {
        longest = std::max(longest, core::milliseconds(each.m_deadline_ms) * each.m_tries);
    }
    work_until(now() + longest + answer_grace, true);
    m_measuring = false;
    return read_all();
}

core::result<bool> driver::write_setup_rows() {
    static const stream setup = [] {
        stream made;
        made.m_name = "setup";
        made.m_tries = 20;
        made.m_idempotency_key = true;
        return made;
    }();
    constexpr std::uint32_t rows_at_once = 32;
    std::uint32_t started = 0;
    std::uint32_t ended = 0;
    std::function<void()> next = [&] {
        ++ended;
        if (started < m_wanted.m_setup_rows) {
            ++started;
            call made = make_call(setup, nullptr, now());
            made.m_then = next;
            send(made);
        }
    };
    for (; started < std::min(m_wanted.m_setup_rows, rows_at_once);) {
        ++started;
        call made = make_call(setup, nullptr, now());
        made.m_then = next;
        send(made);
    }
    const core::time_point limit = now() + seconds(60);
    while (ended < m_wanted.m_setup_rows && now() < limit) {
        work_until(now() + longest_poll, true);
    }
    if (m_setup_rows.size() < m_wanted.m_setup_rows) {
        return core::result<bool>::failure(
            "only " + std::to_string(m_setup_rows.size()) +
            " of the rows to read could be written; last answer: " + m_last_refusal);
    }
    return true;
}

void driver::start_streams(core::time_point until) {
    for (const stream& each : m_wanted.m_streams) {
        if (!each.m_rates.empty()) {
            schedule_arrival(each, now(), until);
        }
        for (std::uint32_t index = 0; index < each.m_clients; ++index) {
            const bool keeps_session = each.m_operation == operation::update_and_read;
            start_client(each, keeps_session ? std::make_shared<session_client>() : nullptr, until);
        }
    }
}

void driver::start_client(const stream& of, const std::shared_ptr<session_client>& session,
                          core::time_point until) {
    if (now() >= until) {
        return;
    }
    call made = make_call(of, session, now());
    made.m_then = [this, &of, session, until] {
        m_timers.emplace(now() + of.m_think,
                         [this, &of, session, until] { start_client(of, session, until); });
    };
    send(made);
}

void driver::schedule_arrival(const stream& of, core::time_point started, core::time_point until) {
    // Arrivals are scheduled one after the other by due time, so that a late tool still sends them all.
    auto due = std::make_shared<core::time_point>(started);
    auto arrive = std::make_shared<std::function<void()>>();
    *arrive = [this, &of, started, until, due, weak = std::weak_ptr(arrive)] {
        const double elapsed = std::chrono::duration<double>(*due - started).count();
        const double rate = rate_at(of, elapsed) * m_options.m_rate_factor;
        if (rate > 0) {
            send(make_call(of, nullptr, *due));
        }
        // While the rate is 0, looks again after a while.
        *due += rate > 0 ? seconds(std::exponential_distribution<double>(rate)(m_random)) : seconds(0.05);
        if (const auto again = weak.lock(); again && *due < until) {
            m_timers.emplace(*due, [again] { (*again)(); });
        }
    };
    m_timers.emplace(started, [arrive] { (*arrive)(); });
}

void driver::work_until(core::time_point until, bool stop_when_idle) {
    while (now() < until && !(stop_when_idle && m_client.in_flight() == 0 && m_timers.empty())) {
        while (!m_timers.empty() && m_timers.begin()->first <= now()) {
            const auto due = m_timers.begin()->second;
            m_timers.erase(m_timers.begin());
            due();
        }
        const core::time_point next = m_timers.empty() ? until : std::min(until, m_timers.begin()->first);
        const auto wait = std::chrono::ceil<core::milliseconds>(next - now());
        m_client.work(std::clamp(wait, core::milliseconds(0), longest_poll));
    }
}

driver::call driver::make_call(const stream& of, const std::shared_ptr<session_client>& session,
                               core::time_point due) {
    call made;
    made.m_stream = &of;
    made.m_due = due;
    made.m_session = session;
    made.m_tries_left = of.m_tries - 1;
    if (session) {
        make_session_call(made);
    } else if (of.m_operation == operation::insert) {
        made.m_row = m_options.m_run + "-" + std::to_string(m_next_row++);
        made.m_body = {insert_sql, {made.m_row, history::value_of(made.m_row, 0)}, made.m_row, {}, true, {}};
    } else if (of.m_operation == operation::read) {
        made.m_row = m_setup_rows.at(m_random() % m_setup_rows.size());
        made.m_body = {read_sql, {made.m_row}, made.m_row, {}, false, {}};
    } else {
        made.m_row = std::to_string(m_random());
        made.m_body = {sleep_sql, {std::to_string(of.m_sleep_s)}, made.m_row, {}, false, {}};
    }
    if (!m_options.m_only_group.empty()) {
        made.m_body.m_key.clear();
        made.m_body.m_group = m_options.m_only_group;
    }
    if (of.m_idempotency_key && made.m_body.m_write) {
        made.m_body.m_idempotency_key = made.m_row + "/" + std::to_string(made.m_number);
    }
    return made;
}

void driver::make_session_call(call& made) {
    session_client& session = *made.m_session;
    const bool insert = session.m_row.empty();
    if (insert) {
        session = {};
        session.m_row = m_options.m_run + "-" + std::to_string(m_next_row++);
    }
    made.m_row = session.m_row;
    if (session.m_read_next) {
        made.m_least = session.m_acknowledged;
        made.m_body = {read_sql, {made.m_row}, made.m_row, {}, false, {}};
    } else {
        made.m_number = session.m_next++;
        made.m_body = {insert ? insert_sql : update_sql,
                       {made.m_row, history::value_of(made.m_row, made.m_number)},
                       made.m_row,
                       {},
                       true,
                       {}};
    }
}

void driver::send(const call& sent) {
    http_request request;
    request.m_url = any_proxy() + "/v1/services/" + m_wanted.m_service + "/statements";
    request.m_key = m_options.m_key;
    request.m_session = sent.m_session ? sent.m_session->m_token : "";
    request.m_body = encode(sent.m_body, *sent.m_stream);
    request.m_timeout = core::milliseconds(sent.m_stream->m_deadline_ms) + answer_grace;
    m_client.submit(std::move(request), [this, sent](const http_answer& raw) {
        call ended = sent;
        received(ended, raw);
    });
}

void driver::received(call& sent, const http_answer& raw) {
    const answer got = decode(raw);
    if (sent.m_session && !raw.m_session.empty()) {
        sent.m_session->m_token = raw.m_session;
    }
    if (resend(sent, got)) {
        return;
    }
    record(sent, got);
    if (sent.m_then) {
        sent.m_then();
    }
}

bool driver::resend(call& sent, const answer& got) {
    const bool safe = got.m_verdict == core::verdict::not_run && got.m_reason != "database_error";
    const bool by_key =
        got.m_verdict == core::verdict::may_have_run && !sent.m_body.m_idempotency_key.empty();
    if (sent.m_tries_left == 0 || (!safe && !by_key)) {
        return false;
    }
    --sent.m_tries_left;
    sent.m_may_have_run = sent.m_may_have_run || by_key;
    const core::milliseconds wait =
        got.m_retry_after_ms ? core::milliseconds(*got.m_retry_after_ms) : pause_between_tries;
    m_timers.emplace(now() + wait, [this, sent] { send(sent); });
    return true;
}

void driver::record(const call& sent, const answer& got) {
    if (got.m_verdict != core::verdict::ran) {
        m_last_refusal = got.m_reason + " " + got.m_message;
    }
    if (sent.m_body.m_write) {
        record_write(sent, got);
    } else if (got.m_verdict == core::verdict::ran) {
        record_read(sent, got);
    }
    if (sent.m_session && got.m_verdict == core::verdict::ran) {
        sent.m_session->m_read_next = sent.m_body.m_write;
    }
    if (m_measuring) {
        // The text of a transport error tells a refused connection from one that was cut.
        const std::string reason =
            got.m_reason == "transport_error" ? got.m_reason + ": " + got.m_message : got.m_reason;
        m_summary.add({sent.m_stream->m_name, sent.m_body.m_write, got.m_verdict, reason, got.m_endpoint,
                       sent.m_due, now(), core::milliseconds(sent.m_stream->m_deadline_ms)});
    }
}

void driver::record_write(const call& sent, const answer& got) {
    const bool ran = got.m_verdict == core::verdict::ran;
    // An earlier try may have run: only an acknowledgement settles that.
    const bool unsettled = sent.m_may_have_run && !ran;
    m_history.write_ended(sent.m_row, sent.m_number, unsettled ? core::verdict::may_have_run : got.m_verdict);
    if (is_duplicate(got)) {
        m_history.duplicate_reported(sent.m_row, sent.m_may_have_run);
    }
    if (ran && sent.m_body.m_sql == update_sql && got.m_rows_affected == std::uint64_t{0}) {
        m_history.update_found_no_row(sent.m_row);
    }
    if (ran && !m_measuring) {
        m_setup_rows.push_back(sent.m_row);
        m_summary.acknowledged_by(got.m_endpoint);
    }
    if (!sent.m_session) {
        return;
    }
    if (ran) {
        sent.m_session->m_acknowledged = sent.m_number;
    } else if (sent.m_number == 0) {
        *sent.m_session = {}; // the row may not exist: starts another one
    }
}

void driver::record_read(const call& sent, const answer& got) {
    if (sent.m_stream->m_operation == operation::sleep) {
        return;
    }
    std::optional<std::string> value;
    if (!got.m_rows.empty() && got.m_rows[0].size() > 1) {
        value = got.m_rows[0][1];
    }
    if (sent.m_session) {
        m_history.session_read(sent.m_row, sent.m_least, value);
    } else {
        m_history.read(sent.m_row, value);
    }
}

core::result<bool> driver::read_all() {
    stream options;
    options.m_deadline_ms = read_all_deadline_ms;
    row_values present;
    for (const std::string& group : m_options.m_groups) {
        bool read = false;
        for (int tries = 0; tries < read_all_tries && !read; ++tries) {
            http_request request;
            request.m_url = any_proxy() + "/v1/services/" + m_wanted.m_service + "/statements";
            request.m_key = m_options.m_key;
            request.m_body = encode({read_all_sql, {}, {}, group, false, {}}, options);
            request.m_timeout = core::milliseconds(read_all_deadline_ms) + answer_grace;
            m_client.submit(request, [&](const http_answer& raw) {
                const answer got = decode(raw);
                read = got.m_verdict == core::verdict::ran;
                m_last_refusal = got.m_reason + " " + got.m_message;
                for (const auto& row : got.m_rows) {
                    present[row.at(0)] = row.at(1);
                }
            });
            work_until(now() + core::milliseconds(read_all_deadline_ms) + answer_grace, true);
            if (!read) {
                work_until(now() + pause_between_tries, false);
            }
        }
        if (!read) {
            return core::result<bool>::failure("the final read of group " + group +
                                               " did not succeed: " + m_last_refusal);
        }
    }
    if (!m_options.m_groups.empty()) {
        m_history.check_all(present);
    }
    return true;
}

const std::string& driver::any_proxy() {
    return m_options.m_proxies.at(m_random() % m_options.m_proxies.size());
}

} // namespace mangoquay::load
