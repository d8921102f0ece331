// Guards against an export that misses an acknowledged write of its business day, because the write was
// acknowledged after the day was settled, or at a position past the settled one. Also guards against a day
// that never settles.
#include "control/apply.h"
#include "membership/proxy_lease.h"
#include "settlement/export_requirements.h"
#include "settlement/settlement_core.h"
#include "settlement/unsettled_ledger.h"
#include "support/scripted_property.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::settlement;
using core::milliseconds;
using mangoquay::testing::script;

namespace {

enum class fault {
    none,
    acknowledges_unchecked,
    accepts_closed_day,
    reports_nothing_unsettled,
    acknowledges_without_lease
};

const control::day_key day{core::service_name{"s"}, core::business_day{"2026-12-04"}};
const core::group_id group{"g"};
const core::endpoint_id primary{"e"};

struct open_write {
    write_ticket m_ticket{};
    core::owner_epoch m_epoch;
    std::uint64_t m_position = 0; // 0 if the write is not committed yet.
};

struct owner_proxy {
    core::entry_host_id m_host;
    control::control_state m_view = control::initial_state();
    std::size_t m_applied = 0;
    membership::proxy_lease m_lease{core::incarnation{1}};
    unsettled_ledger m_ledger;
    std::vector<open_write> m_writes;
};

// Simulates one database that three proxies own in turn, with delayed commits, pauses and changes of leader.
class day_model {
public:
    day_model(script& steps, fault injected_fault)
        : m_steps(steps), m_injected_fault(injected_fault), m_proxies(3) {
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            m_proxies[index].m_host = core::entry_host_id{"p" + std::to_string(index)};
            commit(control::register_proxy{m_proxies[index].m_host, {{}, {}, {}, core::incarnation{1}}});
        }
        commit(control::announce_endpoint{primary, group, {}, {}, control::endpoint_role::primary, {}, 1, 2});
        commit(control::assign_owner{primary, m_proxies[0].m_host, core::owner_epoch{1}});
        control::service_record service;
        service.m_groups = {group};
        service.m_preset = core::preset_name{"ordinary_day"};
        commit(control::put_service{core::request_id{"1"}, {}, day.m_service, service});
        m_leases.on_elected(m_now, m_state);
    }

    std::string run() {
        while (!m_steps.finished() && m_violation.empty()) {
            step();
        }
        return m_violation;
    }

    // Runs without further faults. Returns a violation if the day does not settle.
    std::string settle() {
        for (int round = 0; round < 100 && m_violation.empty() && !settled(); ++round) {
            close();
            m_now += milliseconds(50);
            for (owner_proxy& proxy : m_proxies) {
                apply_all(proxy);
                for (int count = 0; count < 20; ++count) {
                    advance(proxy);
                }
                heartbeat(proxy);
            }
            leader_tick();
            answer_all();
        }
        return m_violation.empty() && !settled() ? "the day did not settle" : m_violation;
    }

    [[nodiscard]] bool settled() const {
        return requirements_for_export(m_state, day).m_refusal == core::reason::none;
    }
    [[nodiscard]] std::size_t acknowledged() const { return m_acknowledged; }

private:
    void commit(const control::command& change) {
        control::apply(m_state, change, core::revision{m_state.m_revision.value() + 1});
        m_committed.push_back(change);
        if (std::holds_alternative<control::settle_day>(change) && settled() && m_settled_position == 0) {
            m_settled_position = m_state.m_days.at(day).m_positions.at(group).m_position.value();
            if (m_last_acknowledged > m_settled_position) {
                m_violation = "an acknowledged write is past the settled position";
            }
        }
    }

    void step() {
        owner_proxy& proxy = m_proxies[m_steps.next_below(3)];
        switch (m_steps.next_below(14)) {
        case 0:
            m_now += milliseconds(m_steps.one_in(10) ? 1300 : m_steps.next_below(80));
            break;
        case 1:
        case 2:
        case 3:
            heartbeat(proxy);
            break;
        case 4:
            apply_all(proxy);
            heartbeat(proxy);
            break;
        case 5:
        case 6:
            begin(proxy);
            break;
        case 7:
        case 8:
            advance(proxy);
            break;
        case 9:
        case 10:
            leader_tick();
            break;
        case 11:
            answer_all();
            break;
        case 12:
            if (m_steps.one_in(12)) {
                close();
            }
            break;
        default:
            if (m_steps.one_in(6)) {
                m_leases.on_elected(m_now, m_state);
                m_core.on_elected();
            } else if (m_steps.one_in(3)) {
                const auto epoch = m_state.m_endpoints.at(primary).m_owner_epoch.value() + 1;
                commit(control::assign_owner{primary, proxy.m_host, core::owner_epoch{epoch}});
            }
        }
    }

