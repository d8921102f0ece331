// Guards against endpoints without a live owner, unnecessary moves, uneven load, and too many assignments per
// tick after the loss of a zone.
#include "control/apply.h"
#include "membership/membership_core.h"
#include "support/scripted_property.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::membership;
using core::milliseconds;
using mangoquay::testing::script;

namespace {

enum class fault { none, ignores_current_owners };

core::availability_zone zone_of(std::uint32_t index, std::uint32_t zones) {
    return core::availability_zone{"z" + std::to_string(index % zones)};
}

// Models a leader with its replicated state; proposals are applied immediately.
class fleet {
public:
    fleet(std::uint32_t proxies, std::uint32_t endpoints, std::uint32_t zones) : m_zones(zones) {
        for (std::uint32_t index = 0; index < endpoints; ++index) {
            const core::endpoint_id id{"e" + std::to_string(index)};
            commit(control::announce_endpoint{id,
                                              core::group_id{"g" + id.value()},
                                              zone_of(index, zones),
                                              {},
                                              control::endpoint_role::replica,
                                              {},
                                              1,
                                              2});
        }
        m_core.on_elected(m_now, m_state);
        for (std::uint32_t index = 0; index < proxies; ++index) {
            add_proxy(index);
        }
    }

    void add_proxy(std::uint32_t index) {
        const core::entry_host_id host{"p" + std::to_string(index)};
        commit(control::register_proxy{host, {zone_of(index, m_zones), {}, {}, core::incarnation{1}}});
        m_running.insert(host);
    }

    void commit(const control::command& change) {
        control::apply(m_state, change, core::revision{m_state.m_revision.value() + 1});
    }

    // Advances by 100 ms: heartbeats of all proxies, renewals of all endpoints and one tick. Returns the
    // number of assignments.
    std::size_t tick() {
        m_now += milliseconds(100);
        for (const core::entry_host_id& host : m_running) {
            heartbeat beat;
            beat.m_host = host;
            beat.m_incarnation = core::incarnation{1};
            beat.m_number = ++m_number;
            beat.m_applied = m_state.m_revision;
            for (const auto& [id, endpoint] : m_state.m_endpoints) {
                if (endpoint.m_owner == host) {
                    beat.m_health.push_back(
                        {id, !m_unreachable.contains({host, id}), true, {}, {}, false, 0});
                }
            }
            execute(m_core.on_heartbeat(m_now, m_state, beat, true));
        }
        for (const auto& [id, endpoint] : m_state.m_endpoints) {
            m_core.on_endpoint_renewed(m_now, id);
        }
        return execute(m_core.tick(m_now, m_state));
    }

    std::size_t execute(const actions& requested) {
        std::size_t assignments = 0;
        for (const action& item : requested) {
            if (const auto* proposal = std::get_if<propose>(&item)) {
                assignments += std::holds_alternative<control::assign_owner>(proposal->m_command) ? 1 : 0;
                commit(proposal->m_command);
            } else if (const auto* probe = std::get_if<send_probe>(&item)) {
                const bool reached = !m_unreachable.contains({probe->m_host, probe->m_endpoint});
                m_core.on_probe_result(m_now, {probe->m_host, probe->m_endpoint, reached});
            }
        }
        return assignments;
    }

    std::size_t run_ticks(std::size_t ticks) {
        std::size_t assignments = 0;
        for (std::size_t count = 0; count < ticks; ++count) {
            assignments += tick();
        }
        return assignments;
    }

    [[nodiscard]] std::string find_violation() const {
        std::map<core::availability_zone, std::map<core::entry_host_id, int>> loads;
        for (const core::entry_host_id& host : m_running) {
            loads[m_state.m_proxies.at(host).m_zone][host] = 0;
        }
        for (const auto& [id, endpoint] : m_state.m_endpoints) {
            if (!m_running.contains(endpoint.m_owner)) {
                return "an endpoint has no live owner";
            }
            const auto& zone = m_state.m_proxies.at(endpoint.m_owner).m_zone;
            if (zone != endpoint.m_zone && loads.contains(endpoint.m_zone)) {
                return "an endpoint is owned outside its zone";
            }
            ++loads[zone][endpoint.m_owner];
        }
        for (const auto& [zone, hosts] : loads) {
            const auto [least_loaded, most_loaded] =
                std::minmax_element(hosts.begin(), hosts.end(),
                                    [](auto& left, auto& right) { return left.second < right.second; });
            if (most_loaded->second > least_loaded->second + 1 && loads.size() == m_zones) {
                return "load within a zone is uneven";
            }
        }
        return "";
    }

