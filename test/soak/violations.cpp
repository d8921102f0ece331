// Prints the violations.
#include "soak/violations.h"

#include <iostream>

namespace mangoquay::soak {
namespace {

constexpr std::size_t longest_text = 400;
constexpr std::size_t log_lines_shown = 20;
constexpr std::size_t violations_shown_per_rule = 8;

} // namespace

std::string to_text(rule broken) {
    switch (broken) {
    case rule::unasked:
        return "UNASKED";
    case rule::pinned:
        return "PINNED";
    case rule::twice:
        return "TWICE";
    case rule::refused:
        return "REFUSED";
    case rule::mixed:
        return "MIXED";
    case rule::configuration:
        return "CONFIG";
    case rule::stop:
        return "STOP";
    case rule::customer:
        return "CUSTOMER";
    case rule::limit:
        return "LIMIT";
    case rule::rejected:
        return "REJECTED";
    }
    return "?";
}

void violation_list::add(violation found) {
    found.m_time = time_of_day();
    found.m_id = to_printable(found.m_id);
    found.m_text = to_printable(found.m_text);
    if (found.m_text.size() > longest_text) {
        found.m_text.resize(longest_text);
    }
    m_record.write("VIOLATION " + to_text(found.m_rule) + " id=" + found.m_id + " " + found.m_text);
    const std::lock_guard lock(m_mutex);
    m_found.push_back(std::move(found));
}

void violation_list::add_excused(const std::string& reason, const std::string& text) {
    m_record.write("EXCUSED (" + reason + ") " + text);
    const std::lock_guard lock(m_mutex);
    ++m_excused[reason];
}

std::size_t violation_list::size() const {
    const std::lock_guard lock(m_mutex);
    return m_found.size();
}

std::size_t violation_list::print() const {
    const std::lock_guard lock(m_mutex);
    std::map<rule, std::size_t> counts;
    for (const violation& found : m_found) {
        if (++counts[found.m_rule] > violations_shown_per_rule) {
            continue;
        }
        std::cout << to_text(found.m_rule) << " seed=" << m_record.seed() << " " << found.m_time
                  << " id=" << found.m_id << " " << found.m_text << "\n";
        for (const std::string& line : m_record.lines_that_name(found.m_id, log_lines_shown)) {
            std::cout << "    " << line << "\n";
        }
    }
    for (const auto& [broken, count] : counts) {
        std::cout << "total " << to_text(broken) << " " << count << "\n";
    }
    for (const auto& [reason, count] : m_excused) {
        std::cout << "excused (" << reason << ") " << count << "\n";
    }
    return m_found.size();
}

} // namespace mangoquay::soak
