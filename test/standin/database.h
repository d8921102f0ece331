// The state of one database of the stand-in and its replication, without sockets.
//
// The write-ahead log is a list of shared records, so whether one log is a prefix of another is decided by
// comparing pointers. Owns the tables, the log and the row locks. All members are called on the thread of the
// stand-in's event loop.
#pragma once

#include "layout.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mangoquay::standin {

struct row_key {
    std::string m_table;
    std::string m_id;

    friend auto operator<=>(const row_key&, const row_key&) = default;
};

// The values of the changed rows. An entry without a value creates the table m_table; its m_id is empty.
using change_set = std::map<row_key, std::optional<std::string>>;

struct wal_record {
    std::uint32_t m_term = 1;
    std::uint64_t m_end = 0; // Log position of the first byte after this record.
    core::time_point m_committed_at;
    change_set m_changes; // Empty in the first record of a term.
};

struct transaction {
    bool m_open = false;     // BEGIN has run.
    bool m_implicit = false; // A statement ran without BEGIN; the transaction ends at the next Sync.
    bool m_failed = false;
    bool m_read_only = false;
    change_set m_changes;
};

// The database's view of one client session, as a PostgreSQL backend process.
class backend {
public:
    backend() = default;
    virtual ~backend() = default;
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;
    backend(backend&&) = delete;
    backend& operator=(backend&&) = delete;

    // Ends the session with the error that pg_terminate_backend() causes.
    virtual void terminate() = 0;
    // Called after row locks were released. A statement that waits for a lock is tried again.
    virtual void on_lock_released() = 0;

    std::int32_t m_pid = 0;
    std::string m_application_name;
    std::string m_source; // IP address of the client.
    transaction m_transaction;
};

// Counters of connections and callers' statements. The peaks are the highest values since the last
// reset_usage.
struct usage {
    std::uint32_t m_running_statements = 0;
    std::uint32_t m_peak_running_statements = 0;
    std::uint32_t m_peak_connections = 0;
    std::uint64_t m_connections_total = 0;
    std::uint64_t m_connections_refused = 0;
    std::uint64_t m_caller_statements = 0;
};

struct fault_state {
    bool m_crashed = false;
    bool m_frozen = false;
    bool m_cut = false; // Replication with every other database is interrupted.
    std::set<std::string> m_cut_databases;
    // Clients that receive no answers, by IP address, application name or the last part of it.
    std::set<std::string> m_cut_clients;
    // The next commit that changes data closes the connection without an answer.
    bool m_drop_next_answer = false;
    // The next caller's statement that returns rows is answered in part.
    bool m_truncate_next_answer = false;
};

class database {
public:
    explicit database(endpoint_layout endpoint);

    // The positions are ends of log records; the terms are those of the last applied and last durable record.
    [[nodiscard]] std::uint64_t durable_position() const { return position(m_log.size()); }
    [[nodiscard]] std::uint64_t applied_position() const { return position(m_applied); }
    [[nodiscard]] std::uint32_t applied_term() const { return term(m_applied); }
    [[nodiscard]] std::uint32_t durable_term() const { return term(m_log.size()); }
    // Returns whether both databases run, neither is frozen and no cut lies between them.
    [[nodiscard]] bool reachable_from(const database& other) const;
    // Returns whether a cut prevents `client` from receiving answers.
    [[nodiscard]] bool cut_from(const backend& client) const;
    // Returns the value of a row as the transaction sees it, or null if there is no such row.
    [[nodiscard]] const std::string* find_row(const transaction& within, const row_key& key) const;
    [[nodiscard]] bool has_table(const transaction& within, const std::string& table) const;

    // Acquires a row lock. Returns false if another transaction holds it; the statement has to wait.
    bool lock_row(backend& holder, const row_key& key);
    // Ends the transaction. Returns whether it changed data.
    bool commit(backend& holder, core::time_point now);
    void roll_back(backend& holder);

    // Receives from `upstream` and applies the records whose delay has passed by `now`. Returns when the next
    // record is due, if any.
    std::optional<core::time_point> advance(const database* upstream, core::time_point now);
    // Returns whether this replica can stream from `upstream`. A replica whose log is not a prefix of the
    // upstream's log has a diverged tail and cannot.
    [[nodiscard]] bool streams_from(const database* upstream) const;
    // Applies the rest of the log and starts a new term as primary.
    void promote(core::time_point now);
    // Discards the diverged tail and becomes a replica, as with pg_rewind.
    void rewind_to(const database& source);
    // Releases all locks and loses the configuration not yet reloaded. The log and the applied rows are kept;
    // open transactions end when their sessions are closed.
    void crash();

    endpoint_layout m_layout;
    bool m_in_recovery = true;
    std::string m_primary_conninfo;
    std::optional<std::string> m_pending_conninfo; // Set by ALTER SYSTEM and not yet reloaded.
    backend* m_owner_lock = nullptr;             // Session that holds the owner's advisory lock; null: none.
    std::map<std::int32_t, backend*> m_backends; // Client sessions by process id.
    usage m_usage;
    fault_state m_faults;
    std::map<std::string, std::map<std::string, std::string>> m_tables; // Rows as of m_applied.

private:
    [[nodiscard]] std::uint64_t position(std::size_t records) const;
    [[nodiscard]] std::uint32_t term(std::size_t records) const;
    void apply(const wal_record& record);
    void append(std::uint32_t term, change_set changes, core::time_point now);
    void release_locks(backend& holder);

    std::vector<std::shared_ptr<const wal_record>> m_log; // All records are durable.
    std::size_t m_applied = 0;                            // Number of applied records.
    std::map<row_key, backend*> m_locks;
};

} // namespace mangoquay::standin
