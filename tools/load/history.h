// Checks the outcomes reported to callers against the rows that the databases hold.
//
// Each row is written by one client, one write at a time, with an increasing number as its value, so a value
// identifies the write it comes from. State: the outcome of each write, per row. Deterministic; uses no
// clock.
#pragma once

#include "core/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace mangoquay::load {

using row_values = std::map<std::string, std::string>;

struct violation_counts {
    // Acknowledged writes that are missing, with no later write in their place.
    std::uint64_t m_acknowledged_lost = 0;
    std::uint64_t m_doubled = 0;             // Inserts that were sent once and found their row existing.
    std::uint64_t m_stale_session_reads = 0; // Session reads older than an acknowledged write.
    std::uint64_t m_not_run_ran = 0;         // Writes reported as not run whose value is stored.
    std::uint64_t m_foreign_answers = 0;     // Answers that belong to another request.
    std::string m_first_message;             // Message about the first violation, for a person to read.

    [[nodiscard]] std::uint64_t total() const {
        return m_acknowledged_lost + m_doubled + m_stale_session_reads + m_not_run_ran + m_foreign_answers;
    }
};

class history {
public:
    // Value that the write `number` stores in the row.
    static std::string value_of(const std::string& row, std::uint64_t number);

    // Records the reported outcome of a write.
    void record_write(const std::string& row, std::uint64_t number, core::verdict verdict);
    // The database reported that the inserted row exists. `sent_before`: an earlier attempt may have run.
    void record_duplicate_error(const std::string& row, bool sent_before);
    // An update of the row ran, but affected no row.
    void record_update_without_row(const std::string& row);
    // Checks a read that carried the session token of the row's client and was sent after the write
    // `min_number` had been acknowledged. `value` is empty if no row was found.
    void check_session_read(const std::string& row, std::uint64_t min_number,
                            const std::optional<std::string>& value);
    // Checks a read without a session token: the value, if any, must belong to the row.
    void check_read(const std::string& row, const std::optional<std::string>& value);
    // Checks `stored`, all rows of all groups as read after the run, against the recorded outcomes.
    void check_stored_rows(const row_values& stored);

    [[nodiscard]] const violation_counts& violations() const { return m_violations; }
    [[nodiscard]] std::size_t row_count() const { return m_rows.size(); }

private:
    struct row_state {
        std::optional<std::uint64_t> m_acknowledged; // Highest acknowledged write number.
        std::set<std::uint64_t> m_not_run;
        // Writes that may have run. Such a write may take effect even after a later one, so its value is
        // never counted as stale.
        std::set<std::uint64_t> m_unknown;
    };

    // Increments `count` and keeps the message of the first violation.
    void record_violation(std::uint64_t& count, const std::string& message);
    // Returns the write number in `value`, or nothing if the value belongs to another row.
    [[nodiscard]] static std::optional<std::uint64_t> parse_write_number(const std::string& row,
                                                                         const std::string& value);

    std::map<std::string, row_state> m_rows;
    violation_counts m_violations;
};

} // namespace mangoquay::load