    void close() { commit(control::close_day{core::request_id{"2"}, day}); }

    void apply_all(owner_proxy& proxy) {
        while (proxy.m_applied < m_committed.size()) {
            const core::revision at{proxy.m_view.m_revision.value() + 1};
            control::apply(proxy.m_view, m_committed[proxy.m_applied++], at);
        }
        const auto endpoint = proxy.m_view.m_endpoints.find(primary);
        if (endpoint != proxy.m_view.m_endpoints.end() && endpoint->second.m_owner == proxy.m_host) {
            m_session_epoch = std::max(m_session_epoch, endpoint->second.m_owner_epoch); // Takes the lock.
        }
    }

    [[nodiscard]] bool holds_lock(const owner_proxy& proxy) const {
        const auto endpoint = proxy.m_view.m_endpoints.find(primary);
        return endpoint != proxy.m_view.m_endpoints.end() && endpoint->second.m_owner == proxy.m_host &&
               endpoint->second.m_owner_epoch == m_session_epoch;
    }

    void begin(owner_proxy& proxy) {
        if (!holds_lock(proxy)) {
            return;
        }
        control::control_state view = proxy.m_view;
        if (m_injected_fault == fault::accepts_closed_day) {
            view.m_days.clear();
        }
        const auto ticket = proxy.m_ledger.begin_write(view, day, primary, m_session_epoch);
        if (ticket) {
            proxy.m_writes.push_back({*ticket, m_session_epoch, 0});
        }
    }

    // Commits the oldest write. If it is committed or its session has ended, ends it, acknowledged if
    // possible.
    void advance(owner_proxy& proxy) {
        if (proxy.m_writes.empty()) {
            return;
        }
        open_write& write = proxy.m_writes.front();
        if (write.m_position == 0 && write.m_epoch == m_session_epoch) {
            write.m_position = ++m_position;
            return;
        }
        const bool permitted = proxy.m_ledger.may_acknowledge(proxy.m_view, write.m_ticket);
        if (write.m_position != 0 &&
            (proxy.m_lease.valid(m_now) || m_injected_fault == fault::acknowledges_without_lease) &&
            (permitted || m_injected_fault == fault::acknowledges_unchecked)) {
            ++m_acknowledged;
            m_last_acknowledged = std::max(m_last_acknowledged, write.m_position);
            m_violation = settled() ? "a write of a settled day was acknowledged" : m_violation;
        }
        proxy.m_ledger.end_write(write.m_ticket);
        proxy.m_writes.erase(proxy.m_writes.begin());
    }

    void heartbeat(owner_proxy& proxy) {
        membership::heartbeat beat;
        beat.m_host = proxy.m_host;
        beat.m_incarnation = core::incarnation{1};
        beat.m_number = proxy.m_lease.record_heartbeat_sent(m_now);
        beat.m_applied = proxy.m_view.m_revision;
        if (m_injected_fault != fault::reports_nothing_unsettled) {
            beat.m_unsettled = proxy.m_ledger.unsettled_days();
        }
        if (holds_lock(proxy)) {
            beat.m_health.push_back({primary, true, true, {}, {}, false, 0});
        }
        if (m_steps.one_in(6)) {
            return; // The heartbeat is lost.
        }
        m_core.on_heartbeat(beat);
        if (m_leases.on_heartbeat(m_now, m_state, beat, true)) {
            proxy.m_lease.on_lease_granted(core::incarnation{1}, beat.m_number);
        }
    }

    void leader_tick() {
        const auto requested = m_core.tick(m_now, m_state, m_leases);
        for (const action& one : requested) {
            if (const auto* proposal = std::get_if<failover::propose>(&one)) {
                commit(proposal->m_command);
            } else {
                m_position_reads.push_back(std::get<failover::read_position>(one));
            }
        }
    }

    void answer_all() {
        for (const failover::read_position& requested : std::exchange(m_position_reads, {})) {
            const core::history_position position{m_state.m_groups.at(group).m_term,
                                                  core::log_position{m_position}};
            m_core.on_position_answer(
                m_state, {requested.m_attempt, requested.m_endpoint, true, {false, position, {}, false}});
        }
    }

