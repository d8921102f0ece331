// Authenticated frames on a byte stream. A frame consists of the length of its body (4 bytes), a sequence
// number (8 bytes), a MAC (16 bytes) and the body. Integers are big endian.
//
// The MAC covers length, sequence number and body and uses the session key of one connection. This detects
// frames that were changed, replayed, reordered or copied from another connection.
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

// Returns the HMAC-SHA256 of the parts. Each part is preceded by its length, so that ("ab","c") and
// ("a","bc") give different keys.
connection_key derive_key(std::string_view secret, std::span<const std::string_view> parts);

// Compares in constant time.
bool equal_keys(const connection_key& left, const connection_key& right);

handshake_nonce random_nonce();

// Encodes bodies as frames with consecutive sequence numbers.
class frame_sealer {
public:
    explicit frame_sealer(const connection_key& key) : m_key(key) {}

    // Appends a frame with this body to `out`.
    void seal(std::span<const std::uint8_t> body, std::vector<std::uint8_t>& out);

private:
    connection_key m_key;
    std::uint64_t m_sequence = 0; // Sequence number of the next frame.
};

// Decodes frames from a byte stream and verifies them.
class frame_opener {
public:
    explicit frame_opener(const connection_key& key) : m_key(key) {}

    // Appends received bytes, which may end within a frame.
    void feed(std::span<const std::uint8_t> bytes);
    // Returns the body of the next frame, or nothing if the frame is incomplete or a frame was invalid.
    std::optional<std::vector<std::uint8_t>> next_body();
    // Returns whether a frame was invalid. No frames are returned after an invalid one.
    [[nodiscard]] bool damaged() const { return m_damaged; }

private:
    connection_key m_key;
    std::uint64_t m_sequence = 0; // Expected sequence number of the next frame.
    bool m_damaged = false;
    std::size_t m_read = 0; // Number of bytes of m_buffer that are consumed.
    std::vector<std::uint8_t> m_buffer;
};

} // namespace mangoquay::transport
