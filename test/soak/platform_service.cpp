// The log of a service and its promotions.
#include "soak/platform_service.h"

#include "soak/platform_database.h"

#include <algorithm>

namespace mangoquay::soak {

std::string to_text(const log_place& place) {
    return std::to_string(place.m_term) + "." + std::to_string(place.m_number);
}

std::optional<log_place> parse_log_place(const std::string& text) {
    log_place parsed;
    const auto dot = text.find('.');
    if (dot == std::string::npos) {
        return std::nullopt;
    }
    parsed.m_term = static_cast<std::uint32_t>(std::strtoul(text.c_str(), nullptr, 10));
    parsed.m_number = std::strtoull(text.c_str() + dot + 1, nullptr, 10);
    return parsed;
}

platform_service::platform_service(core::service_name name, run_record& record, statement_judge& judge,
                                   const customer_judge& customers)
    : m_name(std::move(name)), m_limits(), m_record(record), m_judge(judge), m_customers(customers) {}

platform_service::~platform_service() {
    stop();
}

void platform_service::add_database(const std::string& id, const ip_endpoint& address, host_fleet& fleet,
                                    bool is_primary) {
    auto added = std::make_unique<platform_database>(*this, fleet, id, address, is_primary);
    platform_database& database = *added;
    {
        const std::lock_guard lock(m_mutex);
        m_databases.push_back(std::move(added));
    }
    database.start();
}

platform_database* platform_service::find(const std::string& id) {
    for (platform_database* one : databases()) {
        if (one->id() == id) {
            return one;
        }
    }
    return nullptr;
}

std::vector<platform_database*> platform_service::databases() {
    const std::lock_guard lock(m_mutex);
    std::vector<platform_database*> all;
    for (const auto& one : m_databases) {
        all.push_back(one.get());
    }
    return all;
}

bool platform_service::is_up(const std::string& id) {
    const platform_database* found = find(id);
    const std::lock_guard lock(m_mutex);
    return found != nullptr && found->m_state.m_is_up;
}

void platform_service::stop() {
    for (platform_database* one : databases()) {
        one->stop();
    }
}

std::uint64_t platform_service::count_until(steady_time time) const {
    const auto later = std::ranges::upper_bound(m_log, time, {}, &logged_commit::m_time);
    return static_cast<std::uint64_t>(later - m_log.begin());
}

void platform_service::receive(member_state& member) const {
    if (member.m_is_primary) {
        member.m_received = m_log.size();
    } else if (member.m_is_up && !member.m_is_paused) {
        member.m_received =
            std::max(member.m_received, count_until(steady_clock::now() - m_limits.m_receive));
        member.m_term = m_term;
    }
}

bool platform_service::lacks(const member_state& member, const log_place& wanted) const {
    if (wanted.m_term > member.m_term) {
        return true;
    }
    const auto later = m_term_starts.upper_bound(wanted.m_term);
    if (later != m_term_starts.end() && wanted.m_number > later->second) {
        return true; // A promotion has rolled that part of the log back.
    }
    const std::uint64_t applied =
        member.m_is_primary
            ? m_log.size()
            : std::min(member.m_received, count_until(steady_clock::now() - m_limits.m_apply));
    return wanted.m_number > applied;
}

std::string platform_service::read(const member_state& member, const std::string& item) const {
    if (member.m_is_primary) {
        const auto found = m_newest.find(item);
        return found == m_newest.end() ? "-" : found->second;
    }
    const std::uint64_t applied =
        std::min(member.m_received, count_until(steady_clock::now() - m_limits.m_apply));
    constexpr std::uint64_t searched_commits = 2000;
    for (std::uint64_t at = applied; at > 0 && at + searched_commits > applied; --at) {
        for (const auto& [written, data] : m_log[at - 1].m_data) {
            if (written == item) {
                return data;
            }
        }
    }
    return "-";
}

log_place platform_service::commit(member_state& member, logged_commit added) {
    added.m_time = steady_clock::now();
    for (const auto& [item, data] : added.m_data) {
        m_newest[item] = data;
    }
    m_judge.add_committed(added.m_id);
    m_log.push_back(std::move(added));
    receive(member);
    return place_of(member);
}

void platform_service::promote(const std::string& id) {
    platform_database* target = find(id);
    const std::lock_guard lock(m_mutex);
    if (target == nullptr || !target->m_state.m_is_up || target->m_state.m_is_primary) {
        return;
    }
    const std::uint64_t kept = target->m_state.m_received;
    for (std::uint64_t at = kept; at < m_log.size(); ++at) {
        m_judge.add_rolled_back(m_log[at].m_id);
    }
    m_record.write("database " + id + " is promoted to term " + std::to_string(m_term + 1) + ", " +
                   std::to_string(m_log.size() - kept) + " commits are rolled back");
    m_log.resize(kept);
    m_newest.clear();
    for (const logged_commit& commit : m_log) {
        for (const auto& [item, data] : commit.m_data) {
            m_newest[item] = data;
        }
    }
    m_term_starts[++m_term] = kept;
    for (const auto& one : m_databases) {
        member_state& state = one->m_state;
        state.m_report_now = state.m_report_now || state.m_is_primary;
        state.m_is_primary = one.get() == target;
        state.m_is_paused = false;
        state.m_received = std::min(state.m_received, kept);
    }
    target->m_state.m_term = m_term;
    target->m_state.m_report_now = true;
    m_changed.notify_all();
}

} // namespace mangoquay::soak
