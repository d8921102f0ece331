// Compares with the history of customers.
#include "soak/customer_judge.h"

#include "soak/platform_settings.h"

#include <algorithm>
#include <chrono>

namespace mangoquay::soak {
namespace {

// A document is in effect on every host this long after it was acknowledged.
constexpr milliseconds apply_limit{4000};
// While the control cell is disturbed.
constexpr milliseconds longer_apply_limit{4000 + 12000};
// A statement that was sent in time waits this long in the database's queue.
constexpr milliseconds longest_queue{300};
constexpr const char* name_of_the_system = "mangoquay";
constexpr milliseconds window{static_cast<int>(quota_window_s * 1000)};

} // namespace

void customer_judge::check_startup(const std::string& endpoint, const std::string& name) const {
    if (name != name_of_the_system && !m_history.limit_of(core::customer_name(name))) {
        m_violations.add({rule::customer, endpoint, "a connection is opened under the name " + name});
    }
}

void customer_judge::check_run(const used_key& caller, const std::string& operation,
                               const std::string& name) {
    if (!m_history.enabled()) {
        return;
    }
    const auto key = m_history.find(caller.m_key);
    if (!key) {
        m_violations.add({rule::customer, caller.m_id, "a statement of an unknown key is run"});
        return;
    }
    if (name != key->m_customer.value()) {
        m_violations.add(
            {rule::customer, caller.m_id,
             "a statement of " + key->m_customer.value() + " is run on a connection of " + name});
    }
    check_withdrawn({caller.m_entry, caller.m_key, caller.m_id, caller.m_time - longest_queue},
                    "a statement is run");
    count_operation(key->m_customer, caller, operation);
}

void customer_judge::check_accepted(const used_key& caller) const {
    if (!m_history.enabled()) {
        return;
    }
    if (!m_history.find(caller.m_key)) {
        m_violations.add({rule::customer, caller.m_id, caller.m_entry.value() + " accepts an unknown key"});
        return;
    }
    check_withdrawn(caller, "a session is accepted");
}

void customer_judge::check_withdrawn(const used_key& caller, const std::string& what) const {
    const auto key = m_history.find(caller.m_key);
    if (!key || !key->m_withdrawn || *key->m_withdrawn + apply_limit >= caller.m_time) {
        return;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(caller.m_time - *key->m_withdrawn);
    add_or_excuse(caller, age, what + " " + std::to_string(age.count()) + " ms after its key was withdrawn");
}

void customer_judge::add_or_excuse(const used_key& caller, milliseconds late, const std::string& what) const {
    const std::string text = caller.m_entry.value() + " id=" + caller.m_id + " " + what;
    if (m_disturbances.entry_was_disturbed(caller.m_entry, caller.m_time)) {
        m_violations.add_excused("the soak disturbed the entry host of a customer", text);
    } else if (m_disturbances.control_was_disturbed(caller.m_time) && late < longer_apply_limit) {
        m_violations.add_excused("the soak disturbed the control cell of a customer", text);
    } else {
        m_violations.add({rule::customer, caller.m_id, text});
    }
}

void customer_judge::check_refused(const used_key& caller) {
    const auto key = m_history.find(caller.m_key);
    {
        const std::lock_guard lock(m_mutex);
        ++m_refused;
    }
    if (!m_history.enabled()) {
        m_violations.add({rule::customer, caller.m_id, "a key is refused although there are no customers"});
        return;
    }
    if (!key || key->m_withdrawal_sent || !key->m_acknowledged ||
        *key->m_acknowledged + apply_limit >= caller.m_time) {
        return;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(caller.m_time - *key->m_acknowledged);
    add_or_excuse(caller, age, "a valid key of " + key->m_customer.value() + " is refused");
}

void customer_judge::count_operation(const core::customer_name& customer, const used_key& caller,
                                     const std::string& operation) {
    const auto limit = m_history.limit_of(customer);
    const std::lock_guard lock(m_mutex);
    if (!limit || !m_operations.insert(operation).second) {
        return;
    }
    auto& recent = m_recent[customer];
    recent.push_back(steady_clock::now());
    while (recent.front() + window < recent.back()) {
        recent.pop_front();
    }
    m_most[customer] = std::max(m_most[customer], recent.size());
    if (static_cast<double>(recent.size()) > limit->max_operations(window)) {
        m_violations.add({rule::limit, caller.m_id,
                          std::to_string(recent.size()) + " operations of " + customer.value() +
                              " in a window, at most " + std::to_string(limit->max_operations(window)) +
                              " are allowed"});
    }
}

std::string customer_judge::summary() const {
    const std::lock_guard lock(m_mutex);
    std::string text = m_history.summary() + " refused-keys=" + std::to_string(m_refused) +
                       " operations=" + std::to_string(m_operations.size()) + " most-in-window=";
    for (const auto& [customer, count] : m_most) {
        text += customer.value() + ":" + std::to_string(count) + ",";
    }
    return text;
}

} // namespace mangoquay::soak
