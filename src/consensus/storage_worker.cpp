// Implements group commit: one sync covers all actions that were queued when it began.
#include "consensus/storage_worker.h"

#include <utility>

namespace mangoquay::consensus {
namespace {

class action_writer {
public:
    explicit action_writer(durable_log& log) : m_log(log) {}

    status operator()(const append_entries& action) {
        m_unsynced = true;
        return m_log.append(action.m_entries);
    }
    status operator()(const save_hard_state& action) {
        return after_sync([&] { return m_log.save_hard_state(action.m_state); });
    }
    status operator()(const save_snapshot& action) {
        return after_sync([&] { return m_log.save_snapshot(action.m_snapshot, action.m_kept); });
    }
    status operator()(const install_snapshot& action) {
        return after_sync([&] { return m_log.install_snapshot(action.m_snapshot); });
    }
    status finish() {
        return after_sync([] { return status(std::monostate{}); });
    }

private:
    // Storage actions become durable in order: entries that were appended earlier must be synced before a
    // later term, vote or snapshot is written.
    template <class Write>
    status after_sync(Write write) {
        if (m_unsynced) {
            m_unsynced = false;
            if (auto synced = m_log.sync(); !synced) {
                return synced;
            }
        }
        return write();
    }

    durable_log& m_log;
    bool m_unsynced = false;
};

} // namespace

storage_worker::storage_worker(std::unique_ptr<durable_log> log, synced_handler synced, failed_handler failed)
    : m_log(std::move(log)), m_on_synced(std::move(synced)), m_on_failed(std::move(failed)),
      m_thread([this] { run(); }) {}

storage_worker::~storage_worker() {
    {
        const std::lock_guard guard(m_mutex);
        m_stopping = true;
    }
    m_queue_changed.notify_one();
    m_thread.join();
}

void storage_worker::enqueue(std::vector<storage_action> actions) {
    {
        const std::lock_guard guard(m_mutex);
        for (storage_action& action : actions) {
            m_queue.push_back(std::move(action));
        }
    }
    m_queue_changed.notify_one();
}

void storage_worker::run() {
    while (true) {
        std::vector<storage_action> batch;
        {
            std::unique_lock guard(m_mutex);
            m_queue_changed.wait(guard, [this] { return m_stopping || !m_queue.empty(); });
            if (m_queue.empty()) {
                return;
            }
            batch.swap(m_queue);
        }
        if (auto done = execute_batch(batch); !done) {
            // Nothing may be written after a failure, because the kernel may have dropped the dirty pages
            // that it could not write.
            m_on_failed(done.reason());
            return;
        }
        m_on_synced(std::visit([](const auto& action) { return action.m_sequence; }, batch.back()));
    }
}

status storage_worker::execute_batch(const std::vector<storage_action>& batch) {
    action_writer writer(*m_log);
    for (const storage_action& action : batch) {
        if (auto done = std::visit(writer, action); !done) {
            return done;
        }
    }
    return writer.finish();
}

} // namespace mangoquay::consensus
