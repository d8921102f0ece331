// Guards against a proxy that relies on its lease after the leader considers it expired. Such a proxy could
// acknowledge writes although a revision that it has not applied is considered to be in effect on all
// proxies.
#include "membership/lease_table.h"
#include "membership/proxy_lease.h"
#include "support/scripted_property.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::membership;
using core::milliseconds;
using mangoquay::testing::script;

namespace {

enum class fault {
    none,
    lease_starts_at_grant_receipt,
    applied_overstated,
    no_grace_after_election,
    clock_rate_beyond_limit
};

// Models three proxies, a leader that is replaced occasionally, and messages that are delayed, duplicated and
// reordered. Each proxy's clock runs up to 10 % slower or faster than the leader's. Long steps model pauses.
class lease_model {
public:
    lease_model(script& steps, fault injected_fault) : m_steps(steps), m_injected_fault(injected_fault) {
        m_state.m_revision = core::revision{1};
        for (std::uint32_t index = 0; index < 3; ++index) {
            const core::entry_host_id host{"p" + std::to_string(index)};
            // Rate relative to the leader's clock: 1/1.1 to 1.1.
            const double slowest = injected_fault == fault::clock_rate_beyond_limit ? 0.8 : 0.9091;
            const double rate = slowest + 0.01 * steps.next_below(20);
            m_proxies.emplace(host, proxy{host, rate, proxy_lease{core::incarnation{1}}, {}, {}});
            m_state.m_proxies[host].m_incarnation = core::incarnation{1};
        }
        m_leader.on_elected(m_now, m_state);
    }

    std::string run() {
        while (!m_steps.finished()) {
            step();
            for (const auto& [host, proxy] : m_proxies) {
                if (!holds_lease(proxy)) {
                    continue;
                }
                if (!m_leader.may_hold_lease(m_now, host)) {
                    return "a proxy holds a lease that the leader considers expired";
                }
                if (proxy.m_applied < m_applied_everywhere) {
                    return "a proxy holds a lease and has not applied a revision that is in effect on all "
                           "proxies";
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
        core::deadline m_valid_from_receipt_until;
    };

    [[nodiscard]] core::time_point local_time(const proxy& holder) const {
        const auto since = static_cast<double>(m_now.time_since_epoch().count()) * holder.m_rate;
        return core::time_point{core::duration{static_cast<core::duration::rep>(since)}};
    }

    [[nodiscard]] bool holds_lease(const proxy& holder) const {
        return m_injected_fault == fault::lease_starts_at_grant_receipt
                   ? !holder.m_valid_from_receipt_until.passed(local_time(holder))
                   : holder.m_lease.valid(local_time(holder));
    }

    void step() {
        proxy& chosen = std::next(m_proxies.begin(), m_steps.next_below(3))->second;
        switch (m_steps.next_below(10)) {
        case 0:
        case 1:
            m_now += milliseconds(m_steps.next_below(150));
            break;
        case 2:
            m_now += milliseconds(m_steps.one_in(8) ? m_steps.next_below(3000) : 10);
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
            chosen.m_applied = std::max(chosen.m_applied,
                                        core::revision{m_state.m_revision.value() - m_steps.next_below(2)});
            break;
        default:
            control_step();
        }
    }

    void send_heartbeat(proxy& from) {
        heartbeat beat;
        beat.m_host = from.m_host;
        beat.m_incarnation = from.m_lease.present_incarnation();
        beat.m_number = from.m_lease.record_heartbeat_sent(local_time(from));
        beat.m_applied =
            m_injected_fault == fault::applied_overstated ? core::revision{1U << 30U} : from.m_applied;
        m_heartbeats.push_back(beat);
    }

    template <class Message>
    std::optional<Message> take_message(std::vector<Message>& pool) {
        if (pool.empty()) {
            return std::nullopt;
        }
        // Usually takes one of the three latest messages, and any message in one of five cases.
        const auto back = std::min<std::size_t>(pool.size(), m_steps.one_in(5) ? pool.size() : 3);
        const auto index = pool.size() - 1 - m_steps.next_below(static_cast<std::uint32_t>(back));
        const Message message = pool[index];
        if (!m_steps.one_in(4)) {
            pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(index));
        }
        return message;
    }

    void deliver_heartbeat() {
        const auto beat = take_message(m_heartbeats);
        if (beat && m_leader.on_heartbeat(m_now, m_state, *beat, true)) {
            m_grants.push_back({beat->m_host, beat->m_incarnation, beat->m_number, true, {}});
        }
    }

    void deliver_grant() {
        const auto grant = take_message(m_grants);
        if (!grant) {
            return;
        }
        proxy& to = m_proxies.at(grant->m_host);
        to.m_lease.on_lease_granted(grant->m_incarnation, grant->m_number);
        to.m_valid_from_receipt_until = core::deadline_after(local_time(to), lease_length);
    }

    void control_step() {
        if (m_steps.one_in(6)) {
            m_leader = lease_table{};
            const control::control_state empty_state;
            const bool grace = m_injected_fault != fault::no_grace_after_election;
            m_leader.on_elected(m_now, grace ? m_state : empty_state);
            return;
        }
        m_state.m_revision = core::revision{m_state.m_revision.value() + 1};
        if (m_leader.applied_by_all_lease_holders(m_now, m_state, m_state.m_revision)) {
            m_applied_everywhere = std::max(m_applied_everywhere, m_state.m_revision);
        }
    }

    script& m_steps;
    fault m_injected_fault;
    core::time_point m_now{std::chrono::hours(1)};
    control::control_state m_state;
    std::map<core::entry_host_id, proxy> m_proxies;
    lease_table m_leader;
    std::vector<heartbeat> m_heartbeats;
    std::vector<grant_lease> m_grants;
    core::revision m_applied_everywhere;
};

} // namespace

class membership_leases : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_leases);
    CPPUNIT_TEST(proxy_lease_never_outlives_leader_record);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST(proxy_that_stops_applying_loses_lease);
    CPPUNIT_TEST_SUITE_END();