    std::uint32_t m_zones;
    core::time_point m_now{std::chrono::hours(1)};
    control::control_state m_state = control::initial_state();
    membership_core m_core;
    std::set<core::entry_host_id> m_running;
    std::set<std::pair<core::entry_host_id, core::endpoint_id>> m_unreachable;
    std::uint64_t m_number = 0;
};

std::string churn_property(script& steps) {
    fleet fleet(6, 18, 3);
    fleet.run_ticks(40);
    for (std::uint32_t next = 6; !steps.finished(); ++next) {
        if (steps.one_in(2) || fleet.m_running.size() < 3) {
            fleet.add_proxy(next);
        } else {
            const auto running = static_cast<std::uint32_t>(fleet.m_running.size());
            fleet.m_running.erase(std::next(fleet.m_running.begin(), steps.next_below(running)));
        }
        fleet.run_ticks(60);
        std::string found = fleet.find_violation();
        if (!found.empty()) {
            return found;
        }
    }
    return "";
}

// Checks that the loss of a proxy moves only its own endpoints.
std::string minimal_moves_property(script& steps, fault injected_fault) {
    control::control_state state = control::initial_state();
    owner_inputs inputs;
    std::uint64_t at = 0;
    const auto commit = [&](const control::command& change) {
        control::apply(state, change, core::revision{++at});
    };
    const std::uint32_t proxies = 3 + steps.next_below(6);
    for (std::uint32_t index = 0; index < proxies; ++index) {
        const core::entry_host_id host{"p" + std::to_string(index)};
        commit(control::register_proxy{host, {zone_of(0, 1), {}, {}, core::incarnation{1}}});
        inputs.m_candidates.insert(host);
    }
    for (std::uint32_t index = 0; index < 4 * proxies; ++index) {
        const core::endpoint_id id{"e" + std::to_string(steps.next_below(10000)) + "x" +
                                   std::to_string(index)};
        commit(control::announce_endpoint{id,
                                          core::group_id{"g" + id.value()},
                                          zone_of(0, 1),
                                          {},
                                          control::endpoint_role::replica,
                                          {},
                                          1,
                                          2});
    }
    inputs.m_leased = inputs.m_candidates;
    for (const control::assign_owner& assignment : choose_owners(state, inputs)) {
        commit(assignment);
    }
    const core::entry_host_id lost{"p" + std::to_string(steps.next_below(proxies))};
    inputs.m_candidates.erase(lost);
    inputs.m_leased = injected_fault == fault::ignores_current_owners ? std::set<core::entry_host_id>{}
                                                                      : inputs.m_candidates;
    std::size_t owned_by_lost = 0;
    for (const auto& [id, endpoint] : state.m_endpoints) {
        owned_by_lost += endpoint.m_owner == lost ? 1 : 0;
    }
    return choose_owners(state, inputs).size() == owned_by_lost ? "" : "more endpoints moved than were lost";
}

} // namespace

class membership_owners : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_owners);
    CPPUNIT_TEST(every_endpoint_gets_a_live_owner_and_load_is_even);
    CPPUNIT_TEST(lost_proxy_moves_only_its_endpoints);
    CPPUNIT_TEST(zone_loss_respects_assignment_limit);
    CPPUNIT_TEST(endpoint_moves_to_owner_that_reaches_it);
    CPPUNIT_TEST(silent_replicas_expire_and_primary_stays);
    CPPUNIT_TEST(paused_leader_retires_no_proxies);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against endpoints without an owner and uneven load while proxies join and fail.
    void every_endpoint_gets_a_live_owner_and_load_is_even() {
        CPPUNIT_ASSERT(testing::property_holds(churn_property, {30, 12}));
    }

    // Guards against moves of endpoints whose owner is still live.
    void lost_proxy_moves_only_its_endpoints() {
        const auto with = [](fault injected_fault) {
            return [injected_fault](script& steps) { return minimal_moves_property(steps, injected_fault); };
        };
        CPPUNIT_ASSERT(testing::property_holds(with(fault::none)));
        CPPUNIT_ASSERT(testing::property_violated(with(fault::ignores_current_owners)));
    }

    // Guards against a burst of log entries when all endpoints of a lost zone are reassigned at once.
    void zone_loss_respects_assignment_limit() {
        fleet fleet(12, 600, 3);
        fleet.run_ticks(40);
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.find_violation());
        std::erase_if(fleet.m_running, [&](const auto& host) {
            return fleet.m_state.m_proxies.at(host).m_zone == zone_of(0, 3);
        });
        std::size_t total = 0;
        for (int count = 0; count < 20; ++count) {
            const std::size_t assigned = fleet.tick();
            CPPUNIT_ASSERT(assigned <= max_assignments_per_tick);
            total += assigned;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, total);
    }

    // Guards against an endpoint that stays with an owner that cannot reach it, and against moving it back
    // while the fault lasts.
    void endpoint_moves_to_owner_that_reaches_it() {
        fleet fleet(3, 3, 1);
        fleet.run_ticks(30);
        const core::endpoint_id id{"e1"};
        const auto owner = fleet.m_state.m_endpoints.at(id).m_owner;
        fleet.m_unreachable.insert({owner, id});
        fleet.run_ticks(8);
        CPPUNIT_ASSERT(fleet.m_state.m_endpoints.at(id).m_owner == owner);
        fleet.run_ticks(10);
        const auto successor = fleet.m_state.m_endpoints.at(id).m_owner;
        CPPUNIT_ASSERT(successor != owner);
        fleet.run_ticks(50);
        CPPUNIT_ASSERT(fleet.m_state.m_endpoints.at(id).m_owner == successor);
    }

    // Guards against expiring a primary, whose address failover needs, together with replicas that stopped
    // renewing.
    void silent_replicas_expire_and_primary_stays() {
        fleet fleet(2, 2, 1);
        fleet.commit(control::announce_endpoint{core::endpoint_id{"p"},
                                                core::group_id{"ge0"},
                                                zone_of(0, 1),
                                                {},
                                                control::endpoint_role::primary,
                                                {},
                                                1,
                                                2});
        fleet.run_ticks(20);
        for (int count = 0; count < 31; ++count) {
            fleet.m_now += milliseconds(100);
            fleet.execute(fleet.m_core.tick(fleet.m_now, fleet.m_state));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.m_state.m_endpoints.size());
        CPPUNIT_ASSERT(fleet.m_state.m_endpoints.contains(core::endpoint_id{"p"}));
    }

    // Guards against a leader that retires proxies because their heartbeats are still unread after its own
    // pause.
    void paused_leader_retires_no_proxies() {
        fleet fleet(3, 6, 1);
        fleet.run_ticks(30);
        fleet.m_now += milliseconds(5000);
        CPPUNIT_ASSERT(fleet.m_core.tick(fleet.m_now, fleet.m_state).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.run_ticks(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.m_state.m_proxies.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_owners);
