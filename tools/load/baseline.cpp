// The baseline: blocking libpq on one thread per slot.
#include "baseline.h"

#include "dialect/postgres_sql.h"

#include <libpq-fe.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>

namespace mangoquay::load {
namespace {

using nlohmann::json;
using connection = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using query_result = std::unique_ptr<PGresult, decltype(&PQclear)>;

// Entry hosts of both deployments, section 1.3. Where a database has fewer slots, so many proxies serve it.
constexpr std::size_t entry_hosts = 6;
constexpr core::milliseconds fixed_timeout{5000};
constexpr core::milliseconds monitor_interval{200};

core::time_point now() {
    return core::now();
}

std::string encode(const char* verdict, const char* reason, const std::string& message) {
    return json{{"verdict", verdict}, {"reason", reason}, {"message", message}}.dump();
}

std::string encode_rows(const PGresult* result, const std::string& endpoint) {
    json rows = json::array();
    for (int row = 0; row < PQntuples(result); ++row) {
        json cells = json::array();
        for (int column = 0; column < PQnfields(result); ++column) {
            cells.push_back(PQgetvalue(result, row, column));
        }
        rows.push_back(std::move(cells));
    }
    const std::string affected = PQcmdTuples(const_cast<PGresult*>(result));
    return json{{"verdict", "ran"},
                {"reason", "none"},
                {"endpoint", endpoint},
                {"rows", rows},
                {"rows_affected", affected.empty() ? 0 : std::stoull(affected)}}
        .dump();
}

std::string run(PGconn* database, const std::string& request, const std::string& endpoint) {
    const json body = json::parse(request);
    const auto sql = body.at("sql").get<std::string>();
    const auto parameters = body.at("params").get<std::vector<std::string>>();
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const std::string& parameter : parameters) {
        values.push_back(parameter.c_str());
    }
    const query_result result(PQexecParams(database, sql.c_str(), static_cast<int>(values.size()), nullptr,
                                           values.data(), nullptr, nullptr, 0),
                              PQclear);
    const ExecStatusType status = PQresultStatus(result.get());
    if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK) {
        return encode_rows(result.get(), endpoint);
    }
    const bool refused = PQstatus(database) == CONNECTION_OK;
    return encode(refused ? "not_run" : "may_have_run", refused ? "database_error" : "connection_lost",
                  PQresultErrorMessage(result.get()));
}

} // namespace

core::result<std::vector<baseline_group>> read_databases(const std::string& layout_file) {
    std::ifstream file(layout_file);
    const json from = json::parse(file, nullptr, false);
    if (from.is_discarded() || !from.contains("groups")) {
        return core::result<std::vector<baseline_group>>::failure(layout_file + ": not a layout");
    }
    std::vector<baseline_group> groups;
    for (const json& group : from.at("groups")) {
        baseline_group read{group.at("id"), {}};
        for (const json& endpoint : group.at("endpoints")) {
            read.m_databases.push_back({endpoint.at("id"),
                                        "host=" + endpoint.at("host").get<std::string>() +
                                            " port=" + std::to_string(endpoint.at("port").get<int>()) +
                                            " user=baseline dbname=entries connect_timeout=2",
                                        endpoint.at("slots").get<std::uint32_t>()});
        }
        groups.push_back(std::move(read));
    }
    return groups;
}

baseline::baseline(std::vector<baseline_group> groups) {
    const std::size_t slots = groups.at(0).m_databases.at(0).m_slots;
    m_proxies = std::min(entry_hosts, slots);
    for (baseline_group& group : groups) {
        auto state = std::make_unique<group_state>();
        state->m_group = std::move(group);
        for (const baseline_database& database : state->m_group.m_databases) {
            auto& queues = state->m_queues.emplace_back();
            for (std::size_t proxy = 0; proxy < m_proxies; ++proxy) {
                queue& made = *queues.emplace_back(std::make_unique<queue>());
                for (std::size_t slot = 0; slot < slots / m_proxies; ++slot) {
                    m_threads.emplace_back([this, &made, &database] { serve(made, database); });
                }
            }
        }
        m_threads.emplace_back([this, &group = *state] { monitor(group); });
        m_groups.push_back(std::move(state));
    }
}

