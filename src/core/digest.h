// SHA-256, HMAC-SHA256, hexadecimal and base64url encoding, and comparison in constant time.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::core {

inline constexpr std::size_t sha256_bytes = 32;

// Both return the digest as 32 bytes, not as text.
std::string sha256(std::string_view data);
std::string hmac_sha256(std::string_view key, std::string_view data);

// For two texts of equal length, the time does not depend on where they differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

std::string to_hex(std::string_view bytes);
// Accepts digits of both cases. Returns nothing if the text is not hexadecimal.
std::optional<std::string> from_hex(std::string_view text);

// Base64url without padding. Decoding rejects padding, other alphabets and unused bits that are not zero, so
// that each value has exactly one encoding.
std::string to_base64url(std::string_view bytes);
std::optional<std::string> from_base64url(std::string_view text);

} // namespace mangoquay::core
