// Checks what callers were told against what the databases hold.
//
// Every row is written by one client, one write after another, with a rising number as its value, so a value
// says which write it is from. State: per row, the outcome of each write. Deterministic; no clock.
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
    std::uint64_t m_acknowledged_lost = 0; // acknowledged, and neither it nor a later write is there
    std::uint64_t m_doubled = 0;           // a row that was sent once existed already
    std::uint64_t m_stale_session_reads = 0;
    std::uint64_t m_not_run_ran = 0;     // reported as not run, and it is there
    std::uint64_t m_foreign_answers = 0; // an answer to another request
    std::string m_first;                 // for a person: the first one seen

    [[nodiscard]] std::uint64_t total() const {
        return m_acknowledged_lost + m_doubled + m_stale_session_reads + m_not_run_ran + m_foreign_answers;
    }
};

class history {
public:
    static std::string value_of(const std::string& row, std::uint64_t number);

    void write_ended(const std::string& row, std::uint64_t number, core::verdict verdict);
    // The database said that the row exists. `sent_before`: an earlier try may have run.
    void duplicate_reported(const std::string& row, bool sent_before);
    // An update of the row ran and found no row.
    void update_found_no_row(const std::string& row);
    // A read with the session token of the row's client, sent after the write `least` was acknowledged.
    void session_read(const std::string& row, std::uint64_t least, const std::optional<std::string>& value);
    // A read without a token: only that the value belongs to the row.
    void read(const std::string& row, const std::optional<std::string>& value);
    // `present`: all rows of all groups, read after the run.
    void check_all(const row_values& present);

    [[nodiscard]] const violation_counts& violations() const { return m_violations; }
    [[nodiscard]] std::size_t rows() const { return m_rows.size(); }

private:
    struct row_state {
        std::optional<std::uint64_t> m_acknowledged; // highest
        std::set<std::uint64_t> m_not_run;
        // May have run; such a write may also take effect after a later one, so its value is never stale.
        std::set<std::uint64_t> m_unknown;
    };

    void report(std::uint64_t& count, const std::string& what);
    [[nodiscard]] static std::optional<std::uint64_t> number_in(const std::string& row,
                                                                const std::string& value);

    std::map<std::string, row_state> m_rows;
    violation_counts m_violations;
};

} // namespace mangoquay::load
