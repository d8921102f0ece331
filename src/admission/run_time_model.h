// Learns the run time per statement text as a decayed average, and classifies statements as short or long.
//
// Owns the averages. Deterministic. Its size is bounded: the least recently observed texts are evicted.
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

// Digits, quoted text, white space and letter case are ignored: `WHERE id = 7` and `where id=12` have the
// same fingerprint.
fingerprint fingerprint_of(std::string_view sql);

class run_time_model {
public:
    // A statement is long if it runs for at least min_long_run and at least long_factor times the typical run
    // time.
    static constexpr core::duration min_long_run = core::milliseconds(50);
    static constexpr int long_factor = 8;

    // The average of the observed runs of the text, or a default for the declared class if there are none.
    [[nodiscard]] core::duration expected(fingerprint text, core::work_class declared) const;
    // A statement declared as long is long; any other is long only if its observed run times are.
    [[nodiscard]] bool is_long(fingerprint text, core::work_class declared) const;
    [[nodiscard]] core::duration long_threshold() const;
    // Records the duration of a completed run.
    void observe(fingerprint text, core::duration run);
    // Records a run that is still in progress after `run`.
    void observe_at_least(fingerprint text, core::duration run);

private:
    struct entry {
        core::duration m_average{};
        std::list<std::uint64_t>::iterator m_recency;
    };

    entry& find_or_add(fingerprint text, core::duration first);

    std::unordered_map<std::uint64_t, entry> m_entries;
    std::list<std::uint64_t> m_recency; // Fingerprints, most recently observed first.
    core::duration m_typical_run{};     // Decayed average over the runs of short statements.
};

} // namespace mangoquay::admission
