// Stand-ins of the platform for the review's scripts: databases, the executor of promotions, the operator,
// requesters, and the mangoquay processes that they talk to. They follow the users' pages PROTOCOL and DEPLOY.
// Everything listens on loopback addresses that are chosen anew for each run.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace world {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

double seconds_since_start();
void sleep_ms(int ms);
// Appends a line to record.txt and to standard output.
void record(const std::string& text);
void open_record(const std::string& path);

// A log position: TERM.NUMBER.
struct position {
    std::uint32_t m_term = 0;
    std::uint64_t m_number = 0;
};
std::string to_text(const position& where);

struct commit_entry {
    std::string m_id;                                        // The requester's id of the committing statement.
    std::vector<std::pair<std::string, std::string>> m_data; // Items and their new data.
};

struct address {
    std::string m_ip;
    int m_port = 0;
};
std::string to_text(const address& where);

struct http_answer {
    int m_status = 0; // 0 without an answer.
    std::string m_body;
    std::string m_location;
};
http_answer http_call(const address& target, const std::string& method, const std::string& path,
                      const std::string& body, int timeout_ms);

class group;

// One database of a service.
class database {
public:
    database(group& owner, std::string id, std::string zone, address where, bool primary);
    ~database();
    void start();
    void stop(); // Closes the listener and every connection.

    group& m_group;
    std::string m_id;
    std::string m_zone;
    address m_address;
    // The rest is guarded by group::m_mutex.
    bool m_primary = false;
    bool m_up = false;
    bool m_deaf = false;   // It receives nothing from the primary.
    bool m_paused = false; // By PAUSE, until RESUME or a promotion.
    bool m_draining = false;
    std::uint32_t m_term = 1;
    std::vector<commit_entry> m_log;
    std::vector<clock::time_point> m_received_at; // For each entry of m_log.
    std::map<std::uint32_t, std::uint64_t> m_term_starts{{1, 0}}; // Length of the log when the term began.
    int m_connections = 0;
    int m_running = 0;
    int m_waiting = 0;
    std::set<int> m_sockets;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    bool m_report_now = false;
    std::optional<double> m_draining_acknowledged_at;
    std::uint64_t m_refused_connections = 0;

private:
    void accept_connections();
    void serve(int socket);
    void send_reports();
    int m_listener = -1;
    std::vector<std::thread> m_threads;
};

struct group_rules {
    int m_slots = 5;
    int m_queue = 40;
    int m_max_connections = 32;
    int m_sync_replicas = 0;
    int m_connect_ms = 12;
    int m_lag_ms = 60;
    int m_promote_ms = 500;
    int m_read_ms = 9;
    int m_write_ms = 9;
};

// A service: one primary and its replicas.
class group {
public:
    group(std::string service, group_rules rules) : m_service(std::move(service)), m_rules(rules) {}
    database& add(const std::string& id, const std::string& zone, const address& where, bool primary);
    database* find(const std::string& id);
    database* primary();
    // Sends what the primary holds to the replicas that receive. Called with m_mutex held.
    void replicate();
    void promote(database& target);
    bool lacks(const database& at, const position& wanted) const;
    void stop();

    std::string m_service;
    group_rules m_rules;
    bool m_records_reads = false; // Whether each read that a database begins is recorded.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<database>> m_databases;
    std::vector<address> m_control;                    // Nodes that take status reports.
    std::map<std::string, double> m_acknowledged;      // Commit ids that a requester saw acknowledged.
    std::vector<std::string> m_lost;                   // Acknowledged commits that a promoted database lacks.
    std::uint32_t m_highest_term = 1;
    int m_promotions = 0;
    std::map<std::string, double> m_reads_begun;       // Read id -> when a database began it.
    // What a database ran: statement id -> number of runs that took effect.
    std::map<std::string, int> m_applied;
};

// The infrastructure's POST /failover. Checks fences.
class executor {
public:
    executor(address where, std::vector<group*> groups);
    ~executor();
    void stop();

private:
    void accept_calls();
    void answer(int socket);
    address m_address;
    std::vector<group*> m_groups;
    int m_listener = -1;
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_seen_tokens;
    std::vector<std::thread> m_threads;
};

struct answer {
    bool m_answered = false; // A complete answer arrived.
    bool m_closed = false;   // The connection ended instead.
    std::string m_error;     // The code of ERROR, empty for COMPLETE.
    std::string m_text;      // Signature, or the text of the error.
    std::vector<std::string> m_rows;
    std::string m_state;
    std::string m_position;
};

// A requester's session.
class session {
public:
    ~session() { close(); }
    bool open(const address& target, const std::string& database_name, int timeout_ms = 2000);
    answer query(const std::string& id, const std::string& text, int timeout_ms);
    void close();
    bool is_open() const { return m_socket >= 0; }

private:
    bool read_line(std::string& line, clock::time_point until);
    int m_socket = -1;
    std::string m_received;
};
std::string next_id();

// A machine that runs mangoquay.
struct machine {
    std::string m_name;
    std::string m_zone;
    bool m_entry = false;
    std::string m_ip;
    pid_t m_pid = -1;
    std::string m_folder; // Settings, log and data.
};

// A small deployment: control and entry hosts, one service, the executor.
class deployment {
public:
    deployment(int control_hosts, int entry_hosts, group_rules rules);
    ~deployment();
    machine& add_machine(bool entry, const std::string& zone);
    void start(machine& host, bool first_start);
    // Sends the signal and waits for the end if it ends the process.
    void signal(machine& host, int number);
    bool wait_for_end(machine& host, int timeout_ms);
    void lose_disk(machine& host);
    address caller_address(const machine& host) const { return {host.m_ip, m_caller_port}; }
    address control_address(const machine& host) const { return {host.m_ip, m_control_port}; }
    bool is_ready(const machine& host) const;
    // Sends the configuration until it is acknowledged. Follows redirects.
    bool replace_config(std::uint64_t version, int timeout_ms);
    // One read of the configuration over the control hosts; the version, or nothing.
    std::optional<std::uint64_t> read_config();
    // The control host that answers a read itself.
    machine* leader();
    bool wait_until(const std::function<bool()>& condition, int timeout_ms) const;
    // Starts everything, sends the first configuration, and waits until each entry host runs a write.
    bool bring_up();
    nlohmann::json config(std::uint64_t version) const;

    std::string m_root;   // Folder of the repository.
    std::string m_folder; // Temporary folder of this run.
    std::deque<machine> m_machines;
    std::vector<machine*> m_control;
    std::vector<machine*> m_entries;
    std::set<machine*> m_gone; // The operator's list no longer names them.
    group m_group;
    address m_executor_address;
    std::unique_ptr<executor> m_executor;
    int m_caller_port = 0;
    int m_ready_port = 0;
    int m_control_port = 0;
    int m_peer_port = 0;
    int m_executor_port = 0;
    int m_database_port = 0;
    int m_subnet = 0;
    int m_next_host = 1;
    std::vector<std::string> m_zones{"marinha-norte", "marinha-sul", "armazem"};

private:
    std::string next_ip();
    std::vector<std::string> m_known_control;
};

} // namespace world
