// Baseline for comparison, built into the load tool: independent proxies without coordination.
//
// Reads that need freshness (all reads of the scenarios do) go to the primary. Each proxy has a fixed share
// of a database's slots, with a FIFO queue for it. A write is acknowledged by the primary alone. A primary
// that has not answered for a fixed time-out is replaced.
//
// Owns: a thread and a connection per proxy, database and slot, and a monitoring thread per group. Statements
// go from the HTTP request's body directly to the database, so the baseline does not bear the cost of HTTP.
#pragma once

#include "core/result.h"
#include "http_client.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace mangoquay::load {

struct baseline_database {
    std::string m_id;
    std::string m_conninfo;
    std::uint32_t m_slot_count = 1;
};

struct baseline_group {
    std::string m_id;
    std::vector<baseline_database> m_databases; // The first one is the primary at the start.
};

// Reads the groups and databases from the layout file of the database stand-in. Fails if the file is not JSON
// with groups.
core::result<std::vector<baseline_group>> read_databases(const std::string& layout_file);

class baseline_transport : public caller_transport {
public:
    // Starts the threads. `groups` is not empty; the slot count of its first database applies to all of them.
    explicit baseline_transport(std::vector<baseline_group> groups);
    ~baseline_transport() override;
    baseline_transport(const baseline_transport&) = delete;
    baseline_transport& operator=(const baseline_transport&) = delete;
    baseline_transport(baseline_transport&&) = delete;
    baseline_transport& operator=(baseline_transport&&) = delete;

    void submit(http_request request, answer_handler handler) override;
    void process_events(core::milliseconds max_wait) override;
    [[nodiscard]] std::size_t in_flight() const override { return m_in_flight; }

private:
    struct queued_request {
        http_request m_request;
        answer_handler m_handler;
        core::time_point m_queued;
    };
    struct request_queue {
        std::mutex m_mutex;
        std::condition_variable m_not_empty;
        std::deque<queued_request> m_requests;
    };
    struct group_state {
        baseline_group m_group;
        std::atomic<std::size_t> m_primary = 0;
        // Queues by database, then by proxy.
        std::vector<std::vector<std::unique_ptr<request_queue>>> m_queues;
    };

    void run_slot(request_queue& requests, const baseline_database& target);
    void monitor_group(group_state& group);
    void finish(queued_request request, http_answer answer);

    std::vector<std::unique_ptr<group_state>> m_groups;
    std::size_t m_proxy_count = 1;
    std::size_t m_next_proxy = 0;
    std::size_t m_in_flight = 0;
    std::atomic<bool> m_stopped = false;
    std::mutex m_finished_mutex;
    std::condition_variable m_finished_not_empty;
    std::vector<std::pair<queued_request, http_answer>> m_finished; // Guarded by m_finished_mutex.
    std::vector<std::thread> m_threads;
};

} // namespace mangoquay::load
