// Implements the supported SQL statements.
#include "statements.h"

#include "dialect/postgres_sql.h"

#include <charconv>
#include <cstdio>
#include <unordered_map>

namespace mangoquay::standin {
namespace {

namespace sql = dialect::postgres_sql;

constexpr const char* entries = "entries";
constexpr const char* outcomes = "mangoquay_outcomes";

statement_outcome completed(std::string tag) {
    statement_outcome outcome;
    outcome.m_tag = std::move(tag);
    return outcome;
}

statement_outcome rows(std::vector<std::vector<core::cell>> rows) {
    statement_outcome outcome = completed("SELECT " + std::to_string(rows.size()));
    outcome.m_rows = std::move(rows);
    return outcome;
}

statement_outcome one_value(std::string value) {
    return rows({{std::move(value)}});
}

statement_outcome error_outcome(std::string sqlstate, std::string message) {
    statement_outcome outcome;
    outcome.m_sqlstate = std::move(sqlstate);
    outcome.m_message = std::move(message);
    return outcome;
}

statement_outcome lock_wait() {
    statement_outcome outcome;
    outcome.m_wait = true;
    return outcome;
}

std::string parameter(const statement_context& context, std::size_t index) {
    return context.m_parameters.at(index).value_or("");
}

// Returns the error of PostgreSQL for a change on a replica or in a read-only transaction.
std::optional<statement_outcome> check_writable(const statement_context& context,
                                                const std::string& command) {
    if (context.m_database.m_in_recovery || context.m_client.m_transaction.m_read_only) {
        return error_outcome("25006", "cannot execute " + command + " in a read-only transaction");
    }
    return std::nullopt;
}

std::optional<statement_outcome> check_table_exists(const statement_context& context, const char* table) {
    if (!context.m_database.has_table(context.m_client.m_transaction, table)) {
        return error_outcome("42P01", "relation \"" + std::string(table) + "\" does not exist");
    }
    return std::nullopt;
}

const std::string* find_visible(const statement_context& context, const row_key& key) {
    return context.m_database.find_row(context.m_client.m_transaction, key);
}

statement_outcome insert(statement_context& context, const char* table, std::string value,
                         bool ignore_conflict) {
    const row_key key{table, parameter(context, 0)};
    if (!context.m_parameters.at(0)) {
        return error_outcome("23502", "null value in a primary key violates not-null constraint");
    }
    if (!context.m_database.lock_row(context.m_client, key)) {
        return lock_wait();
    }
    if (find_visible(context, key) != nullptr) {
        return ignore_conflict ? completed("INSERT 0 0")
                               : error_outcome("23505", "duplicate key value violates unique constraint \"" +
                                                            std::string(table) + "_pkey\"");
    }
    context.m_client.m_transaction.m_changes[key] = std::move(value);
    return completed("INSERT 0 1");
}

statement_outcome update(statement_context& context, const char* table) {
    const row_key key{table, parameter(context, 0)};
    if (find_visible(context, key) == nullptr) {
        return completed("UPDATE 0");
    }
    if (!context.m_database.lock_row(context.m_client, key)) {
        return lock_wait();
    }
    context.m_client.m_transaction.m_changes[key] = parameter(context, 1);
    return completed("UPDATE 1");
}

statement_outcome insert_entry(statement_context& context) {
    if (auto refused = check_writable(context, "INSERT")) {
        return *refused;
    }
    return insert(context, entries, parameter(context, 1), false);
}

statement_outcome update_entry(statement_context& context) {
    if (auto refused = check_writable(context, "UPDATE")) {
        return *refused;
    }
    return update(context, entries);
}

statement_outcome claim_outcome(statement_context& context) {
    if (auto refused = check_table_exists(context, outcomes)) {
        return *refused;
    }
    if (auto refused = check_writable(context, "INSERT")) {
        return *refused;
    }
    return insert(context, outcomes, "", true);
}

statement_outcome record_outcome(statement_context& context) {
    if (auto refused = check_table_exists(context, outcomes)) {
        return *refused;
    }
    if (auto refused = check_writable(context, "UPDATE")) {
        return *refused;
    }
    return update(context, outcomes);
}

statement_outcome read_outcome(statement_context& context) {
    if (auto refused = check_table_exists(context, outcomes)) {
        return *refused;
    }
    const std::string* value = find_visible(context, row_key{outcomes, parameter(context, 0)});
    return value == nullptr ? rows({}) : one_value(*value);
}

statement_outcome create_outcomes(statement_context& context) {
    if (auto refused = check_writable(context, "CREATE TABLE")) {
        return *refused;
    }
    const row_key key{outcomes, ""};
    if (context.m_database.has_table(context.m_client.m_transaction, outcomes)) {
        return completed("CREATE TABLE");
    }
    if (!context.m_database.lock_row(context.m_client, key)) {
        return lock_wait();
    }
    context.m_client.m_transaction.m_changes[key] = std::nullopt;
    return completed("CREATE TABLE");
}

std::map<std::string, std::string> visible_entries(const statement_context& context) {
    auto visible = context.m_database.m_tables.at(entries);
    for (const auto& [key, value] : context.m_client.m_transaction.m_changes) {
        if (key.m_table == entries && value) {
            visible[key.m_id] = *value;
        }
    }
    return visible;
}

statement_outcome read_entry(statement_context& context) {
    const std::string id = parameter(context, 0);
    const std::string* value = find_visible(context, row_key{entries, id});
    return value == nullptr ? rows({}) : rows({{id, *value}});
}

statement_outcome read_entries(statement_context& context) {
    std::vector<std::vector<core::cell>> all;
    for (const auto& [id, value] : visible_entries(context)) {
        all.push_back({id, value});
    }
    return rows(std::move(all));
}

statement_outcome count_entries(statement_context& context) {
    return one_value(std::to_string(visible_entries(context).size()));
}

statement_outcome begin(statement_context& context, bool read_only) {
    transaction& open = context.m_client.m_transaction;
    open.m_open = true;
    open.m_implicit = false;
    open.m_read_only = read_only;
    return completed("BEGIN");
}

statement_outcome commit(statement_context& context) {
    if (context.m_client.m_transaction.m_failed) {
        context.m_database.roll_back(context.m_client);
        return completed("ROLLBACK");
    }
    context.m_database.commit(context.m_client, context.m_now);
    return completed("COMMIT");
}

statement_outcome roll_back(statement_context& context) {
    context.m_database.roll_back(context.m_client);
    return completed("ROLLBACK");
}

statement_outcome discard_all(statement_context& context) {
    if (context.m_client.m_transaction.m_open) {
        return error_outcome("25001", "DISCARD ALL cannot run inside a transaction block");
    }
    if (context.m_database.m_owner_lock == &context.m_client) {
        context.m_database.m_owner_lock = nullptr;
    }
    return completed("DISCARD ALL");
}

bool is_streaming(const statement_context& context) {
    return context.m_database.streams_from(context.m_upstream_of(context.m_database));
}

statement_outcome status(statement_context& context) {
    const database& here = context.m_database;
    const std::uint32_t term =
        here.m_in_recovery && !is_streaming(context) ? here.applied_term() : here.durable_term();
    return rows({{here.m_in_recovery ? "t" : "f", std::to_string(term), format_lsn(here.applied_position()),
                  format_lsn(here.durable_position()), here.m_primary_conninfo}});
}

statement_outcome replica_positions(statement_context& context) {
    std::vector<std::vector<core::cell>> all;
    for (const database* replica : context.m_streaming_from(context.m_database)) {
        all.push_back({conninfo_value(replica->m_primary_conninfo, "application_name"),
                       format_lsn(replica->durable_position())});
    }
    return rows(std::move(all));
}

statement_outcome current_position(statement_context& context) {
    if (context.m_database.m_in_recovery) {
        return error_outcome("55000", "recovery is in progress");
    }
    return one_value(format_lsn(context.m_database.durable_position()));
}

statement_outcome end_earlier_owners(statement_context& context) {
    const std::uint64_t epoch = std::strtoull(parameter(context, 0).c_str(), nullptr, 10);
    std::vector<backend*> earlier;
    for (const auto& [pid, client] : context.m_database.m_backends) {
        constexpr std::string_view prefix = "mangoquay/";
        const std::string& name = client->m_application_name;
        if (name.starts_with(prefix) && std::strtoull(name.c_str() + prefix.size(), nullptr, 10) < epoch &&
            client != &context.m_client) {
            earlier.push_back(client);
        }
    }
    std::vector<std::vector<core::cell>> all(earlier.size(), {core::cell("t")});
    for (backend* client : earlier) {
        client->terminate();
    }
    return rows(std::move(all));
}

// Returns the Raft term and the attempt in the application name of a failover step's session; nullopt for
// other sessions.
std::optional<std::pair<std::uint64_t, std::uint64_t>> parse_step(const std::string& name) {
    constexpr std::string_view prefix = "mangoquay-control/";
    if (!name.starts_with(prefix)) {
        return std::nullopt;
    }
    char* rest = nullptr;
    const std::uint64_t term = std::strtoull(name.c_str() + prefix.size(), &rest, 10);
    return std::pair{term, *rest == '/' ? std::strtoull(rest + 1, nullptr, 10) : 0};
}

statement_outcome end_earlier_steps(statement_context& context) {
    const std::pair current_step{std::uint64_t{std::strtoull(parameter(context, 0).c_str(), nullptr, 10)},
                                 std::uint64_t{std::strtoull(parameter(context, 1).c_str(), nullptr, 10)}};
    std::vector<backend*> earlier;
    for (const auto& [pid, client] : context.m_database.m_backends) {
        const auto step = parse_step(client->m_application_name);
        if (step && *step < current_step && client != &context.m_client) {
            earlier.push_back(client);
        }
    }
    std::vector<std::vector<core::cell>> all(earlier.size(), {core::cell("t")});
    for (backend* client : earlier) {
        client->terminate();
    }
    return rows(std::move(all));
}

statement_outcome end_session(statement_context& context) {
    const auto found = context.m_database.m_backends.find(std::atoi(parameter(context, 0).c_str()));
    if (found == context.m_database.m_backends.end() ||
        !found->second->m_application_name.starts_with("mangoquay/") || found->second == &context.m_client) {
        return rows({});
    }
    found->second->terminate();
    return one_value("t");
}

statement_outcome try_owner_lock(statement_context& context) {
    backend*& holder = context.m_database.m_owner_lock;
    if (holder == nullptr) {
        holder = &context.m_client;
    }
    return one_value(holder == &context.m_client ? "t" : "f");
}

statement_outcome stop_following(statement_context& context) {
    context.m_database.m_pending_conninfo = "";
    return completed("ALTER SYSTEM");
}

statement_outcome follow(statement_context& context) {
    std::string quoted = context.m_sql.substr(std::string_view(sql::follow_prefix).size());
    if (quoted.size() < 2 || quoted.front() != '\'' || quoted.back() != '\'') {
        return error_outcome("42601", "syntax error in primary_conninfo");
    }
    std::string conninfo;
    for (std::size_t index = 1; index + 1 < quoted.size(); ++index) {
        conninfo.push_back(quoted[index]);
        index += quoted[index] == '\'' ? 1 : 0; // Two quotes in a literal represent one.
    }
    context.m_database.m_pending_conninfo = conninfo;
    return completed("ALTER SYSTEM");
}

statement_outcome reload(statement_context& context) {
    if (context.m_database.m_pending_conninfo) {
        context.m_database.m_primary_conninfo = *context.m_database.m_pending_conninfo;
        context.m_database.m_pending_conninfo.reset();
    }
    return one_value("t");
}

statement_outcome promote(statement_context& context) {
    if (!context.m_database.m_in_recovery) {
        return error_outcome("55000", "recovery is not in progress");
    }
    context.m_database.promote(context.m_now);
    return one_value("t");
}

struct known_statement {
    statement_outcome (*m_run)(statement_context&);
    bool m_is_caller_statement = false;
    std::vector<std::string> m_columns;
    std::size_t m_parameters = 0;
};

const std::unordered_map<std::string, known_statement>& known_statements() {
    static const std::unordered_map<std::string, known_statement> known = {
        {"INSERT INTO entries (id, value) VALUES ($1, $2)", {insert_entry, true, {}, 2}},
        {"UPDATE entries SET value = $2 WHERE id = $1", {update_entry, true, {}, 2}},
        {"SELECT id, value FROM entries WHERE id = $1", {read_entry, true, {"id", "value"}, 1}},
        {"SELECT id, value FROM entries ORDER BY id", {read_entries, true, {"id", "value"}, 0}},
        {"SELECT count(*) FROM entries", {count_entries, true, {"count"}, 0}},
        {"SELECT pg_sleep($1)", {[](statement_context&) { return one_value(""); }, true, {"pg_sleep"}, 1}},
        {sql::begin, {[](statement_context& context) { return begin(context, false); }, false, {}, 0}},
        {sql::begin_read_only,
         {[](statement_context& context) { return begin(context, true); }, false, {}, 0}},
        {sql::commit, {commit, false, {}, 0}},
        {sql::rollback, {roll_back, false, {}, 0}},
        {sql::discard_session_state, {discard_all, false, {}, 0}},
        {sql::status, {status, false, {"pg_is_in_recovery", "case", "case", "case", "current_setting"}, 0}},
        {sql::replica_positions, {replica_positions, false, {"application_name", "flush_lsn"}, 0}},
        {sql::current_position, {current_position, false, {"pg_current_wal_insert_lsn"}, 0}},
        {sql::end_earlier_owners, {end_earlier_owners, false, {"pg_terminate_backend"}, 1}},
        {sql::end_earlier_steps, {end_earlier_steps, false, {"pg_terminate_backend"}, 2}},
        {sql::end_session, {end_session, false, {"pg_terminate_backend"}, 1}},
        {sql::try_owner_lock, {try_owner_lock, false, {"pg_try_advisory_lock"}, 0}},
        {sql::stop_following, {stop_following, false, {}, 0}},
        {sql::reload_configuration, {reload, false, {"pg_reload_conf"}, 0}},
        {sql::count_wal_receivers,
         {[](statement_context& context) { return one_value(is_streaming(context) ? "1" : "0"); },
          false,
          {"count"},
          0}},
        {sql::promote, {promote, false, {"pg_promote"}, 0}},
        {sql::create_outcomes, {create_outcomes, false, {}, 0}},
        {sql::claim_outcome, {claim_outcome, false, {}, 1}},
        {sql::read_outcome, {read_outcome, false, {"outcome"}, 1}},
        {sql::record_outcome, {record_outcome, false, {}, 2}},
    };
    return known;
}

const known_statement* find_known_statement(const std::string& text) {
    static const known_statement follow_statement{follow, false, {}, 0};
    const auto found = known_statements().find(text);
    if (found != known_statements().end()) {
        return &found->second;
    }
    return text.starts_with(sql::follow_prefix) ? &follow_statement : nullptr;
}

} // namespace

statement_description describe_statement(const std::string& sql) {
    const known_statement* known = find_known_statement(sql);
    return known == nullptr ? statement_description{}
                            : statement_description{true, known->m_is_caller_statement, known->m_columns,
                                                    known->m_parameters};
}

statement_outcome run_statement(statement_context& context) {
    const known_statement* known = find_known_statement(context.m_sql);
    if (known == nullptr) {
        return error_outcome("42601", "statement not supported by the stand-in: " + context.m_sql);
    }
    if (context.m_parameters.size() != known->m_parameters) {
        return error_outcome("08P01", "wrong number of parameters");
    }
    const bool ends = known->m_run == commit || known->m_run == roll_back;
    if (context.m_client.m_transaction.m_failed && !ends) {
        return error_outcome(
            "25P02", "current transaction is aborted, commands ignored until end of transaction block");
    }
    return known->m_run(context);
}

std::string trimmed(std::string sql) {
    sql.erase(sql.find_last_not_of("; \n\t") + 1);
    return sql;
}

std::string format_lsn(std::uint64_t position) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%X/%X", static_cast<unsigned>(position >> 32U),
                  static_cast<unsigned>(position & 0xffffffffU));
    return text.data();
}

std::string conninfo_value(const std::string& conninfo, const std::string& name) {
    const std::size_t at = (" " + conninfo).find(" " + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    std::size_t start = at + name.size() + 1;
    const bool quoted = start < conninfo.size() && conninfo[start] == '\'';
    start += quoted ? 1 : 0;
    const std::size_t end = conninfo.find(quoted ? '\'' : ' ', start);
    return conninfo.substr(start, end == std::string::npos ? end : end - start);
}

} // namespace mangoquay::standin
