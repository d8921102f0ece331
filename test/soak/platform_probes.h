// Probes of the configuration in force: a session for each entry host every 200 ms, for a database name whose
// route has just been added, moved or removed.
#pragma once

#include "soak/platform_session.h"
#include "soak/soak_world.h"

namespace mangoquay::soak {

class platform_probe {
public:
    platform_probe(soak_world& world, const host_process& host, std::uint64_t seed)
        : m_world(world), m_host(host), m_random(seed) {}
    // Until the world stops.
    void run();

private:
    void probe();
    std::string draw_database();

    soak_world& m_world;
    const host_process& m_host;
    std::mt19937_64 m_random;
    std::vector<std::string> m_known; // Names met so far, oldest first.
};

} // namespace mangoquay::soak
