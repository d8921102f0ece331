// Baseline transport: blocking libpq calls on one thread per slot.
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

// Number of entry hosts in each deployment of scripts/bench.sh. A database with fewer slots than that is
// served by as many proxies as it has slots.
constexpr std::size_t entry_host_count = 6;
constexpr core::milliseconds fixed_timeout{5000};
constexpr core::milliseconds monitor_interval{200};

core::time_point now() {
    return core::now();
}

std::string encode_verdict(const char* verdict, const char* reason, const std::string& message) {
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

std::string run_statement(PGconn* database, const std::string& request, const std::string& endpoint) {
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
    return encode_verdict(refused ? "not_run" : "may_have_run",
                          refused ? "database_error" : "connection_lost", PQresultErrorMessage(result.get()));
}

} // namespace

core::result<std::vector<baseline_group>> read_databases(const std::string& layout_file) {
    std::ifstream file(layout_file);
    const json layout = json::parse(file, nullptr, false);
    if (layout.is_discarded() || !layout.contains("groups")) {
        return core::result<std::vector<baseline_group>>::failure(
            layout_file + ": not a layout file: no JSON object with groups");
    }
    std::vector<baseline_group> groups;
    for (const json& group : layout.at("groups")) {
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

baseline_transport::baseline_transport(std::vector<baseline_group> groups) {
    const std::size_t slots = groups.at(0).m_databases.at(0).m_slot_count;
    m_proxy_count = std::min(entry_host_count, slots);
    for (baseline_group& group : groups) {
        auto state = std::make_unique<group_state>();
        state->m_group = std::move(group);
        for (const baseline_database& database : state->m_group.m_databases) {
            auto& queues = state->m_queues.emplace_back();
            for (std::size_t proxy = 0; proxy < m_proxy_count; ++proxy) {
                request_queue& requests = *queues.emplace_back(std::make_unique<request_queue>());
                for (std::size_t slot = 0; slot < slots / m_proxy_count; ++slot) {
                    m_threads.emplace_back([this, &requests, &database] { run_slot(requests, database); });
                }
            }
        }
        m_threads.emplace_back([this, &group = *state] { monitor_group(group); });
        m_groups.push_back(std::move(state));
    }
}

baseline_transport::~baseline_transport() {
    m_stopped = true;
    for (const auto& group : m_groups) {
        for (const auto& queues : group->m_queues) {
            for (const auto& each : queues) {
                const std::lock_guard lock(each->m_mutex);
                each->m_not_empty.notify_all();
            }
        }
    }
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void baseline_transport::submit(http_request request, answer_handler handler) {
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
    m_next_proxy = (m_next_proxy + 1) % m_proxy_count;
    request_queue& target_queue = *group.m_queues[group.m_primary][m_next_proxy];
    ++m_in_flight;
    const std::lock_guard lock(target_queue.m_mutex);
    target_queue.m_requests.push_back({std::move(request), std::move(handler), now()});
    target_queue.m_not_empty.notify_one();
}

void baseline_transport::run_slot(request_queue& requests, const baseline_database& target) {
    connection database(nullptr, PQfinish);
    while (!m_stopped) {
        std::unique_lock lock(requests.m_mutex);
        requests.m_not_empty.wait(lock, [&] { return m_stopped || !requests.m_requests.empty(); });
        if (m_stopped) {
            return;
        }
        queued_request next = std::move(requests.m_requests.front());
        requests.m_requests.pop_front();
        lock.unlock();
        http_answer answer;
        answer.m_status = 200;
        if (now() - next.m_queued > fixed_timeout) {
            answer.m_body = encode_verdict("not_run", "deadline_exceeded", "");
            finish(std::move(next), std::move(answer));
            continue;
        }
        if (!database || PQstatus(database.get()) != CONNECTION_OK) {
            database.reset(PQconnectdb(target.m_conninfo.c_str()));
        }
        answer.m_body =
            PQstatus(database.get()) == CONNECTION_OK
                ? run_statement(database.get(), next.m_request.m_body, target.m_id)
                : encode_verdict("not_run", "endpoint_unreachable", PQerrorMessage(database.get()));
        finish(std::move(next), std::move(answer));
    }
}

void baseline_transport::monitor_group(group_state& group) {
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

void baseline_transport::finish(queued_request request, http_answer answer) {
    const std::lock_guard lock(m_finished_mutex);
    m_finished.emplace_back(std::move(request), std::move(answer));
    m_finished_not_empty.notify_one();
}

void baseline_transport::process_events(core::milliseconds max_wait) {
    std::vector<std::pair<queued_request, http_answer>> finished;
    {
        std::unique_lock lock(m_finished_mutex);
        m_finished_not_empty.wait_for(lock, max_wait, [this] { return !m_finished.empty(); });
        finished.swap(m_finished);
    }
    m_in_flight -= finished.size();
    for (const auto& [request, answer] : finished) {
        request.m_handler(answer);
    }
}

} // namespace mangoquay::load
