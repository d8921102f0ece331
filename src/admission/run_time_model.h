// Learned run time per statement text: a decayed average, and the class that follows from it.
//
// Owns: the averages. Deterministic; bounded in size, the least recently used texts are forgotten.
#pragma once

#include "core/clock.h"
#include "core/statement.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace mangoquay::admission {

// Identifies statements that differ only in their literals.
enum class fingerprint : std::uint64_t {};

// Digits, quoted text and spacing do not count: `WHERE id = 7` and `where id=12` have one fingerprint.
fingerprint fingerprint_of(std::string_view sql);

class run_time_model {
public:
    // Work is long when it runs at least this long and many times longer than the typical statement.
    static constexpr core::duration min_long_run = core::milliseconds(50);
    static constexpr int long_factor = 8;

    [[nodiscard]] core::duration expected(fingerprint text, core::work_class declared) const;
    // Declared long stays long; anything else is long only when it was seen to be.
    [[nodiscard]] bool is_long(fingerprint text, core::work_class declared) const;
    [[nodiscard]] core::duration long_threshold() const;
    // A run that ended.
    void observe(fingerprint text, core::duration run);
    // A run that has lasted `run` so far and goes on.
    void observe_at_least(fingerprint text, core::duration run);

private:
    struct entry {
        core::duration m_average{};
        std::list<std::uint64_t>::iterator m_recency;
    };

    entry& find_or_add(fingerprint text, core::duration first);

    std::unordered_map<std::uint64_t, entry> m_entries;
    std::list<std::uint64_t> m_recency; // most recently observed first
    core::duration m_typical_run{};     // decayed average over runs of short work
};

} // namespace mangoquay::admission
