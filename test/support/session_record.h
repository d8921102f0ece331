// What callers sent and what databases ran, and a check of the one against the other.
//
// May be used from any thread.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace mangoquay::test {

using value_map = std::map<std::string, std::string>;

// Between a prepared statement and the arguments with which it is executed. No text contains it.
inline constexpr char arguments_separator = '\n';

// A statement as its caller means it. Prepared names are replaced by what they stand for.
struct sent_statement {
    std::uint64_t m_transaction = 0; // Of the caller; 0: none.
    std::string m_text;
    value_map m_values;
    bool m_succeeded = false;
    bool m_promised_not_kept = false; // Refused with the promise that nothing of it is kept.
};

// A statement that a database has run.
struct run_statement {
    std::string m_id;
    std::string m_text;
    value_map m_values;
    std::uint64_t m_transaction = 0; // Of the database; 0: none.
};

struct made_commit {
    std::string m_id;                // Statement that caused it.
    std::uint64_t m_transaction = 0; // Of the database; 0: a single write.
    std::vector<std::string> m_writes;
};

class session_record {
public:
    // Returns the number of a new statement, transaction or other object.
    std::uint64_t next_number();
    void add_sent(const std::string& id, sent_statement statement);
    void add_outcome(const std::string& id, bool succeeded, bool promised_not_kept);
    void add_run(run_statement statement);
    void add_commit(made_commit commit);
    // A line that a database cannot read. Callers send none to a database.
    void add_rejected(const std::string& line);

    [[nodiscard]] bool has_run(const std::string& id) const;
    [[nodiscard]] std::size_t run_count() const;
    // Describes the first thing that a database ran or committed and that no caller asked for in that way.
    // Empty if there is none.
    [[nodiscard]] std::string find_violation() const;

private:
    [[nodiscard]] std::string check_run(const run_statement& ran) const;
    [[nodiscard]] std::string check_commit(const made_commit& commit) const;

    mutable std::mutex m_mutex;
    std::uint64_t m_last_number = 0;
    std::map<std::string, sent_statement> m_sent;
    std::vector<run_statement> m_runs;
    std::vector<made_commit> m_commits;
    std::string m_rejected; // The first rejected line, cut; empty if there is none.
    std::map<std::uint64_t, std::set<std::string>> m_members; // Statements of each database transaction.
};

} // namespace mangoquay::test
