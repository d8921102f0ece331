// Accounts for the memory that clients make a process use, and decides what to do when it runs short.
//
// Decision core without sockets, clocks and logs. The shares of the callers, of the peers and of control
// calls come from one setting, so that all of them fit into the memory of the machine together with the
// program itself.
//
// Invariants:
// - m_held is the sum of what the holders and the closing connections of the kind hold;
// - m_large contains exactly the holders of at least small_holder_bytes().
#pragma once

#include "core/strong_value.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace mangoquay::transport {

using holder_id = core::strong_value<struct holder_id_tag, std::uint64_t>;

enum class memory_kind : std::uint8_t { callers, peers, control_calls };
inline constexpr std::size_t memory_kind_count = 3;

// What follows from the fill level of a share. Each level includes the measures of the ones before it.
enum class memory_pressure : std::uint8_t {
    none,
    stop_reading,  // Only small holders and the largest one may grow.
    close_largest, // Holders are closed, the largest first, until the pressure is none.
    refuse_new,    // No new holder is admitted.
};

struct memory_shares {
    std::size_t m_callers = 0; // Received and unsent bytes and statements of callers.
    // Session values and prepared statements. Each is held once by its session, and by a connection and its
    // send buffer while a statement of the session runs.
    std::size_t m_session_state = 0;
    std::size_t m_peers = 0;         // Frames from and to other hosts.
    std::size_t m_control_calls = 0; // Bodies and heads of HTTP calls.
};

// Shares of a process that has this much memory.
memory_shares entry_shares(std::uint32_t memory_mb);
memory_shares control_shares(std::uint32_t memory_mb);

class memory_account {
public:
    // At most `max_holders` callers hold memory at the same time.
    memory_account(const memory_shares& shares, std::size_t max_callers);

    // A holder now holds `after` bytes in place of `before`.
    void change(memory_kind kind, holder_id holder, std::size_t before, std::size_t after);
    [[nodiscard]] std::size_t held(memory_kind kind) const { return share(kind).m_held; }
    [[nodiscard]] memory_pressure pressure(memory_kind kind) const;
    // A holder below this size is neither stopped nor closed. All callers together can hold so much without
    // pressure.
    [[nodiscard]] std::size_t small_holder_bytes() const { return m_small_holder_bytes; }
    // Whether bytes may be read for a holder of this size.
    [[nodiscard]] bool may_grow(memory_kind kind, holder_id holder, std::size_t held_bytes) const;
    // The largest holder; empty if all are small.
    [[nodiscard]] std::optional<holder_id> largest(memory_kind kind) const;

private:
    struct kind_share {
        std::size_t m_limit = 0;
        std::size_t m_held = 0;
        std::set<std::pair<std::size_t, holder_id>> m_large; // By size.
    };

    [[nodiscard]] const kind_share& share(memory_kind kind) const {
        return m_shares.at(static_cast<std::size_t>(kind));
    }

    std::array<kind_share, memory_kind_count> m_shares;
    std::size_t m_small_holder_bytes;
};

} // namespace mangoquay::transport
