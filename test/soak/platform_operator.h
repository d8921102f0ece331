// The operator: sends changes that add, remove and move routes, repeats those without an answer and reads the
// configuration back. Also the call that promotes a database.
#pragma once

#include "soak/soak_world.h"

namespace mangoquay::soak {

class platform_operator {
public:
    platform_operator(soak_world& world, std::uint64_t seed);

    // Draws the next change and sends it until it is acknowledged. Returns the control host that acknowledged
    // it, or nothing at the deadline.
    std::optional<ip_endpoint> change(steady_time deadline);
    // Sends changes in series until the world stops or `m_paused` is set.
    void run_changes();
    // Reads the configuration at one host after the other.
    void run_reads();
    // After the run: the newest acknowledged version is read back from each host that answers.
    void check_read_back(steady_time deadline);

    std::atomic<bool> m_paused{false};

private:
    std::string next_body(document_version version);
    void draw_change();
    void repeat_older_change();
    std::optional<ip_endpoint> send(document_version version, const std::string& body);
    bool check_reading(const ip_endpoint& host, document_version expected);

    soak_world& m_world;
    std::mutex m_mutex; // Held while a change is sent. Guards the members below.
    std::mt19937_64 m_random;
    route_map m_routes;
    std::uint64_t m_version = 0;
    int m_last_route = 0;
    std::size_t m_next_host = 0;
};

// The infrastructure's call that promotes a database, with fencing tokens.
class platform_executor {
public:
    explicit platform_executor(soak_world& world);
    ~platform_executor();
    platform_executor(const platform_executor&) = delete;
    platform_executor& operator=(const platform_executor&) = delete;
    platform_executor(platform_executor&&) = delete;
    platform_executor& operator=(platform_executor&&) = delete;

private:
    void answer(connection& caller);
    int decide(const std::string& service, const std::string& id, std::uint64_t token);

    soak_world& m_world;
    std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_seen_tokens; // By service. Guarded by m_mutex.
    std::vector<std::thread> m_promotions;              // Guarded by m_mutex.
    std::unique_ptr<listener> m_listener;
};

} // namespace mangoquay::soak
