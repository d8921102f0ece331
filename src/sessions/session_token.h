// Session tokens: the positions that a caller's session has reached, one per group, signed by the cluster.
//
// Binary form, base64url without padding: version (1 byte), key id (1), count (1), then per group: length of
// the name (1), name, term (4, big endian), log position (8, big endian); then the first 16 bytes of the
// HMAC-SHA256 over all of the above. A token that is damaged, oversized or signed by an unknown key does not
// verify, and reads with it are handled like reads without a token.
//
// Owns: the signing keys. Immutable after construction, so it can be used from any thread.
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

// Position that the session has reached, by group.
using session_positions = std::map<core::group_id, core::history_position>;

// Maximum length of an encoded token. Common load balancers accept 4 KiB of HTTP headers; the token must
// leave room for the others.
inline constexpr std::size_t max_token_bytes = 3072;
inline constexpr std::size_t signature_bytes = 16;

class token_codec {
public:
    // There must be at least one key. New tokens are signed with the first; all keys are accepted for
    // verification.
    explicit token_codec(std::vector<settings::signing_key> keys);

    // Returns nothing if the positions do not fit into a token.
    [[nodiscard]] std::optional<std::string> encode(const session_positions& positions) const;
    // Returns nothing unless the token is complete, undamaged and signed with a known key.
    [[nodiscard]] std::optional<session_positions> verify(std::string_view token) const;

private:
    std::vector<settings::signing_key> m_keys;
};

// Raises the position of `group` to `reached` if that is later; never lowers it.
void raise_position(session_positions& positions, const core::group_id& group,
                    const core::history_position& reached);

} // namespace mangoquay::sessions
