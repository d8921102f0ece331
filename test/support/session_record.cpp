// Checks what databases ran against what callers sent.
#include "support/session_record.h"

#include <algorithm>

namespace mangoquay::test {

std::uint64_t session_record::next_number() {
    const std::lock_guard lock(m_mutex);
    return ++m_last_number;
}

void session_record::add_sent(const std::string& id, sent_statement statement) {
    const std::lock_guard lock(m_mutex);
    m_sent[id] = std::move(statement);
}

void session_record::add_outcome(const std::string& id, bool succeeded, bool promised_not_kept) {
    const std::lock_guard lock(m_mutex);
    m_sent.at(id).m_succeeded = succeeded;
    m_sent.at(id).m_promised_not_kept = promised_not_kept;
}

void session_record::add_run(run_statement statement) {
    const std::lock_guard lock(m_mutex);
    if (statement.m_transaction != 0) {
        m_members[statement.m_transaction].insert(statement.m_id);
    }
    m_runs.push_back(std::move(statement));
}

void session_record::add_commit(made_commit commit) {
    const std::lock_guard lock(m_mutex);
    m_commits.push_back(std::move(commit));
}

void session_record::add_rejected(const std::string& line) {
    constexpr std::size_t max_described_bytes = 200;
    const std::lock_guard lock(m_mutex);
    if (m_rejected.empty()) {
        m_rejected = "a database rejected " + std::to_string(line.size()) +
                     " bytes: " + line.substr(0, max_described_bytes);
    }
}

bool session_record::has_run(const std::string& id) const {
    const std::lock_guard lock(m_mutex);
    return std::ranges::any_of(m_runs, [&](const run_statement& ran) { return ran.m_id == id; });
}

std::size_t session_record::run_count() const {
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

std::string session_record::check_run(const run_statement& ran) const {
    const auto found = m_sent.find(ran.m_id);
    if (found == m_sent.end()) {
        return "ran, but was not sent";
    }
    const sent_statement& sent = found->second;
    if (sent.m_text != ran.m_text) {
        return "ran as \"" + ran.m_text + "\" instead of \"" + sent.m_text + "\"";
    }
    if (sent.m_values != ran.m_values) {
        return "ran with other session values";
    }
    if (sent.m_transaction != 0 && ran.m_transaction == 0) {
        return "ran outside of its transaction";
    }
    if (ran.m_transaction == 0) {
        return "";
    }
    for (const std::string& other : m_members.at(ran.m_transaction)) {
        const auto member = m_sent.find(other);
        const bool together = other == ran.m_id || (sent.m_transaction != 0 && member != m_sent.end() &&
                                                    member->second.m_transaction == sent.m_transaction);
        if (!together) {
            return "ran in one transaction with " + other;
        }
    }
    return "";
}

std::string session_record::check_commit(const made_commit& commit) const {
    const auto found = m_sent.find(commit.m_id);
    if (found == m_sent.end()) {
        return "committed without a request";
    }
    const sent_statement& by = found->second;
    if (by.m_promised_not_kept && !commit.m_writes.empty()) {
        return "committed in spite of the promise that nothing is kept";
    }
    if (commit.m_transaction == 0) {
        return by.m_transaction == 0 ? "" : "committed a write of an open transaction by itself";
    }
    for (const auto& [id, sent] : m_sent) {
        const bool answered_by_database = sent.m_text.starts_with("READ") || sent.m_text.starts_with("WRITE");
        if (sent.m_transaction == by.m_transaction && sent.m_succeeded && answered_by_database &&
            !m_members.at(commit.m_transaction).contains(id)) {
            return "committed without " + id + " of the same transaction";
        }
    }
    return "";
}

std::string session_record::find_violation() const {
    const std::lock_guard lock(m_mutex);
    if (!m_rejected.empty()) {
        return m_rejected;
    }
    for (const run_statement& ran : m_runs) {
        if (const std::string found = check_run(ran); !found.empty()) {
            return ran.m_id + " " + found;
        }
    }
    std::map<std::string, int> commits;
    for (const made_commit& commit : m_commits) {
        if (const std::string found = check_commit(commit); !found.empty()) {
            return commit.m_id + " " + found;
        }
        if (++commits[commit.m_id] > 1) {
            return commit.m_id + " committed twice";
        }
    }
    return "";
}

} // namespace mangoquay::test
