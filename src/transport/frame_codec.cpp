// Encoding and decoding of frames. The MAC is an HMAC-SHA256 by GnuTLS, truncated to 16 bytes.
#include "transport/frame_codec.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <cstdlib>

namespace mangoquay::transport {
namespace {

using mac = std::array<std::uint8_t, mac_bytes>;

void put_big_endian(std::uint64_t value, std::size_t bytes, std::vector<std::uint8_t>& out) {
    for (std::size_t index = bytes; index > 0; --index) {
        out.push_back(static_cast<std::uint8_t>(value >> (8 * (index - 1))));
    }
}

std::uint64_t get_big_endian(std::span<const std::uint8_t> bytes) {
    std::uint64_t value = 0;
    for (const std::uint8_t byte : bytes) {
        value = value << 8U | byte;
    }
    return value;
}

connection_key hmac(std::span<const std::uint8_t> key, std::span<const std::uint8_t> text) {
    connection_key digest{};
    if (gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), text.data(), text.size(),
                         digest.data()) != 0) {
        std::abort();
    }
    return digest;
}

// `length_and_sequence` are the first 12 bytes of the frame.
mac frame_mac(const connection_key& key, std::span<const std::uint8_t> length_and_sequence,
              std::span<const std::uint8_t> body) {
    gnutls_hmac_hd_t state = nullptr;
    connection_key digest{};
    if (gnutls_hmac_init(&state, GNUTLS_MAC_SHA256, key.data(), key.size()) != 0) {
        std::abort();
    }
    gnutls_hmac(state, length_and_sequence.data(), length_and_sequence.size());
    gnutls_hmac(state, body.data(), body.size());
    gnutls_hmac_deinit(state, digest.data());
    mac truncated{};
    std::copy_n(digest.begin(), mac_bytes, truncated.begin());
    return truncated;
}

} // namespace

connection_key derive_key(std::string_view secret, std::span<const std::string_view> parts) {
    std::vector<std::uint8_t> text;
    for (const std::string_view part : parts) {
        put_big_endian(part.size(), 4, text);
        text.insert(text.end(), part.begin(), part.end());
    }
    const std::span key(reinterpret_cast<const std::uint8_t*>(secret.data()), secret.size());
    return hmac(key, text);
}

bool equal_keys(const connection_key& left, const connection_key& right) {
    return gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

handshake_nonce random_nonce() {
    handshake_nonce nonce{};
    if (gnutls_rnd(GNUTLS_RND_NONCE, nonce.data(), nonce.size()) != 0) {
        std::abort();
    }
    return nonce;
}

void frame_sealer::seal(std::span<const std::uint8_t> body, std::vector<std::uint8_t>& out) {
    const std::size_t start = out.size();
    put_big_endian(body.size(), 4, out);
    put_big_endian(m_sequence++, 8, out);
    const mac tag = frame_mac(m_key, std::span(out).subspan(start, 12), body);
    out.insert(out.end(), tag.begin(), tag.end());
    out.insert(out.end(), body.begin(), body.end());
}

void frame_opener::feed(std::span<const std::uint8_t> bytes) {
    if (m_read > 0 && m_read == m_buffer.size()) {
        m_buffer.clear();
        m_read = 0;
    }
    m_buffer.insert(m_buffer.end(), bytes.begin(), bytes.end());
}

std::optional<std::vector<std::uint8_t>> frame_opener::next_body() {
    const auto unread = std::span<const std::uint8_t>(m_buffer).subspan(m_read);
    if (m_damaged || unread.size() < frame_header_bytes) {
        return std::nullopt;
    }
    const std::uint64_t length = get_big_endian(unread.first(4));
    const std::uint64_t sequence = get_big_endian(unread.subspan(4, 8));
    if (length > max_frame_bytes || sequence != m_sequence) {
        m_damaged = true;
        return std::nullopt;
    }
    if (unread.size() < frame_header_bytes + length) {
        return std::nullopt;
    }
    const auto body = unread.subspan(frame_header_bytes, length);
    const mac expected = frame_mac(m_key, unread.first(12), body);
    if (gnutls_memcmp(expected.data(), unread.data() + 12, mac_bytes) != 0) {
        m_damaged = true;
        return std::nullopt;
    }
    std::vector<std::uint8_t> copy(body.begin(), body.end());
    ++m_sequence;
    m_read += frame_header_bytes + length;
    if (m_read > m_buffer.size() / 2) {
        m_buffer.erase(m_buffer.begin(), m_buffer.begin() + static_cast<std::ptrdiff_t>(m_read));
        m_read = 0;
    }
    return copy;
}

} // namespace mangoquay::transport
