// Session tokens: the positions that a caller's session has reached, one per group, signed by the cluster.
//
// Binary form, base64url without padding: version (1 byte), key id (1), count (1), then per group: length of
// the name (1), name, term (4, big endian), log position (8, big endian); then the first 16 bytes of the
// HMAC-SHA256 over all of the above. A token that is damaged, foreign or oversized verifies to nothing, so
// its reads go to the primary.
//
// Owns: the signing keys. Immutable after construction, so any thread may use it.
#pragma once

#include "core/history_position.h"
#include "core/ids.h"
#include "settings/settings.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::sessions {

// By group.
using session_positions = std::map<core::group_id, core::history_position>;

// HTTP headers of 4 KiB pass through common balancers; a token must fit with room for other headers.
inline constexpr std::size_t max_token_bytes = 3072;
inline constexpr std::size_t signature_bytes = 16;

class token_codec {
public:
    // At least one key; the first signs.
    explicit token_codec(std::vector<settings::signing_key> keys);

    // Nothing when the positions do not fit into a token.
    [[nodiscard]] std::optional<std::string> encode(const session_positions& positions) const;
    // Nothing unless the token is whole and signed by a known key.
    [[nodiscard]] std::optional<session_positions> verify(std::string_view token) const;

private:
    std::vector<settings::signing_key> m_keys;
};

// Raises the position of one group; never lowers one.
void raise_position(session_positions& positions, const core::group_id& group, const core::history_position& reached);

} // namespace mangoquay::sessions
