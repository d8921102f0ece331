// Choice of the control host.
#include "documents/document_fetch.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>

namespace mangoquay::documents {

void document_fetch::announced(const core::entry_host_id& host, document_version version) {
    document_version& known = m_announced[host];
    known = std::max(known, version);
}

void document_fetch::forget(const core::entry_host_id& host) {
    m_announced.erase(host);
    m_unanswered.erase(host);
}

void document_fetch::arrived(core::time_point now) {
    m_asked.reset();
    m_unanswered.clear();
    m_not_before = core::deadline_after(now, fetch_pause);
}

std::optional<core::entry_host_id> document_fetch::next(document_version held, core::time_point now) {
    if (!m_not_before.passed(now)) {
        return std::nullopt;
    }
    if (m_asked) {
        ++m_unanswered[*m_asked];
        m_asked.reset();
    }
    const auto rank = [this](const auto& one) {
        const auto missed = m_unanswered.find(one.first);
        return std::tuple(missed == m_unanswered.end() ? 0U : missed->second, UINT64_MAX - one.second.value(),
                          std::hash<std::string>{}(m_self.value() + one.first.value()));
    };
    const auto best = std::ranges::min_element(m_announced, {}, rank);
    const bool news = std::ranges::any_of(m_announced, [held](const auto& one) { return one.second > held; });
    if (!news) {
        return std::nullopt;
    }
    m_asked = best->first;
    m_not_before = core::deadline_after(now, fetch_limit);
    return m_asked;
}

core::deadline document_fetch::again(document_version held) const {
    const bool news = std::ranges::any_of(m_announced, [held](const auto& one) { return one.second > held; });
    return news ? m_not_before : core::deadline{core::time_point::max()};
}

} // namespace mangoquay::documents
