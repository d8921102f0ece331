// SHA-256, HMAC-SHA256, hexadecimal and base64url text, and comparison in constant time. Through GnuTLS.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace mangoquay::core {

inline constexpr std::size_t sha256_bytes = 32;

// Bytes, not text.
std::string sha256(std::string_view data);
std::string hmac_sha256(std::string_view key, std::string_view data);

// The time does not depend on where two texts of equal length differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);

std::string to_hex(std::string_view bytes);
std::optional<std::string> from_hex(std::string_view text);

// Without padding. Decoding refuses padding, other alphabets and unused bits that are not zero, so that each
// value has exactly one text.
std::string to_base64url(std::string_view bytes);
std::optional<std::string> from_base64url(std::string_view text);

} // namespace mangoquay::core
