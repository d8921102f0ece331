// Probes.
#include "soak/platform_probes.h"

#include <algorithm>

namespace mangoquay::soak {
namespace {

constexpr milliseconds interval{200};
constexpr milliseconds call_limit{900};
constexpr std::size_t remembered_names = 14;

} // namespace

void platform_probe::run() {
    while (!m_world.m_stopped) {
        const steady_time next = steady_clock::now() + interval;
        probe();
        std::this_thread::sleep_until(next);
    }
}

std::string platform_probe::draw_database() {
    for (const auto& [database, service] : m_world.m_history.newest_routes()) {
        if (database.starts_with("moving") && std::ranges::find(m_known, database) == m_known.end()) {
            m_known.push_back(database);
        }
    }
    if (m_known.empty()) {
        return "base0-" + m_world.m_services.front()->m_name.value();
    }
    if (m_known.size() > remembered_names) {
        m_known.erase(m_known.begin(), m_known.end() - static_cast<std::ptrdiff_t>(remembered_names));
    }
    return m_known.at(m_random() % m_known.size());
}

void platform_probe::probe() {
    sent_statement sent{m_world.next_statement_id(), statement_kind::read, "READ i1"};
    sent.m_database = draw_database();
    sent.m_entry = m_host.m_name;
    sent.m_key = m_world.m_customers.probe_key();
    sent.m_values = std::make_shared<session_values>();
    sent.m_began = steady_clock::now();
    const boot_number boot = m_world.m_disturbances.boot_of(m_host.m_name);
    m_world.m_judge.add_sent(sent);
    platform_session session;
    auto answer =
        session.open(m_world.m_fleet.caller_address(m_host), sent.m_database, sent.m_key, call_limit);
    if (answer.is_success()) {
        answer = session.query(sent.m_id, sent.m_text, call_limit);
    }
    m_world.m_record.write("probe id=" + sent.m_id.value() + " " + m_host.m_name.value() + " " +
                           sent.m_database + " " +
                           (answer.is_success()    ? "served"
                            : answer.m_is_complete ? answer.m_error
                                                   : "none"));
    if (answer.is_success()) {
        m_world.m_judge.check_success(sent.m_id, answer.m_rows + answer.m_signature);
    }
    if (answer.m_is_complete && answer.m_error == "NOAUTH") {
        m_world.m_customer_judge.check_refused({sent.m_entry, sent.m_key, sent.m_id.value(), sent.m_began});
    }
    if (answer.m_is_complete && answer.m_error == "NODB") {
        m_world.m_configuration_judge.check(
            {m_host.m_name, boot, sent.m_id.value(), sent.m_database, std::nullopt, sent.m_began});
    }
    session.terminate();
}

} // namespace mangoquay::soak
