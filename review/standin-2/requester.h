// A session of a requester, after PROTOCOL.md.
#pragma once

#include "net.h"

#include <memory>

namespace review {

struct answer {
    bool complete = false; // READY has arrived.
    std::size_t rows = 0;
    std::size_t row_bytes = 0;
    std::size_t received = 0; // Bytes, of unfinished lines too.
    std::string outcome; // COMPLETE ... or ERROR ...
    bool success() const { return complete && outcome.starts_with("COMPLETE"); }
};

class session {
public:
    // A requester behind a line of `bytes_per_s`, unless that is 0.
    session(const address& at, const std::string& database, const std::string& user, milliseconds limit,
            std::size_t bytes_per_s = 0);
    bool is_open() const { return m_open; }
    answer query(const std::string& id, const std::string& text, milliseconds limit);
    bool ended() const { return m_peer->ended(); }

private:
    std::unique_ptr<stream> m_peer;
    bool m_open = false;
};

// 16 hexadecimal digits.
std::string new_id();

} // namespace review
