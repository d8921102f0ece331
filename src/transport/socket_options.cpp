// Time limits after which the operating system closes a connection whose peer does not respond.
#include "transport/socket_options.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace mangoquay::transport {
namespace {

// Databases close a connection 3 s after its remote end has become unreachable. This side closes it no later:
// it closes a connection with unacknowledged data older than user_timeout_ms, so that a network fault without
// a reset is detected.
constexpr unsigned user_timeout_ms = 2500;
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probe_count = 2;

} // namespace

std::optional<sockaddr_in> to_socket_address(const control::socket_address& address) {
    sockaddr_in converted{};
    converted.sin_family = AF_INET;
    converted.sin_port = htons(address.m_port);
    if (inet_pton(AF_INET, address.m_host.c_str(), &converted.sin_addr) != 1) {
        return std::nullopt;
    }
    return converted;
}

void set_stream_options(int socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_s, sizeof keep_alive_idle_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_s, sizeof keep_alive_interval_s);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probe_count, sizeof keep_alive_probe_count);
}

} // namespace mangoquay::transport
