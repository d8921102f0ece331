// Guards against an acknowledgement by a proxy that the leader has counted out: a proxy that relies on a
// lease while a revision that it has not applied is taken to be in force everywhere.
#include "membership/lease_table.h"
#include "membership/proxy_lease.h"
#include "support/scripted_property.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::membership;
using core::milliseconds;
using mangoquay::testing::script;

namespace {

enum class fault { none, lease_from_receipt, applied_overstated, no_grace_after_election, slow_clock };

// Three proxies, a leader that is replaced now and then, and messages that are delayed, duplicated and
// reordered. Each proxy's clock runs up to 10 % slower or faster than the leader's; freezes are long steps.
class lease_model {
public:
    lease_model(script& steps, fault planted) : m_steps(steps), m_planted(planted) {
        m_state.m_revision = core::revision{1};
        for (std::uint32_t index = 0; index < 3; ++index) {
            const core::entry_host_id host{"p" + std::to_string(index)};
            // Relative to the leader's: 1/1.1 to 1.1.
            const double slowest = planted == fault::slow_clock ? 0.8 : 0.9091;
            const double rate = slowest + 0.01 * steps.below(20);
            m_proxies.emplace(host, proxy{host, rate, proxy_lease{core::incarnation{1}}, {}, {}});
            m_state.m_proxies[host].m_incarnation = core::incarnation{1};
        }
        m_leader.elected(m_now, m_state);
    }

    std::string run() {
        while (!m_steps.finished()) {
            step();
            for (const auto& [host, proxy] : m_proxies) {
                if (!holds_lease(proxy)) {
                    continue;
                }
                if (!m_leader.lease_counts(m_now, host)) {
                    return "a proxy holds a lease that the leader has counted as lapsed";
                }
                if (proxy.m_applied < m_in_force) {
                    return "a proxy holds a lease and has not applied a revision that is in force everywhere";
                }
            }
        }
        return "";
    }

private:
    struct proxy {
        core::entry_host_id m_host;
        double m_rate = 1;
        proxy_lease m_lease;
        core::revision m_applied;
        core::deadline m_naive_until;
    };

    [[nodiscard]] core::time_point local(const proxy& of) const {
        const auto since = static_cast<double>(m_now.time_since_epoch().count()) * of.m_rate;
        return core::time_point{core::duration{static_cast<core::duration::rep>(since)}};
    }

    [[nodiscard]] bool holds_lease(const proxy& of) const {
        return m_planted == fault::lease_from_receipt ? !of.m_naive_until.passed(local(of))
                                                      : of.m_lease.valid(local(of));
    }

    void step() {
        proxy& chosen = std::next(m_proxies.begin(), m_steps.below(3))->second;
        switch (m_steps.below(10)) {
        case 0:
        case 1:
            m_now += milliseconds(m_steps.below(150));
            break;
        case 2:
            m_now += milliseconds(m_steps.one_in(8) ? m_steps.below(3000) : 10);
            break;
        case 3:
        case 4:
            send_heartbeat(chosen);
            break;
        case 5:
        case 6:
            deliver_heartbeat();
            break;
        case 7:
            deliver_grant();
            break;
        case 8:
            chosen.m_applied =
                std::max(chosen.m_applied, core::revision{m_state.m_revision.value() - m_steps.below(2)});
            break;
        default:
            control_step();
        }
    }

    void send_heartbeat(proxy& from) {
        heartbeat beat;
        beat.m_host = from.m_host;
        beat.m_incarnation = from.m_lease.present_incarnation();
        beat.m_number = from.m_lease.heartbeat_sent(local(from));
        beat.m_applied = m_planted == fault::applied_overstated ? core::revision{1U << 30U} : from.m_applied;
        m_heartbeats.push_back(beat);
    }

