// All configurations that the operator of the soak has sent, and which of them explain how an entry host
// handled a session for a database name.
#pragma once

#include "core/ids.h"
#include "documents/configuration.h"
#include "soak/run_record.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::soak {

using documents::document_version;
// Database name that callers request, and the service that serves it.
using route_map = std::map<std::string, core::service_name>;

struct sent_configuration {
    document_version m_version;
    route_map m_routes;
    std::string m_body;
    std::optional<steady_time> m_sent{};
    std::optional<steady_time> m_acknowledged{};
};

// How an entry host handled a database name: a service ran the statement, or nothing if the name was refused.
using handled_by = std::optional<core::service_name>;

class configuration_history {
public:
    void add(sent_configuration added);
    void mark_sent(document_version version);
    void mark_acknowledged(document_version version);
    // The newest version acknowledged at `time`, 0 without one.
    [[nodiscard]] document_version acknowledged_at(steady_time time) const;
    [[nodiscard]] document_version newest_acknowledged() const;
    [[nodiscard]] std::string body_of(document_version version) const;
    [[nodiscard]] route_map newest_routes() const;
    // The lowest version sent so far, from `oldest` on, by which an entry host may handle `database` in that
    // way.
    [[nodiscard]] std::optional<document_version>
    explaining_version(const std::string& database, const handled_by& handled, document_version oldest) const;

private:
    mutable std::mutex m_mutex;
    std::map<document_version, sent_configuration> m_versions; // Guarded by m_mutex.
};

} // namespace mangoquay::soak
