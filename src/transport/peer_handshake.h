// Mutual proof of the cluster key when a link opens.
//
//   dialler -> listener  magic, dialler id, dialler nonce
//   listener -> dialler  listener id, listener nonce, proof of the listener
//   dialler -> listener  proof of the dialler
//
// Each proof covers both ids and both fresh nonces, so that a recorded handshake is of no use to anyone. Ids
// are padded to a fixed size; each step therefore has a fixed length and needs no parser.
#pragma once

#include "transport/frame_codec.h"

#include <optional>
#include <string>

namespace mangoquay::transport {

inline constexpr std::size_t host_id_bytes = 64;
inline constexpr std::size_t hello_bytes = 4 + host_id_bytes + 32;
inline constexpr std::size_t welcome_bytes = host_id_bytes + 32 + 32;
inline constexpr std::size_t proof_bytes = 32;

using byte_view = std::span<const std::uint8_t>;

class dialler_handshake {
public:
    dialler_handshake(std::string cluster_key, std::string self, std::string peer);

    [[nodiscard]] std::vector<std::uint8_t> hello() const;
    // The proof to send, or nothing when the listener is not the expected peer or has not proved the key.
    std::optional<std::vector<std::uint8_t>> verify_welcome(byte_view welcome);
    // Valid after answer() succeeded.
    [[nodiscard]] const connection_key& session_key() const { return m_session_key; }

private:
    std::string m_cluster_key;
    std::string m_self;
    std::string m_peer;
    handshake_nonce m_nonce;
    connection_key m_session_key{};
};

class listener_handshake {
public:
    listener_handshake(std::string cluster_key, std::string self);

    // The welcome to send, or nothing when the hello is malformed.
    std::optional<std::vector<std::uint8_t>> welcome(byte_view hello);
    [[nodiscard]] bool verify_proof(byte_view proof) const;
    // Valid after accept() was true.
    [[nodiscard]] const std::string& peer() const { return m_peer; }
    [[nodiscard]] const connection_key& session_key() const { return m_session_key; }

private:
    std::string m_cluster_key;
    std::string m_self;
    std::string m_peer;
    handshake_nonce m_nonce;
    connection_key m_expected_proof{};
    connection_key m_session_key{};
};

} // namespace mangoquay::transport
