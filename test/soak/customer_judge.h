// Checks that databases run work only for callers with a valid key, under the name of their customer and
// within its limit, and that hosts refuse no valid key.
#pragma once

#include "soak/customer_history.h"
#include "soak/disturbances.h"
#include "soak/violations.h"

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace mangoquay::soak {

// What a caller did with its key at an entry host.
struct used_key {
    core::entry_host_id m_entry;
    std::string m_key;
    std::string m_id; // Of the statement or session.
    steady_time m_time{};
};

class customer_judge {
public:
    customer_judge(const customer_history& history, const disturbance_log& disturbances,
                   violation_list& violations)
        : m_history(history), m_disturbances(disturbances), m_violations(violations) {}

    // A database accepts a connection under this name.
    void check_startup(const std::string& endpoint, const std::string& name) const;
    // A database runs a statement. `operation` is the same for all statements of a transaction and all
    // attempts of a statement; `name` is that of the database connection.
    void check_run(const used_key& caller, const std::string& operation, const std::string& name);
    void check_accepted(const used_key& caller) const;
    // The host answered NOAUTH.
    void check_refused(const used_key& caller);
    [[nodiscard]] std::string summary() const;

private:
    void check_withdrawn(const used_key& caller, const std::string& what) const;
    void add_or_excuse(const used_key& caller, milliseconds late, const std::string& what) const;
    void count_operation(const core::customer_name& customer, const used_key& caller,
                         const std::string& operation);

    const customer_history& m_history;
    const disturbance_log& m_disturbances;
    violation_list& m_violations;
    mutable std::mutex m_mutex; // Guards all members below.
    std::set<std::string> m_operations;
    std::map<core::customer_name, std::deque<steady_time>> m_recent; // Operations of the last window.
    std::map<core::customer_name, std::size_t> m_most;               // In any window.
    std::size_t m_refused = 0;
};

} // namespace mangoquay::soak
