// Run time averages per statement text.
#include "admission/run_time_model.h"

#include <algorithm>
#include <cctype>

namespace mangoquay::admission {
namespace {

constexpr std::size_t max_entries = 4096;
constexpr core::duration default_short_run = core::milliseconds(10);
constexpr core::duration default_long_run = core::milliseconds(500);
// A new run has the weight 1/n in its average: one average per text, one over all texts.
constexpr int per_text_divisor = 4;
constexpr int typical_divisor = 32;

core::duration moving_average(core::duration average, core::duration run, int divisor) {
    return average + (run - average) / divisor;
}

// FNV-1a: needs no table and gives the same value on every host.
constexpr std::uint64_t hash_start = 14695981039346656037U;
constexpr std::uint64_t hash_factor = 1099511628211U;

} // namespace

fingerprint fingerprint_of(std::string_view sql) {
    std::uint64_t hash = hash_start;
    const auto add = [&hash](char character) {
        hash = (hash ^ static_cast<unsigned char>(character)) * hash_factor;
    };
    for (std::size_t at = 0; at < sql.size(); ++at) {
        const auto character = static_cast<unsigned char>(sql[at]);
        if (character == '\'') {
            at = std::min(sql.find('\'', at + 1), sql.size());
            add('?');
        } else if (std::isdigit(character) != 0) {
            while (at + 1 < sql.size() && std::isdigit(static_cast<unsigned char>(sql[at + 1])) != 0) {
                ++at;
            }
            add('?');
        } else if (std::isspace(character) == 0) {
            add(static_cast<char>(std::tolower(character)));
        }
    }
    return fingerprint{hash};
}

core::duration run_time_model::expected(fingerprint text, core::work_class declared) const {
    const auto found = m_entries.find(static_cast<std::uint64_t>(text));
    if (found != m_entries.end()) {
        return found->second.m_average;
    }
    if (declared == core::work_class::long_work) {
        return default_long_run;
    }
    return m_typical_run > core::duration{} ? m_typical_run : default_short_run;
}

bool run_time_model::is_long(fingerprint text, core::work_class declared) const {
    return declared == core::work_class::long_work || expected(text, declared) >= long_threshold();
}

core::duration run_time_model::long_threshold() const {
    return std::max(min_long_run, m_typical_run * long_factor);
}

void run_time_model::observe(fingerprint text, core::duration run) {
    // Runs beyond the threshold do not raise the typical run time. Otherwise many slow statements would soon
    // be classified as short.
    if (m_typical_run == core::duration{} && run < min_long_run) {
        m_typical_run = run;
    } else if (run < long_threshold()) {
        m_typical_run = moving_average(m_typical_run, run, typical_divisor);
    }
    entry& found_entry = find_or_add(text, run);
    found_entry.m_average = moving_average(found_entry.m_average, run, per_text_divisor);
}

void run_time_model::observe_at_least(fingerprint text, core::duration run) {
    entry& found_entry = find_or_add(text, run);
    found_entry.m_average = std::max(found_entry.m_average, run);
}

run_time_model::entry& run_time_model::find_or_add(fingerprint text, core::duration first) {
    const auto key = static_cast<std::uint64_t>(text);
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        m_recency.splice(m_recency.begin(), m_recency, found->second.m_recency);
        return found->second;
    }
    if (m_entries.size() >= max_entries) {
        m_entries.erase(m_recency.back());
        m_recency.pop_back();
    }
    m_recency.push_front(key);
    return m_entries.emplace(key, entry{first, m_recency.begin()}).first->second;
}

} // namespace mangoquay::admission
