// Customers of the soak's documents: their limits, which never change, and their keys, which the operator
// withdraws and replaces during the run. Without customers, all functions answer as if there were none.
#pragma once

#include "core/ids.h"
#include "soak/run_record.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace mangoquay::soak {

struct customer_limit {
    core::customer_name m_name;
    double m_rate_per_s = 0.0;
    double m_burst = 0.0;

    // Operations that may reach databases in a window, with the tolerance of the settings.
    [[nodiscard]] double max_operations(milliseconds window) const;
};

// A key belongs to one customer for the whole run.
struct known_key {
    std::string m_key;
    core::customer_name m_customer;
    std::optional<steady_time> m_acknowledged{};    // Of the document that added it.
    std::optional<steady_time> m_withdrawal_sent{}; // Of the document that removed it.
    std::optional<steady_time> m_withdrawn{};       // When that document was acknowledged.
};

class customer_history {
public:
    explicit customer_history(bool enabled);

    [[nodiscard]] bool enabled() const { return m_enabled; }

    // The operator. draw_change() prepares the keys of the next document.
    void draw_change(std::mt19937_64& random);
    [[nodiscard]] nlohmann::json tenants() const;
    // All documents so far, because a later one repeats the keys of an earlier one.
    void mark_acknowledged();

    // Callers. Most keys are valid, some were withdrawn or are unknown.
    std::string draw_key(std::mt19937_64& random) const;
    [[nodiscard]] std::string probe_key() const;

    // Judges. Nothing for a key that no document had.
    [[nodiscard]] std::optional<known_key> find(const std::string& key) const;
    [[nodiscard]] std::optional<customer_limit> limit_of(const core::customer_name& customer) const;
    [[nodiscard]] std::string summary() const;

private:
    const bool m_enabled;
    std::vector<customer_limit> m_limits;
    mutable std::mutex m_mutex;
    std::vector<known_key> m_keys; // Guarded by m_mutex.
};

} // namespace mangoquay::soak
