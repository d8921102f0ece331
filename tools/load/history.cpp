// The history check.
#include "history.h"

#include <charconv>

namespace mangoquay::load {

std::string history::value_of(const std::string& row, std::uint64_t number) {
    return row + ":" + std::to_string(number);
}

std::optional<std::uint64_t> history::number_in(const std::string& row, const std::string& value) {
    const std::string prefix = row + ":";
    std::uint64_t number = 0;
    if (!value.starts_with(prefix)) {
        return std::nullopt;
    }
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data() + prefix.size(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

void history::report(std::uint64_t& count, const std::string& what) {
    ++count;
    if (m_violations.m_first.empty()) {
        m_violations.m_first = what;
    }
}

void history::write_ended(const std::string& row, std::uint64_t number, core::verdict verdict) {
    row_state& state = m_rows[row];
    if (verdict == core::verdict::not_run) {
        state.m_not_run.insert(number);
    } else if (verdict == core::verdict::may_have_run) {
        state.m_unknown.insert(number);
    } else if (!state.m_acknowledged || *state.m_acknowledged < number) {
        state.m_acknowledged = number;
    }
}

void history::duplicate_reported(const std::string& row, bool sent_before) {
    if (!sent_before) {
        report(m_violations.m_doubled, "row " + row + " existed although it was sent once");
    }
}

void history::update_found_no_row(const std::string& row) {
    if (m_rows[row].m_acknowledged) {
        report(m_violations.m_acknowledged_lost, "an update found no row " + row);
    }
}

void history::session_read(const std::string& row, std::uint64_t least,
                           const std::optional<std::string>& value) {
    if (!value) {
        report(m_violations.m_stale_session_reads, "session read of " + row + " found no row");
        return;
    }
    const auto number = number_in(row, *value);
    if (!number) {
        report(m_violations.m_foreign_answers, "session read of " + row + " got " + *value);
    } else if (*number < least && !m_rows[row].m_unknown.contains(*number)) {
        report(m_violations.m_stale_session_reads,
               "session read of " + row + " after write " + std::to_string(least) + " got " + *value);
    }
}

void history::read(const std::string& row, const std::optional<std::string>& value) {
    if (value && !number_in(row, *value)) {
        report(m_violations.m_foreign_answers, "read of " + row + " got " + *value);
    }
}

void history::check_all(const row_values& present) {
    for (const auto& [row, state] : m_rows) {
        const auto found = present.find(row);
        if (found == present.end()) {
            if (state.m_acknowledged) {
                report(m_violations.m_acknowledged_lost, "acknowledged row " + row + " is missing");
            }
            continue;
        }
        const auto number = number_in(row, found->second);
        if (!number) {
            report(m_violations.m_foreign_answers, "row " + row + " holds " + found->second);
        } else if (state.m_unknown.contains(*number)) {
            continue;
        } else if (state.m_not_run.contains(*number)) {
            report(m_violations.m_not_run_ran, "row " + row + " holds the refused " + found->second);
        } else if (state.m_acknowledged && *number < *state.m_acknowledged) {
            report(m_violations.m_acknowledged_lost,
                   "row " + row + " holds " + found->second + " after an acknowledged later write");
        }
    }
}

} // namespace mangoquay::load