    script& m_steps;
    fault m_injected_fault;
    core::time_point m_now{std::chrono::hours(1)};
    control::control_state m_state = control::initial_state();
    std::vector<control::command> m_committed;
    std::vector<owner_proxy> m_proxies;
    membership::lease_table m_leases;
    settlement_core m_core;
    std::vector<failover::read_position> m_position_reads;
    core::owner_epoch m_session_epoch; // Epoch of the owner that took the lock last.
    std::uint64_t m_position = 0;
    std::uint64_t m_last_acknowledged = 0;
    std::uint64_t m_settled_position = 0;
    std::size_t m_acknowledged = 0;
    std::string m_violation;
};

} // namespace

class settlement_safety : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settlement_safety);
    CPPUNIT_TEST(settled_days_are_complete);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST(exports_wait_for_the_settled_day);
    CPPUNIT_TEST(positions_are_held_by_a_quorum);
    CPPUNIT_TEST_SUITE_END();

public:
    void settled_days_are_complete() {
        int settled = 0;
        std::size_t acknowledged = 0;
        CPPUNIT_ASSERT(testing::property_holds(
            [&](script& steps) {
                day_model model(steps, fault::none);
                std::string found = model.run();
                settled += model.settled() ? 1 : 0;
                acknowledged += model.acknowledged();
                return found.empty() ? model.settle() : found;
            },
            {2000, 3000}));
        // Without settled days and acknowledged writes the property would hold trivially.
        CPPUNIT_ASSERT(settled > 300);
        CPPUNIT_ASSERT(acknowledged > 3000);
    }

    void injected_faults_are_detected() {
        for (const fault injected_fault :
             {fault::acknowledges_unchecked, fault::accepts_closed_day, fault::reports_nothing_unsettled,
              fault::acknowledges_without_lease}) {
            CPPUNIT_ASSERT_MESSAGE("fault " + std::to_string(static_cast<int>(injected_fault)),
                                   testing::property_violated(
                                       [injected_fault](script& steps) {
                                           day_model model(steps, injected_fault);
                                           return model.run();
                                       },
                                       {3000, 3000}));
        }
    }

    void exports_wait_for_the_settled_day() {
        control::control_state state = control::initial_state();
        CPPUNIT_ASSERT(requirements_for_export(state, day).m_refusal == core::reason::unknown_service);
        state.m_services[day.m_service].m_groups = {group};
        CPPUNIT_ASSERT(requirements_for_export(state, day).m_refusal == core::reason::day_not_settled);
        CPPUNIT_ASSERT(requirements_for_export(state, day).m_retry_after == retry_after_before_closing);
        control::day_record& record = state.m_days[day];
        CPPUNIT_ASSERT(requirements_for_export(state, day).m_retry_after == retry_after_while_closing);
        record.m_phase = control::day_phase::settled;
        record.m_positions[group] = {core::term{2}, core::log_position{7}};
        const export_requirements requirements = requirements_for_export(state, day);
        CPPUNIT_ASSERT(requirements.m_refusal == core::reason::none &&
                       requirements.m_min_positions == record.m_positions);
    }

    // A settled position that only the primary holds could be lost together with the primary.
    void positions_are_held_by_a_quorum() {
        const core::time_point now{std::chrono::hours(1)};
        const core::endpoint_id replica{"r"};
        control::control_state state = control::initial_state();
        state.m_services[day.m_service].m_groups = {group};
        state.m_days[day].m_phase = control::day_phase::closing;
        control::group_record& record = state.m_groups[group];
        record.m_term = core::term{1};
        record.m_primary = primary;
        record.m_members = {primary, replica};
        const core::entry_host_id host{"p"};
        state.m_proxies[host].m_incarnation = core::incarnation{1};
        state.m_endpoints[primary].m_owner = host;
        membership::lease_table leases;
        leases.on_elected(now, state);
        membership::heartbeat beat{
            host, core::incarnation{1}, 1, {}, {{primary, true, true, {}, {}, false, 0}}, {}, {}, false};
        leases.on_heartbeat(now, state, beat, true);
        settlement_core core;
        core.on_heartbeat(beat);
        std::uint64_t attempt = 0;
        const auto answer = [&](const core::endpoint_id& from, bool in_recovery, std::uint64_t position) {
            core.on_position_answer(
                state, {++attempt,
                        from,
                        true,
                        {in_recovery, {core::term{1}, core::log_position{position}}, {}, in_recovery}});
            return core.tick(now, state, leases);
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, core.tick(now, state, leases).size());
        CPPUNIT_ASSERT(std::holds_alternative<failover::read_position>(answer(primary, false, 9).at(0)));
        CPPUNIT_ASSERT(std::holds_alternative<failover::read_position>(answer(replica, true, 8).at(0)));
        CPPUNIT_ASSERT(std::holds_alternative<failover::propose>(answer(replica, true, 9).at(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settlement_safety);
