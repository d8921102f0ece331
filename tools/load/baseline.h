// The baseline of section 1.2 of the design page, inside the load tool: proxies that know nothing of each
// other. Reads that need freshness (all of the scenarios' reads do) go to the primary; each proxy has a fixed
// share of a database's slots and a first-in-first-out queue for it; a write is acknowledged by the primary
// alone; a primary that has not answered for a fixed timeout is replaced.
//
// Owns: a thread and a connection per proxy, database and slot; a monitoring thread per group. The HTTP
// request's body is run as it is; there is no HTTP, so the baseline is spared that cost.
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
    std::uint32_t m_slots = 1;
};

struct baseline_group {
    std::string m_id;
    std::vector<baseline_database> m_databases; // the first is the primary at the start
};

// Reads the layout file of the stand-in.
core::result<std::vector<baseline_group>> read_databases(const std::string& layout_file);

class baseline : public caller_transport {
public:
    explicit baseline(std::vector<baseline_group> groups);
    ~baseline() override;
    baseline(const baseline&) = delete;
    baseline& operator=(const baseline&) = delete;
    baseline(baseline&&) = delete;
    baseline& operator=(baseline&&) = delete;

    void submit(http_request request, answer_handler handler) override;
    void work(core::milliseconds longest) override;
    [[nodiscard]] std::size_t in_flight() const override { return m_in_flight; }

private:
    struct job {
        http_request m_request;
        answer_handler m_handler;
        core::time_point m_queued;
    };
    struct queue {
        std::mutex m_mutex;
        std::condition_variable m_filled;
        std::deque<job> m_jobs;
    };
    struct group_state {
        baseline_group m_group;
        std::atomic<std::size_t> m_primary = 0;
        // By database, then proxy.
        std::vector<std::vector<std::unique_ptr<queue>>> m_queues;
    };

    void serve(queue& from, const baseline_database& at);
    void monitor(group_state& group);
    void finish(job ended, http_answer answer);

    std::vector<std::unique_ptr<group_state>> m_groups;
    std::size_t m_proxies = 1;
    std::size_t m_next_proxy = 0;
    std::size_t m_in_flight = 0;
    std::atomic<bool> m_stopped = false;
    std::mutex m_finished_mutex;
    std::condition_variable m_finished_filled;
    std::vector<std::pair<job, http_answer>> m_finished; // guarded by m_finished_mutex
    std::vector<std::thread> m_threads;
};

} // namespace mangoquay::load
