// Mutual authentication by the cluster key when a peer connection is opened.
//
//   dialler -> listener  magic, dialler id, dialler nonce
//   listener -> dialler  listener id, listener nonce, proof of the listener
//   dialler -> listener  proof of the dialler
//
// A proof is a MAC under the cluster key. It covers both ids and both nonces, which are new for each
// connection, so that a recorded handshake cannot be replayed. Ids are padded to a fixed size, so each step
// has a fixed length and needs no parser.
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

// The side of the host that opens the connection.
class dialler_handshake {
public:
    dialler_handshake(std::string cluster_key, std::string self, std::string peer);

    // Returns the first message of the handshake.
    [[nodiscard]] std::vector<std::uint8_t> hello() const;
    // Verifies the listener's message and returns the proof to send, or nothing if the listener is not the
    // expected peer or does not prove that it knows the cluster key.
    std::optional<std::vector<std::uint8_t>> verify_welcome(byte_view welcome);
    // Valid after verify_welcome() has returned a proof.
    [[nodiscard]] const connection_key& session_key() const { return m_session_key; }

private:
    std::string m_cluster_key;
    std::string m_self;
    std::string m_peer;
    handshake_nonce m_nonce;
    connection_key m_session_key{};
};

// The side of the host that accepts the connection.
class listener_handshake {
public:
    listener_handshake(std::string cluster_key, std::string self);

    // Returns the message that answers the hello, or nothing if the hello is malformed.
    std::optional<std::vector<std::uint8_t>> welcome(byte_view hello);
    // Returns whether the dialler has proved that it knows the cluster key.
    [[nodiscard]] bool verify_proof(byte_view proof) const;
    // Id of the dialler. Not authenticated until verify_proof() has returned true.
    [[nodiscard]] const std::string& peer() const { return m_peer; }
    // Valid after verify_proof() has returned true.
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
