// Keeps the endpoint registry of a control host over a restart of its process.
//
// After a restart of all hosts the databases would only be known again as their reports come in, more than a
// second later. What was kept is a hint, never proof: each endpoint is asked for its id when a host connects,
// each role shows in its own answers, and its next report replaces the record. Owns: a file and the thread
// that writes it, so that a slow disk stops nothing. A damaged file is left out.
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

    [[nodiscard]] std::vector<registry::endpoint_report> load() const;
    // Of several calls while the disk is busy only the last is written.
    void save(const std::vector<registry::endpoint_report>& reports);

private:
    void run_writer();

    std::string m_folder;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::optional<std::string> m_pending_content; // guarded by m_mutex
    bool m_stopping = false;           // guarded by m_mutex
    std::thread m_thread;
};

// The content of the file. Nothing when the bytes are damaged.
std::string encode_reports(const std::vector<registry::endpoint_report>& reports);
std::optional<std::vector<registry::endpoint_report>> decode_reports(const std::string& bytes);

} // namespace mangoquay::fleet
