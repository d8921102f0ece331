// Compares recorded write outcomes with values read.
#include "history.h"

#include <charconv>

namespace mangoquay::load {

std::string history::value_of(const std::string& row, std::uint64_t number) {
    return row + ":" + std::to_string(number);
}

std::optional<std::uint64_t> history::parse_write_number(const std::string& row, const std::string& value) {
    const std::string prefix = row + ":";
    std::uint64_t number = 0;
    if (!value.starts_with(prefix)) {
        return std::nullopt;
    }
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data() + prefix.size(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

void history::record_violation(std::uint64_t& count, const std::string& message) {
    ++count;
    if (m_violations.m_first_message.empty()) {
        m_violations.m_first_message = message;
    }
}

void history::record_write(const std::string& row, std::uint64_t number, core::verdict verdict) {
    row_state& state = m_rows[row];
    if (verdict == core::verdict::not_run) {
        state.m_not_run.insert(number);
    } else if (verdict == core::verdict::may_have_run) {
        state.m_unknown.insert(number);
    } else if (!state.m_acknowledged || *state.m_acknowledged < number) {
        state.m_acknowledged = number;
    }
}

void history::record_duplicate_error(const std::string& row, bool sent_before) {
    if (!sent_before) {
        record_violation(m_violations.m_doubled,
                         "row " + row + " already existed although its insert was sent once");
    }
}

void history::record_update_without_row(const std::string& row) {
    if (m_rows[row].m_acknowledged) {
        record_violation(m_violations.m_acknowledged_lost,
                         "an update affected no rows; missing acknowledged row " + row);
    }
}

void history::check_session_read(const std::string& row, std::uint64_t min_number,
                                 const std::optional<std::string>& value) {
    if (!value) {
        record_violation(m_violations.m_stale_session_reads, "session read of " + row + " found no row");
        return;
    }
    const auto number = parse_write_number(row, *value);
    if (!number) {
        record_violation(m_violations.m_foreign_answers, "session read of " + row + " got " + *value);
    } else if (*number < min_number && !m_rows[row].m_unknown.contains(*number)) {
        record_violation(m_violations.m_stale_session_reads, "session read of " + row + " after write " +
                                                                 std::to_string(min_number) + " got " +
                                                                 *value);
    }
}

void history::check_read(const std::string& row, const std::optional<std::string>& value) {
    if (value && !parse_write_number(row, *value)) {
        record_violation(m_violations.m_foreign_answers, "read of " + row + " got " + *value);
    }
}

void history::check_stored_rows(const row_values& stored) {
    for (const auto& [row, state] : m_rows) {
        const auto found = stored.find(row);
        if (found == stored.end()) {
            if (state.m_acknowledged) {
                record_violation(m_violations.m_acknowledged_lost, "acknowledged row " + row + " is missing");
            }
            continue;
        }
        const auto number = parse_write_number(row, found->second);
        if (!number) {
            record_violation(m_violations.m_foreign_answers, "row " + row + " holds " + found->second);
        } else if (state.m_unknown.contains(*number)) {
            continue;
        } else if (state.m_not_run.contains(*number)) {
            record_violation(m_violations.m_not_run_ran,
                             "row " + row + " holds a value reported as not run: " + found->second);
        } else if (state.m_acknowledged && *number < *state.m_acknowledged) {
            record_violation(m_violations.m_acknowledged_lost,
                             "row " + row + " holds " + found->second +
                                 " although a later write was acknowledged");
        }
    }
}

} // namespace mangoquay::load
