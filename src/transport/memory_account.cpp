// Shares, fill levels and the order of holders.
#include "transport/memory_account.h"

#include <algorithm>

namespace mangoquay::transport {
namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
// The program with its connections used 12 MB with 300 sessions. Decoding a message of 1 MiB and passing it
// on makes up to 8 copies of it, one message at a time.
constexpr std::size_t program_bytes = 20 * mebibyte;
// Fill levels in percent of a share. A connection grows by at most a few messages between two checks.
constexpr std::size_t stop_reading_percent = 60;
constexpr std::size_t close_largest_percent = 80;
constexpr std::size_t refuse_new_percent = 90;
// Small holders alone fill at most this part of the callers' share.
constexpr std::size_t small_holders_percent = 40;
constexpr std::size_t min_small_holder_bytes = 4096;
constexpr std::size_t max_small_holder_bytes = 32768;

std::size_t available_bytes(std::uint32_t memory_mb) {
    const std::size_t memory = memory_mb * mebibyte;
    return std::max(memory > program_bytes ? memory - program_bytes : 0, memory / 4);
}

std::size_t percent_of(std::size_t total, std::size_t percent) {
    return total / 100 * percent;
}

} // namespace

memory_shares entry_shares(std::uint32_t memory_mb) {
    const std::size_t available = available_bytes(memory_mb);
    return {.m_callers = available / 100 * 70,
            .m_session_state = available / 8, // Held up to twice.
            .m_peers = available / 20};
}

memory_shares control_shares(std::uint32_t memory_mb) {
    const std::size_t available = available_bytes(memory_mb);
    return {.m_peers = available / 2, .m_control_calls = available / 4};
}

memory_account::memory_account(const memory_shares& shares, std::size_t max_callers)
    : m_shares{{{.m_limit = shares.m_callers},
                {.m_limit = shares.m_peers},
                {.m_limit = shares.m_control_calls}}},
      m_small_holder_bytes(std::clamp(percent_of(shares.m_callers, small_holders_percent) /
                                          std::max<std::size_t>(max_callers, 1),
                                      min_small_holder_bytes, max_small_holder_bytes)) {}

void memory_account::change(memory_kind kind, holder_id holder, std::size_t before, std::size_t after) {
    kind_share& changed = m_shares.at(static_cast<std::size_t>(kind));
    changed.m_held = changed.m_held - before + after;
    if (before >= m_small_holder_bytes) {
        changed.m_large.erase({before, holder});
    }
    if (after >= m_small_holder_bytes) {
        changed.m_large.insert({after, holder});
    }
}

memory_pressure memory_account::pressure(memory_kind kind) const {
    const kind_share& asked = share(kind);
    const auto reaches = [&asked](std::size_t percent) {
        return asked.m_held >= percent_of(asked.m_limit, percent);
    };
    if (reaches(refuse_new_percent)) {
        return memory_pressure::refuse_new;
    }
    if (reaches(close_largest_percent)) {
        return memory_pressure::close_largest;
    }
    return reaches(stop_reading_percent) ? memory_pressure::stop_reading : memory_pressure::none;
}

bool memory_account::may_grow(memory_kind kind, holder_id holder, std::size_t held_bytes) const {
    return held_bytes < m_small_holder_bytes || pressure(kind) == memory_pressure::none ||
           largest(kind) == holder;
}

std::optional<holder_id> memory_account::largest(memory_kind kind) const {
    const kind_share& asked = share(kind);
    return asked.m_large.empty() ? std::nullopt : std::optional(asked.m_large.rbegin()->second);
}

} // namespace mangoquay::transport
