// Messages and keys of the handshake of peer connections.
#include "transport/peer_handshake.h"

#include <algorithm>
#include <string_view>

namespace mangoquay::transport {
namespace {

constexpr std::string_view magic = "MQ01";

std::string_view as_text(byte_view bytes) {
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

void put_id(const std::string& id, std::vector<std::uint8_t>& out) {
    const std::size_t used = std::min(id.size(), host_id_bytes);
    out.insert(out.end(), id.begin(), id.begin() + static_cast<std::ptrdiff_t>(used));
    out.insert(out.end(), host_id_bytes - used, 0);
}

std::string get_id(byte_view bytes) {
    const std::string_view text = as_text(bytes.first(host_id_bytes));
    return std::string(text.substr(0, text.find('\0')));
}

struct handshake_parties {
    std::string_view m_dialler;
    std::string_view m_listener;
    byte_view m_dialler_nonce;
    byte_view m_listener_nonce;
};

connection_key derive_key_for(std::string_view purpose, const std::string& cluster_key,
                              const handshake_parties& parties) {
    const std::array parts{purpose, parties.m_dialler, parties.m_listener, as_text(parties.m_dialler_nonce),
                           as_text(parties.m_listener_nonce)};
    return derive_key(cluster_key, parts);
}

connection_key key_from(byte_view bytes) {
    connection_key key{};
    std::copy_n(bytes.begin(), key.size(), key.begin());
    return key;
}

} // namespace

dialler_handshake::dialler_handshake(std::string cluster_key, std::string self, std::string peer)
    : m_cluster_key(std::move(cluster_key)), m_self(std::move(self)), m_peer(std::move(peer)),
      m_nonce(random_nonce()) {}

std::vector<std::uint8_t> dialler_handshake::hello() const {
    std::vector<std::uint8_t> out(magic.begin(), magic.end());
    put_id(m_self, out);
    out.insert(out.end(), m_nonce.begin(), m_nonce.end());
    return out;
}

std::optional<std::vector<std::uint8_t>> dialler_handshake::verify_welcome(byte_view welcome) {
    if (welcome.size() != welcome_bytes || get_id(welcome) != m_peer) {
        return std::nullopt;
    }
    const handshake_parties parties{m_self, m_peer, m_nonce, welcome.subspan(host_id_bytes, 32)};
    const connection_key expected = derive_key_for("listener", m_cluster_key, parties);
    if (!equal_keys(expected, key_from(welcome.subspan(host_id_bytes + 32)))) {
        return std::nullopt;
    }
    m_session_key = derive_key_for("session", m_cluster_key, parties);
    const connection_key proof = derive_key_for("dialler", m_cluster_key, parties);
    return std::vector<std::uint8_t>(proof.begin(), proof.end());
}

listener_handshake::listener_handshake(std::string cluster_key, std::string self)
    : m_cluster_key(std::move(cluster_key)), m_self(std::move(self)), m_nonce(random_nonce()) {}

std::optional<std::vector<std::uint8_t>> listener_handshake::welcome(byte_view hello) {
    if (hello.size() != hello_bytes || as_text(hello.first(magic.size())) != magic) {
        return std::nullopt;
    }
    m_peer = get_id(hello.subspan(magic.size()));
    if (m_peer.empty()) {
        return std::nullopt;
    }
    const handshake_parties parties{m_peer, m_self, hello.subspan(magic.size() + host_id_bytes), m_nonce};
    m_expected_proof = derive_key_for("dialler", m_cluster_key, parties);
    m_session_key = derive_key_for("session", m_cluster_key, parties);
    const connection_key own_proof = derive_key_for("listener", m_cluster_key, parties);
    std::vector<std::uint8_t> out;
    put_id(m_self, out);
    out.insert(out.end(), m_nonce.begin(), m_nonce.end());
    out.insert(out.end(), own_proof.begin(), own_proof.end());
    return out;
}

bool listener_handshake::verify_proof(byte_view proof) const {
    return proof.size() == proof_bytes && equal_keys(m_expected_proof, key_from(proof));
}

} // namespace mangoquay::transport
