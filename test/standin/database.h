// The state of one database of the stand-in and its replication, without sockets.
//
// The write-ahead log is a list of shared records, so "is a prefix of" is a comparison of pointers. Owns:
// tables, log, row locks. Called on the stand-in's loop thread only.
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

// Without a value the change creates the table (m_id is empty then).
using change_set = std::map<row_key, std::optional<std::string>>;

struct wal_record {
    std::uint32_t m_term = 1;
    std::uint64_t m_end = 0; // log position behind this record
    core::time_point m_committed_at;
    change_set m_changes; // empty: the start of a term
};

struct transaction {
    bool m_open = false;     // BEGIN was run
    bool m_implicit = false; // a statement ran outside BEGIN; ends at Sync
    bool m_failed = false;
    bool m_read_only = false;
    change_set m_changes;
};

// A client session as the database sees it.
class backend {
public:
    backend() = default;
    virtual ~backend() = default;
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;
    backend(backend&&) = delete;
    backend& operator=(backend&&) = delete;

    virtual void terminate() = 0;
    // A row lock was released; a waiting statement tries again.
    virtual void on_lock_released() = 0;

    std::int32_t m_pid = 0;
    std::string m_application_name;
    std::string m_source; // IP number of the client
    transaction m_transaction;
};

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
    bool m_cut = false; // from all other databases
    std::set<std::string> m_cut_databases;
    std::set<std::string> m_cut_clients; // IP number, or the last part of an application name
    bool m_drop_next_answer = false;     // of the next commit that changes something
    bool m_truncate_next_answer = false; // of the next statement of a caller that returns rows
};

class database {
public:
    explicit database(endpoint_layout endpoint);

    [[nodiscard]] std::uint64_t durable_position() const { return position(m_log.size()); }
    [[nodiscard]] std::uint64_t applied_position() const { return position(m_applied); }
    [[nodiscard]] std::uint32_t applied_term() const { return term(m_applied); }
    [[nodiscard]] std::uint32_t durable_term() const { return term(m_log.size()); }
    [[nodiscard]] bool reachable_from(const database& other) const;
    [[nodiscard]] bool cut_from(const backend& client) const;
    [[nodiscard]] const std::string* find(const transaction& within, const row_key& key) const;
    [[nodiscard]] bool has_table(const transaction& within, const std::string& table) const;

    // False: another transaction holds the lock and the statement has to wait.
    bool lock(backend& holder, const row_key& key);
    // Ends the transaction. Returns whether something was written.
    bool commit(backend& holder, core::time_point now);
    void roll_back(backend& holder);

    // Takes what is due from `upstream` and applies what is due. Returns when more will be due.
    std::optional<core::time_point> advance(const database* upstream, core::time_point now);
    // A replica whose log is not a prefix of the upstream's has a diverged tail and cannot stream.
    [[nodiscard]] bool streams_from(const database* upstream) const;
    void promote(core::time_point now);
    // Like pg_rewind: discards the diverged tail and becomes a replica.
    void rewind_to(const database& source);
    // Unfinished transactions and the replay position are lost; the log is not.
    void crash();

    endpoint_layout m_layout;
    bool m_in_recovery = true;
    std::string m_primary_conninfo;
    std::optional<std::string> m_pending_conninfo; // set but not yet reloaded
    backend* m_owner_lock = nullptr;
    std::map<std::int32_t, backend*> m_backends;
    usage m_usage;
    fault_state m_faults;
    std::map<std::string, std::map<std::string, std::string>> m_tables; // as applied

private:
    [[nodiscard]] std::uint64_t position(std::size_t records) const;
    [[nodiscard]] std::uint32_t term(std::size_t records) const;
    void apply(const wal_record& record);
    void append(std::uint32_t term, change_set changes, core::time_point now);
    void release_locks(backend& holder);

    std::vector<std::shared_ptr<const wal_record>> m_log; // all durable
    std::size_t m_applied = 0;
    std::map<row_key, backend*> m_locks;
};

} // namespace mangoquay::standin
