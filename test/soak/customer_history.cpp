// Draws and looks up customers and keys.
#include "soak/customer_history.h"

#include "soak/platform_settings.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace mangoquay::soak {
namespace {

constexpr const char* key_without_customers = "u3f1";
constexpr const char* unknown_key = "key-of-nobody";
constexpr const char* customer_of_probes = "probes";
// Callers of the soak run about 30 operations/s for each customer, so the second one is always at its limit.
constexpr std::array<double, 6> rates{1000.0, 8.0, 1000.0, 25.0, 1000.0, 1000.0};
constexpr double rate_of_probes = 1000.0;
constexpr int one_change_in = 3;

std::string key_of(const core::customer_name& customer, std::size_t number) {
    return "key-" + customer.value() + "-" + std::to_string(number);
}

} // namespace

double customer_limit::max_operations(milliseconds window) const {
    const double seconds = std::chrono::duration<double>(window).count();
    return (m_rate_per_s * seconds + m_burst) * (1.0 + quota_overage) + quota_slack;
}

customer_history::customer_history(bool enabled) : m_enabled(enabled) {
    if (!enabled) {
        return;
    }
    for (std::size_t number = 0; number < rates.size(); ++number) {
        m_limits.push_back(
            {core::customer_name("c" + std::to_string(number)), rates.at(number), rates.at(number)});
    }
    m_limits.push_back({core::customer_name(customer_of_probes), rate_of_probes, rate_of_probes});
    for (const customer_limit& limit : m_limits) {
        m_keys.push_back({key_of(limit.m_name, 0), limit.m_name});
    }
}

void customer_history::draw_change(std::mt19937_64& random) {
    const std::lock_guard lock(m_mutex);
    if (!m_enabled || random() % one_change_in != 0) {
        return;
    }
    const core::customer_name customer = m_limits.at(random() % rates.size()).m_name;
    for (known_key& key : m_keys) {
        if (key.m_customer == customer && key.m_acknowledged && !key.m_withdrawal_sent) {
            key.m_withdrawal_sent = steady_clock::now();
        }
    }
    m_keys.push_back({key_of(customer, m_keys.size()), customer});
}

nlohmann::json customer_history::tenants() const {
    const std::lock_guard lock(m_mutex);
    nlohmann::json all = nlohmann::json::array();
    for (const customer_limit& limit : m_limits) {
        nlohmann::json keys = nlohmann::json::array();
        for (const known_key& key : m_keys) {
            if (key.m_customer == limit.m_name && !key.m_withdrawal_sent) {
                keys.push_back(key.m_key);
            }
        }
        all.push_back({{"name", limit.m_name.value()},
                       {"api-keys", keys},
                       {"rate-per-s", limit.m_rate_per_s},
                       {"burst", limit.m_burst},
                       {"priority", 1}});
    }
    return all;
}

void customer_history::mark_acknowledged() {
    const std::lock_guard lock(m_mutex);
    const steady_time now = steady_clock::now();
    for (known_key& key : m_keys) {
        key.m_acknowledged = key.m_acknowledged ? key.m_acknowledged : now;
        if (key.m_withdrawal_sent && !key.m_withdrawn) {
            key.m_withdrawn = now;
        }
    }
}

std::string customer_history::draw_key(std::mt19937_64& random) const {
    if (!m_enabled) {
        return key_without_customers;
    }
    const std::lock_guard lock(m_mutex);
    constexpr std::uint64_t percent = 100;
    const std::uint64_t kind = random() % percent;
    if (kind < 3) {
        return unknown_key;
    }
    const bool withdrawn = kind < 8;
    std::vector<const known_key*> drawn;
    for (const known_key& key : m_keys) {
        if (key.m_customer.value() != customer_of_probes && key.m_acknowledged &&
            key.m_withdrawal_sent.has_value() == withdrawn) {
            drawn.push_back(&key);
        }
    }
    return drawn.empty() ? unknown_key : drawn.at(random() % drawn.size())->m_key;
}

std::string customer_history::probe_key() const {
    return m_enabled ? key_of(core::customer_name(customer_of_probes), 0) : key_without_customers;
}

std::optional<known_key> customer_history::find(const std::string& key) const {
    const std::lock_guard lock(m_mutex);
    const auto found = std::ranges::find(m_keys, key, &known_key::m_key);
    return found == m_keys.end() ? std::nullopt : std::optional(*found);
}

std::optional<customer_limit> customer_history::limit_of(const core::customer_name& customer) const {
    const auto found = std::ranges::find(m_limits, customer, &customer_limit::m_name);
    return found == m_limits.end() ? std::nullopt : std::optional(*found);
}

std::string customer_history::summary() const {
    const std::lock_guard lock(m_mutex);
    const auto withdrawn =
        std::ranges::count_if(m_keys, [](const known_key& key) { return key.m_withdrawn.has_value(); });
    return "customers=" + std::to_string(m_limits.size()) + " withdrawn-keys=" + std::to_string(withdrawn);
}

} // namespace mangoquay::soak
