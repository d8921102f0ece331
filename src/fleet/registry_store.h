// Persists the endpoint registry of a control host across restarts of its process.
//
// Without it, after a restart of all hosts the databases would be unknown until their reports arrive, more
// than a second later. The stored records are only hints: an endpoint is asked for its id when a host
// connects, its role shows in its answers, and its next report replaces the record. Records of removed
// endpoints are stored too, because another control host may have missed the removal and still have the
// endpoint in its file. Owns a file and the thread that writes it, so that a slow disk does not block the
// event loop. A damaged file is ignored.
#pragma once

#include "registry/endpoint_registry.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace mangoquay::fleet {

class registry_store {
public:
    explicit registry_store(std::string folder);
    ~registry_store();
    registry_store(const registry_store&) = delete;
    registry_store& operator=(const registry_store&) = delete;
    registry_store(registry_store&&) = delete;
    registry_store& operator=(registry_store&&) = delete;

    // Returns an empty list if the file is absent, cannot be read or is damaged.
    [[nodiscard]] std::vector<registry::endpoint_report> load() const;
    // Schedules a write and returns at once. Of several calls during one write only the last is written.
    void save(const std::vector<registry::endpoint_report>& reports);

private:
    void run_writer();

    std::string m_folder;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<std::string> m_pending_content; // Guarded by m_mutex.
    bool m_stopping = false;                      // Guarded by m_mutex.
    std::thread m_thread;
};

// Encode and decode the content of the file. Decoding returns nothing if the bytes are damaged.
std::string encode_reports(const std::vector<registry::endpoint_report>& reports);
std::optional<std::vector<registry::endpoint_report>> decode_reports(const std::string& bytes);

} // namespace mangoquay::fleet
