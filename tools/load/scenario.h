// Scenario of a load run, read from a JSON file.
#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::load {

enum class operation : std::uint8_t {
    insert,          // Inserts a new row.
    update_and_read, // Alternates a write of the client's own row and a read with its session token.
    read,            // Reads one of the rows written before the run.
    sleep,           // A read that takes m_sleep_s at the database.
};

struct rate_step {
    double m_from_s = 0;
    double m_per_s = 0;
};

// A stream of requests of one kind. Open loop (m_rates is not empty): requests arrive independently of the
// answers. Closed loop: each of m_client_count clients waits for its answer, then for m_think_time, then
// sends again.
struct stream {
    std::string m_name;
    operation m_operation = operation::insert;
    std::vector<rate_step> m_rates;
    std::uint32_t m_client_count = 0;
    core::milliseconds m_think_time{0};
    std::string m_work_class; // "short", "long" or empty.
    std::optional<std::int64_t> m_max_age_ms;
    std::int64_t m_deadline_ms = 5000;
    double m_sleep_s = 0;
    bool m_not_repeatable = false;
    bool m_idempotency_key = false;
    std::string m_business_day;
    // Requests known not to have run are resent, and those with an idempotency key also when they may have
    // run.
    std::uint32_t m_max_attempts = 1;
};

struct scenario {
    std::string m_name;
    std::string m_service;
    double m_duration_s = 10;
    // Part of the run whose goodput is reported separately; none if both are 0.
    double m_peak_from_s = 0;
    double m_peak_to_s = 0;
    std::uint32_t m_setup_row_count = 0;
    std::vector<stream> m_streams;
};

// Fails with the parser's message if the text is not a valid scenario.
core::result<scenario> parse_scenario(const std::string& text);

} // namespace mangoquay::load