baseline::~baseline() {
    m_stopped = true;
    for (const auto& group : m_groups) {
        for (const auto& queues : group->m_queues) {
            for (const auto& each : queues) {
                const std::lock_guard lock(each->m_mutex);
                each->m_filled.notify_all();
            }
        }
    }
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void baseline::submit(http_request request, answer_handler handler) {
    const json body = json::parse(request.m_body);
    std::size_t index = 0;
    if (body.contains("group")) {
        while (index + 1 < m_groups.size() && m_groups[index]->m_group.m_id != body["group"]) {
            ++index;
        }
    } else {
        index = std::hash<std::string>{}(body.at("key").get<std::string>()) % m_groups.size();
    }
    group_state& group = *m_groups[index];
    m_next_proxy = (m_next_proxy + 1) % m_proxies;
    queue& to = *group.m_queues[group.m_primary][m_next_proxy];
    ++m_in_flight;
    const std::lock_guard lock(to.m_mutex);
    to.m_jobs.push_back({std::move(request), std::move(handler), now()});
    to.m_filled.notify_one();
}

void baseline::serve(queue& from, const baseline_database& at) {
    connection database(nullptr, PQfinish);
    while (!m_stopped) {
        std::unique_lock lock(from.m_mutex);
        from.m_filled.wait(lock, [&] { return m_stopped || !from.m_jobs.empty(); });
        if (m_stopped) {
            return;
        }
        job next = std::move(from.m_jobs.front());
        from.m_jobs.pop_front();
        lock.unlock();
        http_answer answer;
        answer.m_status = 200;
        if (now() - next.m_queued > fixed_timeout) {
            answer.m_body = encode("not_run", "deadline_exceeded", "");
            finish(std::move(next), std::move(answer));
            continue;
        }
        if (!database || PQstatus(database.get()) != CONNECTION_OK) {
            database.reset(PQconnectdb(at.m_conninfo.c_str()));
        }
        answer.m_body = PQstatus(database.get()) == CONNECTION_OK
                            ? run(database.get(), next.m_request.m_body, at.m_id)
                            : encode("not_run", "endpoint_unreachable", PQerrorMessage(database.get()));
        finish(std::move(next), std::move(answer));
    }
}

void baseline::monitor(group_state& group) {
    connection database(nullptr, PQfinish);
    core::time_point last_answer = now();
    while (!m_stopped) {
        const baseline_database& primary = group.m_group.m_databases[group.m_primary];
        if (!database || PQstatus(database.get()) != CONNECTION_OK) {
            database.reset(PQconnectdb(primary.m_conninfo.c_str()));
        }
        const query_result status(PQexec(database.get(), dialect::postgres_sql::status), PQclear);
        if (PQresultStatus(status.get()) == PGRES_TUPLES_OK) {
            last_answer = now();
        } else if (now() - last_answer > fixed_timeout) {
            const std::size_t next = (group.m_primary + 1) % group.m_group.m_databases.size();
            database.reset(PQconnectdb(group.m_group.m_databases[next].m_conninfo.c_str()));
            const query_result promoted(PQexec(database.get(), dialect::postgres_sql::promote), PQclear);
            group.m_primary = next;
            last_answer = now();
        }
        std::this_thread::sleep_for(monitor_interval);
    }
}

void baseline::finish(job ended, http_answer answer) {
    const std::lock_guard lock(m_finished_mutex);
    m_finished.emplace_back(std::move(ended), std::move(answer));
    m_finished_filled.notify_one();
}

void baseline::work(core::milliseconds longest) {
    std::vector<std::pair<job, http_answer>> finished;
    {
        std::unique_lock lock(m_finished_mutex);
        m_finished_filled.wait_for(lock, longest, [this] { return !m_finished.empty(); });
        finished.swap(m_finished);
    }
    m_in_flight -= finished.size();
    for (const auto& [ended, answer] : finished) {
        ended.m_handler(answer);
    }
}

} // namespace mangoquay::load
