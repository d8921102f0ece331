// Decides whether an entry host handled a database name by a configuration that it may still use. Keeps for
// each process of an entry host the oldest version that explains what it has already done.
#pragma once

#include "soak/configuration_history.h"
#include "soak/disturbances.h"
#include "soak/violations.h"

#include <functional>

namespace mangoquay::soak {

struct handled_session {
    core::entry_host_id m_entry;
    boot_number m_boot;
    std::string m_id;       // As the logs name it.
    std::string m_database; // The name that the caller asked for.
    handled_by m_handled{};
    steady_time m_sent{};
};

class configuration_judge {
public:
    // Describes how long the processes of a host did not run.
    using describe_function = std::function<std::string(const core::entry_host_id&)>;

    configuration_judge(const configuration_history& history, const disturbance_log& disturbances,
                        violation_list& violations, describe_function describe)
        : m_history(history), m_disturbances(disturbances), m_violations(violations),
          m_describe(std::move(describe)) {}

    void check(const handled_session& session);
    // A read of the configuration that was sent at `sent` returned `version`.
    void check_read(const std::string& host, document_version version, steady_time sent);

private:
    struct known_version {
        document_version m_version;
        steady_time m_known_since;
    };
    void check_regress(const handled_session& session);
    void report(const handled_session& session, document_version allowed, const std::string& what);

    const configuration_history& m_history;
    const disturbance_log& m_disturbances;
    violation_list& m_violations;
    describe_function m_describe;
    std::mutex m_mutex;
    // Versions that a process has shown to use, newest last. Guarded by m_mutex.
    std::map<std::pair<core::entry_host_id, boot_number>, std::vector<known_version>> m_known;
};

} // namespace mangoquay::soak
