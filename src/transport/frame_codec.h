// Frames on a byte stream: length (4 bytes, big endian, of the body), sequence number (8 bytes), MAC (16
// bytes), body.
//
// The MAC covers sequence number, length and body under the key of this one link, so a frame that was
// changed, replayed, reordered or taken from another link is detected.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::transport {

inline constexpr std::size_t max_frame_bytes = 16U * 1024U * 1024U;
inline constexpr std::size_t mac_bytes = 16;
inline constexpr std::size_t frame_header_bytes = 4 + 8 + mac_bytes;

using connection_key = std::array<std::uint8_t, 32>;
using handshake_nonce = std::array<std::uint8_t, 32>;

// HMAC-SHA256 of the parts; each part is preceded by its length, so that ("ab","c") and ("a","bc") differ.
connection_key derive_key(std::string_view secret, std::span<const std::string_view> parts);

// Constant time.
bool equal_keys(const connection_key& left, const connection_key& right);

handshake_nonce random_nonce();

// Seals bodies with rising sequence numbers.
class frame_sealer {
public:
    explicit frame_sealer(const connection_key& key) : m_key(key) {}

    void seal(std::span<const std::uint8_t> body, std::vector<std::uint8_t>& out);

private:
    connection_key m_key;
    std::uint64_t m_sequence = 0; // of the next frame
};

// Collects bytes and gives back verified bodies.
class frame_opener {
public:
    explicit frame_opener(const connection_key& key) : m_key(key) {}

    void feed(std::span<const std::uint8_t> bytes);
    // The next whole body, or nothing. Once damaged() is true nothing more comes.
    std::optional<std::vector<std::uint8_t>> next_body();
    [[nodiscard]] bool damaged() const { return m_damaged; }

private:
    connection_key m_key;
    std::uint64_t m_sequence = 0; // expected of the next frame
    bool m_damaged = false;
    std::size_t m_read = 0; // bytes of m_buffer that are consumed
    std::vector<std::uint8_t> m_buffer;
};

} // namespace mangoquay::transport