    template <class Message>
    std::optional<Message> take(std::vector<Message>& pool) {
        if (pool.empty()) {
            return std::nullopt;
        }
        // Mostly one of the latest; any of them now and then.
        const auto back = std::min<std::size_t>(pool.size(), m_steps.one_in(5) ? pool.size() : 3);
        const auto index = pool.size() - 1 - m_steps.below(static_cast<std::uint32_t>(back));
        const Message message = pool[index];
        if (!m_steps.one_in(4)) {
            pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(index));
        }
        return message;
    }

    void deliver_heartbeat() {
        const auto beat = take(m_heartbeats);
        if (beat && m_leader.heartbeat(m_now, m_state, *beat, true)) {
            m_grants.push_back({beat->m_host, beat->m_incarnation, beat->m_number, true, {}});
        }
    }

    void deliver_grant() {
        const auto grant = take(m_grants);
        if (!grant) {
            return;
        }
        proxy& to = m_proxies.at(grant->m_host);
        to.m_lease.granted(grant->m_incarnation, grant->m_number);
        to.m_naive_until = core::deadline_after(local(to), lease_length);
    }

    void control_step() {
        if (m_steps.one_in(6)) {
            m_leader = lease_table{};
            const control::control_state nobody;
            const bool grace = m_planted != fault::no_grace_after_election;
            m_leader.elected(m_now, grace ? m_state : nobody);
            return;
        }
        m_state.m_revision = core::revision{m_state.m_revision.value() + 1};
        if (m_leader.revision_in_force_everywhere(m_now, m_state, m_state.m_revision)) {
            m_in_force = std::max(m_in_force, m_state.m_revision);
        }
    }

    script& m_steps;
    fault m_planted;
    core::time_point m_now{std::chrono::hours(1)};
    control::control_state m_state;
    std::map<core::entry_host_id, proxy> m_proxies;
    lease_table m_leader;
    std::vector<heartbeat> m_heartbeats;
    std::vector<grant_lease> m_grants;
    core::revision m_in_force;
};

} // namespace

class membership_leases : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_leases);
    CPPUNIT_TEST(no_lease_outlives_the_leaders_count);
    CPPUNIT_TEST(planted_faults_are_caught);
    CPPUNIT_TEST(a_proxy_that_stops_applying_loses_its_lease);
    CPPUNIT_TEST_SUITE_END();

    static auto with(fault planted) {
        return [planted](script& steps) { return lease_model(steps, planted).run(); };
    }

public:
    void no_lease_outlives_the_leaders_count() {
        CPPUNIT_ASSERT(testing::holds(with(fault::none), {1000, 600}));
    }

    void planted_faults_are_caught() {
        CPPUNIT_ASSERT(testing::violated(with(fault::lease_from_receipt), {1000, 600}));
        CPPUNIT_ASSERT(testing::violated(with(fault::applied_overstated), {1000, 600}));
        CPPUNIT_ASSERT(testing::violated(with(fault::no_grace_after_election), {1000, 600}));
        CPPUNIT_ASSERT(testing::violated(with(fault::slow_clock), {1000, 600}));
    }

    void a_proxy_that_stops_applying_loses_its_lease() {
        control::control_state state;
        const core::entry_host_id host{"p"};
        state.m_proxies[host].m_incarnation = core::incarnation{1};
        core::time_point now{};
        lease_table leader;
        leader.elected(now, state);
        heartbeat beat;
        beat.m_host = host;
        beat.m_incarnation = core::incarnation{1};
        CPPUNIT_ASSERT(leader.heartbeat(now, state, beat, true));
        state.m_revision = core::revision{1};
        const auto granted_after = [&](milliseconds later) {
            return leader.heartbeat(now + later, state, beat, true);
        };
        CPPUNIT_ASSERT(granted_after(heartbeat_period));
        CPPUNIT_ASSERT(granted_after(longest_apply_delay));
        CPPUNIT_ASSERT(!granted_after(longest_apply_delay + 2 * heartbeat_period));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_leases);
