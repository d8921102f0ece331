// Compares with the history of configurations.
#include "soak/configuration_judge.h"

namespace mangoquay::soak {
namespace {

constexpr milliseconds apply_limit{3000};
// While the control cell is disturbed.
constexpr milliseconds longer_apply_limit{3000 + 12000};
constexpr milliseconds downgrade_slack{250};
constexpr milliseconds disturbed_downgrade_slack{2000};

} // namespace

void configuration_judge::check(const handled_session& session) {
    const document_version allowed = m_history.acknowledged_at(session.m_sent - apply_limit);
    if (m_history.explaining_version(session.m_database, session.m_handled, allowed)) {
        check_regress(session);
        return;
    }
    if (m_disturbances.entry_was_disturbed(session.m_entry, session.m_sent)) {
        const std::string text =
            session.m_entry.value() + " id=" + session.m_id + " " + m_describe(session.m_entry);
        m_violations.add_excused("the soak disturbed the entry host", text);
        return;
    }
    if (m_disturbances.control_was_disturbed(session.m_sent)) {
        const document_version longer = m_history.acknowledged_at(session.m_sent - longer_apply_limit);
        if (m_history.explaining_version(session.m_database, session.m_handled, longer)) {
            const std::string text =
                session.m_entry.value() + " id=" + session.m_id + " " + m_describe(session.m_entry);
            m_violations.add_excused("the soak disturbed the control cell", text);
            return;
        }
    }
    report(session, allowed, "handled as only an older version allows");
}

void configuration_judge::check_regress(const handled_session& session) {
    const auto explained =
        m_history.explaining_version(session.m_database, session.m_handled, document_version(0));
    const bool disturbed = m_disturbances.entry_was_disturbed(session.m_entry, session.m_sent);
    const steady_time known_before =
        session.m_sent - (disturbed ? disturbed_downgrade_slack : downgrade_slack);
    document_version floor(0);
    {
        const std::lock_guard lock(m_mutex);
        auto& known = m_known[{session.m_entry, session.m_boot}];
        for (const known_version& one : known) {
            floor = one.m_known_since < known_before ? std::max(floor, one.m_version) : floor;
        }
        if (explained && (known.empty() || known.back().m_version < *explained)) {
            known.push_back({*explained, steady_clock::now()});
        }
    }
    if (!m_history.explaining_version(session.m_database, session.m_handled, floor)) {
        report(session, floor, "the process went back to an older version");
    }
}

void configuration_judge::report(const handled_session& session, document_version allowed,
                                 const std::string& what) {
    const std::string handled = session.m_handled ? "run by " + session.m_handled->value() : "refused";
    const auto age = std::chrono::duration_cast<milliseconds>(steady_clock::now() - session.m_sent);
    m_violations.add({rule::configuration, session.m_id,
                      what + ": " + session.m_entry.value() + " " + session.m_database + " " + handled +
                          ", version " + std::to_string(allowed.value()) + " or newer is required, sent " +
                          std::to_string(age.count()) + " ms ago; " + m_describe(session.m_entry)});
}

void configuration_judge::check_read(const std::string& host, document_version version, steady_time sent) {
    const document_version allowed = m_history.acknowledged_at(sent - apply_limit);
    if (version < allowed) {
        m_violations.add({rule::configuration, host,
                          "a read returns version " + std::to_string(version.value()) + " though version " +
                              std::to_string(allowed.value()) + " was acknowledged more than 3 s before"});
    }
}

} // namespace mangoquay::soak
