// Executes storage actions on its own thread. Actions that are queued while a sync is running are written
// together and share the next sync.
//
// Owns: the data folder, the queue of actions and the thread.
#pragma once

#include "consensus/durable_log.h"
#include "consensus/raft_node.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace mangoquay::consensus {

using storage_action = std::variant<save_hard_state, append_entries, save_snapshot, install_snapshot>;

class storage_worker {
public:
    // Both handlers are called on the worker's thread. `synced` receives the sequence number up to which all
    // actions are durable. After `failed` nothing more is written.
    using synced_handler = std::function<void(std::uint64_t sequence)>;
    using failed_handler = std::function<void(const std::string& reason)>;

    storage_worker(std::unique_ptr<durable_log> log, synced_handler synced, failed_handler failed);
    // Executes the queued actions, then joins the thread.
    ~storage_worker();
    storage_worker(const storage_worker&) = delete;
    storage_worker& operator=(const storage_worker&) = delete;
    storage_worker(storage_worker&&) = delete;
    storage_worker& operator=(storage_worker&&) = delete;

    // Queues the actions; they become durable in the order in which they were queued.
    void enqueue(std::vector<storage_action> actions);

private:
    void run();
    status execute_batch(const std::vector<storage_action>& batch);

    std::unique_ptr<durable_log> m_log;
    synced_handler m_on_synced;
    failed_handler m_on_failed;
    std::mutex m_mutex;
    std::condition_variable m_queue_changed;
    std::vector<storage_action> m_queue; // Guarded by m_mutex.
    bool m_stopping = false;             // Guarded by m_mutex.
    std::thread m_thread;
};

} // namespace mangoquay::consensus
