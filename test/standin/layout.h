// What the PostgreSQL stand-in is to hold: groups, their databases, addresses and timings, read from JSON.
#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangoquay::standin {

// A caller's statement runs m_factor times longer when its text contains m_text, and every m_every-th of all.
struct straggler_rule {
    std::string m_text;
    std::uint32_t m_every = 0; // 0: none
    std::uint32_t m_factor = 1;
};

struct timing {
    core::microseconds m_connect_duration{12000};
    core::microseconds m_statement_duration{1000}; // of callers; the proxy's own statements take no time
    core::microseconds m_receive_delay{500};       // commit on the primary until durable at a replica
    core::microseconds m_apply_delay{2000};        // commit on the primary until applied at a replica
    core::microseconds m_promotion_duration{20000};
    straggler_rule m_stragglers;
};

struct endpoint_layout {
    std::string m_id;
    std::string m_group;
    std::string m_zone;
    std::string m_host = "127.0.0.1";
    std::uint16_t m_port = 0; // 0: a free one
    std::uint32_t m_slots = 5;
    std::uint32_t m_connections = 30;
    bool m_primary = false;
    timing m_timing;
};

struct announce_layout {
    std::vector<std::string> m_addresses; // base addresses, for example http://127.0.0.11:8080
    std::string m_key;
    core::milliseconds m_interval{1000};
};

struct layout {
    std::vector<endpoint_layout> m_endpoints;
    std::string m_password; // empty: trust
    // Zones of clients by the last part of their application name; a client in another zone than the database
    // waits one round trip more for everything.
    std::map<std::string, std::string> m_client_zones;
    core::microseconds m_zone_latency{0}; // one way
    std::string m_control_host = "127.0.0.1";
    std::uint16_t m_control_port = 0; // 0: no control over HTTP
    announce_layout m_announce;
};

core::result<layout> parse_layout(const std::string& text);

} // namespace mangoquay::standin
