// A libpq client with which tests connect to the stand-in.
#pragma once

#include "standin/postgres_standin.h"

#include <libpq-fe.h>

#include <memory>
#include <string>
#include <vector>

namespace mangoquay::test {

struct query_result {
    std::string m_sqlstate; // Empty: success; "no answer": the connection ended before a result arrived.
    std::vector<std::vector<std::string>> m_rows;
    std::string m_affected_rows;
    [[nodiscard]] std::string value() const { return m_rows.empty() ? "(no row)" : m_rows[0][0]; }
};

inline query_result read_result(PGresult* raw) {
    const std::unique_ptr<PGresult, decltype(&PQclear)> result(raw, PQclear);
    query_result read;
    const ExecStatusType status = PQresultStatus(raw);
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK && status != PGRES_PIPELINE_SYNC) {
        const char* state = raw == nullptr ? nullptr : PQresultErrorField(raw, PG_DIAG_SQLSTATE);
        read.m_sqlstate = state == nullptr ? "no answer" : state;
    }
    for (int row = 0; row < PQntuples(raw); ++row) {
        auto& cells = read.m_rows.emplace_back();
        for (int column = 0; column < PQnfields(raw); ++column) {
            cells.emplace_back(PQgetvalue(raw, row, column));
        }
    }
    read.m_affected_rows = PQcmdTuples(raw);
    return read;
}

class standin_client {
public:
    standin_client(std::uint16_t port, const std::string& name)
        : m_connection(PQconnectdb(("host=127.0.0.1 user=test dbname=test port=" + std::to_string(port) +
                                    " application_name=" + name)
                                       .c_str()),
                       PQfinish) {}

    [[nodiscard]] PGconn* raw() const { return m_connection.get(); }
    [[nodiscard]] bool connected() const { return PQstatus(raw()) == CONNECTION_OK; }
    void send(const char* sql, const std::vector<std::string>& parameters = {}) const {
        std::vector<const char*> values;
        values.reserve(parameters.size());
        for (const std::string& parameter : parameters) {
            values.push_back(parameter.c_str());
        }
        PQsendQueryParams(raw(), sql, static_cast<int>(values.size()), nullptr, values.data(), nullptr,
                          nullptr, 0);
    }
    // Returns the next result of the statements that were sent. If there is none, its m_sqlstate is "no
    // answer".
    [[nodiscard]] query_result receive() const { return read_result(PQgetResult(raw())); }
    [[nodiscard]] query_result run(const char* sql, const std::vector<std::string>& parameters = {}) const {
        send(sql, parameters);
        query_result first = receive();
        while (PGresult* rest = PQgetResult(raw())) {
            PQclear(rest);
        }
        return first;
    }

private:
    std::unique_ptr<PGconn, decltype(&PQfinish)> m_connection;
};

// Returns the layout of one group with three databases on free ports. Its primary is a1, and simulated
// durations are 0.
inline standin::layout three_database_layout() {
    standin::layout configuration;
    for (const char* id : {"a1", "a2", "a3"}) {
        standin::endpoint_layout endpoint;
        endpoint.m_id = id;
        endpoint.m_group = "a";
        endpoint.m_primary = endpoint.m_id == "a1";
        endpoint.m_timing = {core::microseconds(0), core::microseconds(0), core::microseconds(0),
                             core::microseconds(0), core::microseconds(0), {}};
        configuration.m_endpoints.push_back(endpoint);
    }
    return configuration;
}

inline standin::endpoint_report report_of(standin::postgres_standin& standin, const std::string& id) {
    for (const auto& report : standin.endpoint_reports()) {
        if (report.m_layout.m_id == id) {
            return report;
        }
    }
    return {};
}

// Polls until `holds` returns true. Returns false after ten seconds, so that a test that waits in vain fails.
template <class Condition>
bool eventually(Condition holds) {
    for (int tries = 0; tries < 2000; ++tries) {
        if (holds()) {
            return true;
        }
        std::this_thread::sleep_for(core::milliseconds(5));
    }
    return false;
}

} // namespace mangoquay::test
