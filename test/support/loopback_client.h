// Plain TCP sockets on the loopback address, for clients that send what an HTTP library would not send.
#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace mangoquay::test {

// Connects on construction. Throws std::runtime_error on failure.
class loopback_client {
public:
    explicit loopback_client(std::uint16_t port) : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            close(m_socket);
            throw std::runtime_error("connect failed");
        }
        // A server that hangs fails the test instead of blocking the run.
        const timeval receive_timeout{20, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    }
    ~loopback_client() { close(m_socket); }
    loopback_client(const loopback_client&) = delete;
    loopback_client& operator=(const loopback_client&) = delete;
    loopback_client(loopback_client&&) = delete;
    loopback_client& operator=(loopback_client&&) = delete;

    void send(const std::string& text) const {
        if (::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
            throw std::runtime_error("send failed");
        }
    }
    // Receives until the server closes the connection, or sends nothing for 20 s.
    [[nodiscard]] std::string receive_all() const {
        std::string received;
        std::array<char, 4096> buffer{};
        for (ssize_t count = 0; (count = recv(m_socket, buffer.data(), buffer.size(), 0)) > 0;) {
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return received;
    }

private:
    int m_socket;
};

// Returns a TCP port that was free at the time of the call. Another process may bind it afterwards.
inline std::uint16_t find_free_port() {
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                       getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(probe);
    if (!bound) {
        throw std::runtime_error("no free port");
    }
    return ntohs(address.sin_port);
}

} // namespace mangoquay::test
