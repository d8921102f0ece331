// Stand-ins of the databases of one service and of the infrastructure's POST /failover, after PROTOCOL.md.
#pragma once

#include "net.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct commit_entry {
    long term = 0;
    std::string id; // Of the write, or of the COMMIT.
};

class service;

class database {
public:
    database(service& owner, std::string id, address at, std::string zone, bool primary);
    ~database();

    // Starts with an empty log if `reborn`: "It then holds and knows nothing of before".
    void start(bool reborn);
    void crash();
    // Reports itself draining from now on.
    void drain();

    const std::string id;
    const address at;
    const std::string zone;

    // Guarded by the service's mutex.
    bool up = false;
    bool primary = false;
    bool deaf = false; // Receives nothing.
    bool paused = false;
    bool draining = false;
    long term = 1;
    int connections = 0;
    std::vector<commit_entry> log;

    // When the present state `draining` was acknowledged by a control host; 0 if not yet.
    std::atomic<double> drain_acked_s{0};
    // A partition between this database and the control hosts: connections that control hosts open hang.
    std::atomic<bool> hidden_from_control{false};

private:
    friend class service;
    void serve(stream& peer);
    void report();

    service& m_service;
    std::unique_ptr<listener> m_listener;
    std::unique_ptr<listener> m_health;
    std::thread m_reports;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_report_now{false};
    std::atomic<bool> m_running{false};
};

// What a read of an item answers: so many rows of this text.
struct row_set {
    std::size_t count = 1;
    std::string text;
};
using row_source = std::function<row_set(const std::string& item)>;
// Called for each statement that a database received from a requester (id is not "-").
using arrival_watch = std::function<void(database& at, const std::string& id, const std::string& text)>;

class service {
public:
    service(record& log, std::string name, int sync_replicas, std::vector<address> control);
    ~service();

    void serve_failover(const address& at);
    // The number of the acknowledged commits that the database promoted last lacks.
    void acknowledge(const std::string& id);
    std::size_t lost_commits() const { return m_lost; }
    int promotions() const { return m_promotions; }

    record& log;
    const std::string name;
    const int sync_replicas;
    const std::vector<address> control;
    milliseconds work{10};
    row_source rows;
    arrival_watch on_arrival;
    std::set<std::string> control_ips;

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::unique_ptr<database>> databases;

private:
    friend class database;
    // With the mutex held.
    std::string position(const database& one) const;
    void replicate();
    void promote(const std::string& id);
    int decide(const std::string& id, unsigned long token);

    std::unique_ptr<listener> m_failover;
    std::thread m_replication;
    std::vector<std::thread> m_orders;
    std::atomic<bool> m_running{true};
    unsigned long m_highest_token = 0;
    std::set<std::string> m_acknowledged;
    std::atomic<std::size_t> m_lost{0};
    std::atomic<int> m_promotions{0};
};

} // namespace review
