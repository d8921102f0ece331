// Digests are computed by GnuTLS. The text encodings are implemented here, because GnuTLS has no base64url.
#include "core/digest.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>
#include <cstdint>
#include <cstdlib>

namespace mangoquay::core {
namespace {

constexpr std::string_view base64url_digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 6;

constexpr std::array<int, 256> base64url_values() {
    std::array<int, 256> values{};
    values.fill(-1);
    for (std::size_t index = 0; index < base64url_digits.size(); ++index) {
        values[static_cast<unsigned char>(base64url_digits[index])] = static_cast<int>(index);
    }
    return values;
}

int hex_value(char digit) {
    if (digit >= 'A' && digit <= 'F') {
        digit = static_cast<char>(digit - 'A' + 'a');
    }
    const auto found = hex_digits.find(digit);
    return found == std::string_view::npos ? -1 : static_cast<int>(found);
}

} // namespace

std::string sha256(std::string_view data) {
    std::string digest(sha256_bytes, '\0');
    if (gnutls_hash_fast(GNUTLS_DIG_SHA256, data.data(), data.size(), digest.data()) < 0) {
        std::abort(); // Without SHA-256 in the library nothing can be authenticated.
    }
    return digest;
}

std::string hmac_sha256(std::string_view key, std::string_view data) {
    std::string digest(sha256_bytes, '\0');
    if (gnutls_hmac_fast(GNUTLS_MAC_SHA256, key.data(), key.size(), data.data(), data.size(), digest.data()) <
        0) {
        std::abort();
    }
    return digest;
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() && gnutls_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::string_view bytes) {
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text += hex_digits[value >> 4U];
        text += hex_digits[value & 15U];
    }
    return text;
}

std::optional<std::string> from_hex(std::string_view text) {
    if (text.size() % 2 != 0) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); index += 2) {
        const int high = hex_value(text[index]);
        const int low = hex_value(text[index + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        bytes += static_cast<char>(high * 16 + low);
    }
    return bytes;
}

std::string to_base64url(std::string_view bytes) {
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 2);
    std::uint32_t pending = 0;
    unsigned pending_bits = 0;
    for (const char byte : bytes) {
        pending = (pending << 8U) | static_cast<unsigned char>(byte);
        pending_bits += 8;
        while (pending_bits >= bits_per_digit) {
            pending_bits -= bits_per_digit;
            text += base64url_digits[(pending >> pending_bits) & 63U];
        }
    }
    if (pending_bits > 0) {
        text += base64url_digits[(pending << (bits_per_digit - pending_bits)) & 63U];
    }
    return text;
}

std::optional<std::string> from_base64url(std::string_view text) {
    static constexpr auto values = base64url_values();
    std::string bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t pending = 0;
    unsigned pending_bits = 0;
    for (const char digit : text) {
        const int value = values.at(static_cast<unsigned char>(digit));
        if (value < 0) {
            return std::nullopt;
        }
        pending = (pending << bits_per_digit) | static_cast<std::uint32_t>(value);
        pending_bits += bits_per_digit;
        if (pending_bits >= 8) {
            pending_bits -= 8;
            bytes += static_cast<char>((pending >> pending_bits) & 255U);
        }
    }
    const std::uint32_t unused = pending & ((1U << pending_bits) - 1U);
    if (pending_bits >= bits_per_digit || unused != 0) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace mangoquay::core
