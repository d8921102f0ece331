// Limits derived from the settings of memory and descriptors.
#include "process/client_limits.h"

#include "metrics/page_writer.h"
#include "transport/memory_account.h"

#include <malloc.h>

#include <algorithm>

namespace mangoquay::process {
namespace {

// Places for clients of an HTTP server; few compared with the descriptors of the process.
transport::http_server_limits http_limits(const settings::fleet_settings& host_settings,
                                          std::uint32_t descriptors_per_place, std::size_t total_body_bytes) {
    constexpr std::uint32_t min_connections = 8;
    constexpr std::uint32_t max_connections = 256;
    return {
        std::clamp(host_settings.m_max_descriptors / descriptors_per_place, min_connections, max_connections),
        total_body_bytes};
}

} // namespace

// Pages have requests without a body.
transport::http_server_limits page_limits(const settings::fleet_settings& host_settings) {
    constexpr std::uint32_t descriptors_per_place = 64;
    return http_limits(host_settings, descriptors_per_place, 0);
}

transport::http_server_limits control_limits(const settings::fleet_settings& host_settings) {
    constexpr std::uint32_t descriptors_per_place = 4;
    return http_limits(host_settings, descriptors_per_place,
                       transport::control_shares(host_settings.m_max_memory_mb).m_control_calls);
}

// Buffers of large messages get pages of their own, which return to the system when a buffer is freed. By
// default glibc raises the threshold up to 32 MB after the first such buffer, and freed ones stay resident
// between small ones. Few arenas, because each thread of the HTTP server would keep freed memory of its own.
void configure_allocator() {
    constexpr int own_pages_threshold = 65536;
    constexpr int arenas = 2;
    mallopt(M_MMAP_THRESHOLD, own_pages_threshold);
    mallopt(M_TRIM_THRESHOLD, own_pages_threshold);
    mallopt(M_ARENA_MAX, arenas);
}

std::string limits_page(const transport::peer_network& network,
                        const transport::http_server_counters* control) {
    metrics::page_writer page;
    page.add_line("peer_handshakes_displaced_total", {}, static_cast<double>(network.displaced_handshakes()));
    if (control != nullptr) {
        page.add_line("http_body_bytes", {}, static_cast<double>(control->m_body_bytes));
        page.add_line("http_bodies_refused_total", {}, static_cast<double>(control->m_refused_bodies));
        page.add_line("http_connections_displaced_total", {},
                      static_cast<double>(control->m_displaced_connections));
    }
    return page.take_text();
}

std::uint32_t max_handshakes(const settings::fleet_settings& host_settings) {
    constexpr std::uint32_t descriptors_per_handshake = 64;
    constexpr std::uint32_t min_handshakes = 16;
    return std::max(host_settings.m_max_descriptors / descriptors_per_handshake, min_handshakes);
}

} // namespace mangoquay::process
