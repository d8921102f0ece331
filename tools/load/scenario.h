// What a run of the load tool does, read from a JSON file.
#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::load {

enum class operation : std::uint8_t {
    insert,          // a new row
    update_and_read, // the client's own row in turn: a write, then a read with its session token
    read,            // one of the rows written before the run
    sleep,           // a read that takes m_sleep_s at the database
};

struct rate_step {
    double m_from_s = 0;
    double m_per_s = 0;
};

// One kind of work. Open loop: m_rates is not empty and requests arrive whatever the answers do. Closed loop:
// m_clients clients each wait for an answer, then m_think.
struct stream {
    std::string m_name;
    operation m_operation = operation::insert;
    std::vector<rate_step> m_rates;
    std::uint32_t m_clients = 0;
    core::milliseconds m_think{0};
    std::string m_class; // short, long or empty
    std::optional<std::int64_t> m_max_age_ms;
    std::int64_t m_deadline_ms = 5000;
    double m_sleep_s = 0;
    bool m_not_repeatable = false;
    bool m_idempotency_key = false;
    std::string m_business_day;
    std::uint32_t m_tries = 1; // resends what is known not to have run, and anything with an idempotency key
};

struct scenario {
    std::string m_name;
    std::string m_service;
    double m_duration_s = 10;
    // The part of the run whose goodput is given apart; empty when both are 0.
    double m_peak_from_s = 0;
    double m_peak_to_s = 0;
    std::uint32_t m_setup_rows = 0;
    std::vector<stream> m_streams;
};

core::result<scenario> parse_scenario(const std::string& text);

} // namespace mangoquay::load
