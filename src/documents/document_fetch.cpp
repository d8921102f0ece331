// Choice of the control host to fetch from.
#include "documents/document_fetch.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace mangoquay::documents {

void document_fetch::on_version_announced(const core::entry_host_id& host, document_version version) {
    m_announced_versions[host] = version;
}

void document_fetch::on_current_version_confirmed(document_version version) {
    if (!m_confirmed_version) {
        m_confirmed_version = version;
    }
}

bool document_fetch::usable(document_version version, document_version held) const {
    const bool is_first = held == document_version{};
    return version > held && (!is_first || (m_confirmed_version && version >= *m_confirmed_version));
}

void document_fetch::remove_host(const core::entry_host_id& host) {
    m_announced_versions.erase(host);
    m_unanswered_counts.erase(host);
}

void document_fetch::on_document_arrived(core::time_point now) {
    m_queried_host.reset();
    m_unanswered_counts.clear();
    m_not_before = core::deadline_after(now, fetch_pause);
}

std::optional<core::entry_host_id> document_fetch::next_host(document_version held, core::time_point now) {
    if (!m_not_before.passed(now)) {
        return std::nullopt;
    }
    if (m_queried_host) {
        ++m_unanswered_counts[*m_queried_host];
        m_queried_host.reset();
    }
    std::vector<std::pair<core::entry_host_id, document_version>> candidates;
    std::ranges::copy_if(m_announced_versions, std::back_inserter(candidates),
                         [&](const auto& entry) { return usable(entry.second, held); });
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto rank = [this](const auto& entry) {
        const auto unanswered = m_unanswered_counts.find(entry.first);
        return std::tuple(unanswered == m_unanswered_counts.end() ? 0U : unanswered->second,
                          UINT64_MAX - entry.second.value(),
                          std::hash<std::string>{}(m_self.value() + entry.first.value()));
    };
    const auto best = std::ranges::min_element(candidates, {}, rank);
    m_queried_host = best->first;
    m_not_before = core::deadline_after(now, fetch_timeout);
    return m_queried_host;
}

document_version document_fetch::announced_version(const core::entry_host_id& host) const {
    const auto found = m_announced_versions.find(host);
    return found == m_announced_versions.end() ? document_version{} : found->second;
}

core::deadline document_fetch::next_attempt(document_version held) const {
    const bool is_announced = std::ranges::any_of(
        m_announced_versions, [&](const auto& entry) { return usable(entry.second, held); });
    return is_announced ? m_not_before : core::deadline{core::time_point::max()};
}

} // namespace mangoquay::documents
