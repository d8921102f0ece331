// The configuration of the PostgreSQL stand-in: groups, their databases, addresses and timings, read from
// JSON.
#pragma once

#include "core/clock.h"
#include "core/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangoquay::standin {

// A caller's statement takes m_factor times the normal time if its text contains m_text, or if it is the
// m_every-th statement of callers at the database.
struct straggler_rule {
    std::string m_text;
    std::uint32_t m_every = 0; // 0: no statement is slow because of its number.
    std::uint32_t m_factor = 1;
};

// Simulated durations of a database.
struct timing {
    core::microseconds m_connect_duration{12000};
    // Duration of callers' statements. The proxy's own statements take no time.
    core::microseconds m_statement_duration{1000};
    // Time from the commit on the primary until the record is durable at a replica.
    core::microseconds m_receive_delay{500};
    // Time from the commit on the primary until the record is applied at a replica.
    core::microseconds m_apply_delay{2000};
    core::microseconds m_promotion_duration{20000};
    straggler_rule m_stragglers;
};

struct endpoint_layout {
    std::string m_id;
    std::string m_group;
    std::string m_zone;
    std::string m_host = "127.0.0.1";
    std::uint16_t m_port = 0;         // 0: a free port is chosen.
    std::uint32_t m_slots = 5;        // Announced number of statements that may run at once; not enforced.
    std::uint32_t m_connections = 30; // Further connections are refused.
    bool m_primary = false;           // Role at the start.
    timing m_timing;
};

struct announce_layout {
    std::vector<std::string> m_addresses; // Base addresses of proxies, for example http://127.0.0.11:8080.
    std::string m_key;
    core::milliseconds m_interval{1000};
};

struct layout {
    std::vector<endpoint_layout> m_endpoints;
    std::string m_password; // Empty: clients connect without a password (trust authentication).
    // Zones of clients by the last part of their application name. A client in another zone than the database
    // waits one additional round trip before its messages are processed.
    std::map<std::string, std::string> m_client_zones;
    core::microseconds m_zone_latency{0}; // One-way delay between zones.
    std::string m_control_host = "127.0.0.1";
    std::uint16_t m_control_port = 0; // 0: the HTTP control interface is not started.
    announce_layout m_announce;
};

// Parses a layout in JSON. The first endpoint of each group is its primary. Fails with the parser's message.
core::result<layout> parse_layout(const std::string& text);

} // namespace mangoquay::standin
