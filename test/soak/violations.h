// Collects broken rules. Each is written to the record when it is found; the log lines that name its ids are
// printed at the end of the run, when all processes have written theirs.
#pragma once

#include "soak/run_record.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace mangoquay::soak {

// The last one is no rule of the bench: a valid statement is rejected. `customer` is about keys and names,
// `limit` about operations in a window.
enum class rule { unasked, pinned, twice, refused, mixed, configuration, stop, customer, limit, rejected };
std::string to_text(rule broken);

struct violation {
    rule m_rule = rule::unasked;
    std::string m_id; // The statement, session or version that the logs name.
    std::string m_text;
    std::string m_time{};
};

class violation_list {
public:
    explicit violation_list(run_record& record) : m_record(record) {}

    void add(violation found);
    // Counts a deviation that the rules allow because of a disturbance of the host concerned.
    void add_excused(const std::string& reason, const std::string& text);
    // Prints all violations with the log lines that name them, and the counts. Returns the number of
    // violations.
    std::size_t print() const;
    [[nodiscard]] std::size_t size() const;

private:
    run_record& m_record;
    mutable std::mutex m_mutex;
    std::vector<violation> m_found;               // Guarded by m_mutex.
    std::map<std::string, std::size_t> m_excused; // Number by reason. Guarded by m_mutex.
};

} // namespace mangoquay::soak
