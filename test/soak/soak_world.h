// What all parts of a soak share.
#pragma once

#include "soak/configuration_history.h"
#include "soak/customer_judge.h"
#include "soak/hosts.h"
#include "soak/platform_service.h"
#include "soak/scheduling_watch.h"
#include "soak/statement_judge.h"

#include <atomic>
#include <random>

namespace mangoquay::soak {

// Uniform over [low, high].
inline int draw(std::mt19937_64& random, int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
}

struct soak_world {
    soak_world(std::uint64_t seed, const fleet_options& options, bool has_customers)
        : m_record(seed), m_violations(m_record), m_customers(has_customers),
          m_fleet(options, m_record, m_disturbances), m_scheduling(m_fleet),
          m_configuration_judge(
              m_history, m_disturbances, m_violations,
              [this](const core::entry_host_id& host) { return m_scheduling.describe(host); }),
          m_customer_judge(m_customers, m_disturbances, m_violations),
          m_judge(m_configuration_judge, m_customer_judge, m_disturbances, m_violations) {}

    // Unique over all callers.
    statement_id next_statement_id() {
        std::string text = std::to_string(++m_last_id);
        return statement_id("5c" + std::string(14 - text.size(), '0') + text);
    }
    transaction_number next_transaction() { return transaction_number(++m_last_transaction); }

    run_record m_record;
    violation_list m_violations;
    disturbance_log m_disturbances;
    configuration_history m_history;
    customer_history m_customers;
    host_fleet m_fleet;
    scheduling_watch m_scheduling;
    configuration_judge m_configuration_judge;
    customer_judge m_customer_judge;
    statement_judge m_judge;
    std::atomic<bool> m_stopped{false};
    std::vector<std::unique_ptr<platform_service>> m_services;

private:
    std::atomic<std::uint64_t> m_last_id{0};
    std::atomic<std::uint64_t> m_last_transaction{0};
};

} // namespace mangoquay::soak
