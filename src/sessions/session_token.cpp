// Encoding and verification of session tokens.
#include "sessions/session_token.h"

#include "core/digest.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace mangoquay::sessions {
namespace {

constexpr char token_version = 1;
constexpr std::size_t max_entries = 255;
constexpr std::size_t max_group_name_bytes = 255;

template <class Unsigned>
void append_big_endian(std::string& bytes, Unsigned value) {
    for (std::size_t shift = sizeof(Unsigned) * 8; shift > 0; shift -= 8) {
        bytes += static_cast<char>((value >> (shift - 8)) & 0xFFU);
    }
}

// Reads values from the front of a byte string. m_failed is set once a read exceeds the remaining bytes.
struct byte_reader {
    std::string_view m_rest;
    bool m_failed = false;

    std::string_view take(std::size_t count) {
        if (count > m_rest.size()) {
            m_failed = true;
            return {};
        }
        const std::string_view taken = m_rest.substr(0, count);
        m_rest.remove_prefix(count);
        return taken;
    }

    template <class Unsigned>
    Unsigned number() {
        Unsigned value = 0;
        for (const char byte : take(sizeof(Unsigned))) {
            value = static_cast<Unsigned>((static_cast<std::uint64_t>(value) << 8U) |
                                          static_cast<unsigned char>(byte));
        }
        return value;
    }
};

std::string signature_of(const std::string& key, std::string_view body) {
    return core::hmac_sha256(key, body).substr(0, signature_bytes);
}

std::optional<session_positions> decode_entries(byte_reader reader) {
    session_positions positions;
    const std::size_t count = reader.number<std::uint8_t>();
    for (std::size_t index = 0; index < count && !reader.m_failed; ++index) {
        const core::group_id group(std::string(reader.take(reader.number<std::uint8_t>())));
        core::history_position position;
        position.m_term = core::term(reader.number<std::uint32_t>());
        position.m_position = core::log_position(reader.number<std::uint64_t>());
        positions[group] = position;
    }
    if (reader.m_failed || !reader.m_rest.empty() || positions.size() != count) {
        return std::nullopt;
    }
    return positions;
}

} // namespace

token_codec::token_codec(std::vector<settings::signing_key> keys) : m_keys(std::move(keys)) {
    if (m_keys.empty()) {
        std::abort(); // The settings of every proxy must contain a key.
    }
}

std::optional<std::string> token_codec::encode(const session_positions& positions) const {
    if (positions.size() > max_entries) {
        return std::nullopt;
    }
    std::string bytes{token_version, static_cast<char>(m_keys.front().m_id),
                      static_cast<char>(positions.size())};
    for (const auto& [group, position] : positions) {
        if (group.value().size() > max_group_name_bytes) {
            return std::nullopt;
        }
        bytes += static_cast<char>(group.value().size());
        bytes += group.value();
        append_big_endian(bytes, position.m_term.value());
        append_big_endian(bytes, position.m_position.value());
    }
    bytes += signature_of(m_keys.front().m_key, bytes);
    std::string token = core::to_base64url(bytes);
    if (token.size() > max_token_bytes) {
        return std::nullopt;
    }
    return token;
}

std::optional<session_positions> token_codec::verify(std::string_view token) const {
    if (token.size() > max_token_bytes) {
        return std::nullopt;
    }
    const std::optional<std::string> bytes = core::from_base64url(token);
    if (!bytes || bytes->size() < signature_bytes + 3 || bytes->front() != token_version) {
        return std::nullopt;
    }
    const std::string_view body = std::string_view(*bytes).substr(0, bytes->size() - signature_bytes);
    const std::string_view signature = std::string_view(*bytes).substr(body.size());
    const auto key = std::find_if(m_keys.begin(), m_keys.end(), [&body](const settings::signing_key& each) {
        return each.m_id == static_cast<std::uint8_t>(body[1]);
    });
    if (key == m_keys.end() || !core::equal_in_constant_time(signature, signature_of(key->m_key, body))) {
        return std::nullopt;
    }
    return decode_entries(byte_reader{body.substr(2)});
}

void raise_position(session_positions& positions, const core::group_id& group,
                    const core::history_position& reached) {
    core::history_position& known = positions[group];
    known = std::max(known, reached);
}

} // namespace mangoquay::sessions