    static auto property_with(fault injected_fault) {
        return [injected_fault](script& steps) { return lease_model(steps, injected_fault).run(); };
    }

public:
    void proxy_lease_never_outlives_leader_record() {
        CPPUNIT_ASSERT(testing::property_holds(property_with(fault::none), {1000, 600}));
    }

    // Checks that the model detects a violation for each injected fault.
    void injected_faults_are_detected() {
        CPPUNIT_ASSERT(
            testing::property_violated(property_with(fault::lease_starts_at_grant_receipt), {1000, 600}));
        CPPUNIT_ASSERT(testing::property_violated(property_with(fault::applied_overstated), {1000, 600}));
        CPPUNIT_ASSERT(
            testing::property_violated(property_with(fault::no_grace_after_election), {1000, 600}));
        CPPUNIT_ASSERT(
            testing::property_violated(property_with(fault::clock_rate_beyond_limit), {1000, 600}));
    }

    // Guards against a change that never takes effect because a proxy keeps its lease without applying it.
    void proxy_that_stops_applying_loses_lease() {
        control::control_state state;
        const core::entry_host_id host{"p"};
        state.m_proxies[host].m_incarnation = core::incarnation{1};
        core::time_point now{};
        lease_table leader;
        leader.on_elected(now, state);
        heartbeat beat;
        beat.m_host = host;
        beat.m_incarnation = core::incarnation{1};
        CPPUNIT_ASSERT(leader.on_heartbeat(now, state, beat, true));
        state.m_revision = core::revision{1};
        const auto granted_after = [&](milliseconds later) {
            return leader.on_heartbeat(now + later, state, beat, true);
        };
        CPPUNIT_ASSERT(granted_after(heartbeat_period));
        CPPUNIT_ASSERT(granted_after(max_apply_delay));
        CPPUNIT_ASSERT(!granted_after(max_apply_delay + 2 * heartbeat_period));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_leases);
