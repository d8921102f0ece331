// Rules of primary leases: what a lease covers, when it ends, and what a promotion waits for. Guards against
// a host that uses a withdrawn primary, a promotion while a lease may be valid, and assignments that are lost
// or damaged on their way through the log.
#include "fleet/lease_messages.h"
#include "fleet/replicated_state.h"
#include "primary_leases/lease_authority.h"
#include "primary_leases/lease_holder.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::primary_leases;

namespace {

const core::service_name ledger("ledger");
const core::endpoint_id old_primary("db0");
const core::endpoint_id successor("db1");
const core::entry_host_id near_host("near");
const core::entry_host_id far_host("far");
const core::time_point start{std::chrono::hours(1)};
const leader_term first_term(1);
const leader_term second_term(2);

core::time_point at(int milliseconds) {
    return start + core::milliseconds(milliseconds);
}

// Sends the holder's next request to the granter, and the grant back.
void renew(lease_granter& granter, lease_holder& holder, const core::entry_host_id& host,
           core::time_point now) {
    if (const auto grant = granter.on_request(host, holder.next_request(now), now)) {
        holder.on_grant(*grant);
    }
}

bool may_use(const lease_holder& holder, const core::endpoint_id& endpoint, core::time_point now) {
    const auto listed = holder.primaries().find(ledger);
    return listed != holder.primaries().end() && listed->second == endpoint &&
           !holder.lease_end().passed(now);
}

class recording_ports final : public authority_ports {
public:
    void propose_assignment(const core::service_name& service, const core::endpoint_id& endpoint) override {
        m_proposals.emplace_back(service, endpoint);
    }
    void announce_list() override { ++m_announcements; }
    void record_event(const std::string&) override {}

    std::vector<std::pair<core::service_name, core::endpoint_id>> m_proposals;
    int m_announcements = 0;
};

class primary_lease_rules : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(primary_lease_rules);
    CPPUNIT_TEST(a_lease_counts_from_the_request);
    CPPUNIT_TEST(a_late_grant_does_not_restore_a_withdrawn_primary);
    CPPUNIT_TEST(a_grant_of_an_unknown_request_extends_nothing);
    CPPUNIT_TEST(a_grant_for_an_earlier_process_of_the_host_extends_nothing);
    CPPUNIT_TEST(a_list_of_another_leader_ends_the_lease);
    CPPUNIT_TEST(a_withdrawal_waits_for_hosts_that_have_not_confirmed_it);
    CPPUNIT_TEST(a_confirmed_withdrawal_needs_no_wait);
    CPPUNIT_TEST(a_step_down_of_another_database_ends_no_lease);
    CPPUNIT_TEST(a_new_leader_waits_for_leases_of_earlier_ones);
    CPPUNIT_TEST(a_first_assignment_needs_no_wait);
    CPPUNIT_TEST(a_successor_is_reserved_only_when_its_assignment_is_committed);
    CPPUNIT_TEST(an_assignment_of_another_successor_reserves_nothing);
    CPPUNIT_TEST(a_host_that_does_not_lead_grants_nothing);
    CPPUNIT_TEST(assignments_survive_the_log_and_snapshots);
    CPPUNIT_TEST(a_state_without_assignments_keeps_its_earlier_format);
    CPPUNIT_TEST(damaged_assignments_are_ignored);
    CPPUNIT_TEST(a_request_passes_a_limited_number_of_hosts);
    CPPUNIT_TEST(a_longer_lease_than_the_limit_is_shortened);
    CPPUNIT_TEST_SUITE_END();

    lease_granter m_granter;
    lease_holder m_near;
    lease_holder m_far;

public:
    void setUp() override {
        m_granter.start_leading(first_term, {{ledger, old_primary}}, at(-10000));
        renew(m_granter, m_near, near_host, at(0));
        renew(m_granter, m_far, far_host, at(0));
    }

private:
    void a_lease_counts_from_the_request() {
        const lease_request request = m_near.next_request(at(100));
        const auto grant = m_granter.on_request(near_host, request, at(500)); // Delayed on its way.
        CPPUNIT_ASSERT(m_near.on_grant(*grant));
        CPPUNIT_ASSERT(m_near.lease_end().m_at == at(100) + lease_length);
    }
    void a_late_grant_does_not_restore_a_withdrawn_primary() {
        const auto late = m_granter.on_request(near_host, m_near.next_request(at(100)), at(100));
        m_granter.withdraw(ledger);
        renew(m_granter, m_near, near_host, at(200));
        CPPUNIT_ASSERT(!m_near.on_grant(*late));
        CPPUNIT_ASSERT(!may_use(m_near, old_primary, at(201)));
    }
    void a_grant_of_an_unknown_request_extends_nothing() {
        lease_grant grant = *m_granter.on_request(near_host, m_near.next_request(at(100)), at(100));
        grant.m_number = request_number(77);
        CPPUNIT_ASSERT(!m_near.on_grant(grant));
        CPPUNIT_ASSERT(m_near.lease_end().m_at == at(0) + lease_length);
    }
    // Otherwise a grant that was delayed over a restart would extend the lease beyond the end that the leader
    // waits for.
    void a_grant_for_an_earlier_process_of_the_host_extends_nothing() {
        lease_holder earlier_process;
        const auto delayed = m_granter.on_request(near_host, earlier_process.next_request(at(100)), at(100));
        lease_holder restarted;
        restarted.next_request(at(1500));
        restarted.on_grant(*delayed);
        CPPUNIT_ASSERT(!may_use(restarted, old_primary, at(1500)));
    }

    void a_list_of_another_leader_ends_the_lease() {
        lease_granter second;
        second.start_leading(second_term, {{ledger, successor}}, at(100));
        m_near.on_grant(second.announcement());
        CPPUNIT_ASSERT(!may_use(m_near, old_primary, at(101)));
        CPPUNIT_ASSERT(!may_use(m_near, successor, at(101)));
        renew(second, m_near, near_host, at(102));
        CPPUNIT_ASSERT(may_use(m_near, successor, at(103)));
    }
    // The far host is cut off: its lease has to end on the slowest clock.
    void a_withdrawal_waits_for_hosts_that_have_not_confirmed_it() {
        m_granter.withdraw(ledger);
        renew(m_granter, m_near, near_host, at(200));
        renew(m_granter, m_near, near_host, at(201));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_granter.waiting_for(ledger, at(202)));
        CPPUNIT_ASSERT(!m_granter.leases_ended(ledger, at(static_cast<int>(longest_lease.count()) - 1)));
        CPPUNIT_ASSERT(m_granter.leases_ended(ledger, at(static_cast<int>(longest_lease.count()))));
    }
    void a_confirmed_withdrawal_needs_no_wait() {
        m_granter.withdraw(ledger);
        for (int time = 200; time < 202; ++time) { // The second request confirms the list of the first grant.
            renew(m_granter, m_near, near_host, at(time));
            renew(m_granter, m_far, far_host, at(time));
        }
        CPPUNIT_ASSERT(m_granter.leases_ended(ledger, at(202)));
        m_granter.restore(ledger);
        CPPUNIT_ASSERT(!m_granter.leases_ended(ledger, at(203)));
    }
    void a_step_down_of_another_database_ends_no_lease() {
        m_granter.withdraw(ledger);
        m_granter.on_stepped_down(ledger, successor);
        CPPUNIT_ASSERT(!m_granter.leases_ended(ledger, at(10)));
        m_granter.on_stepped_down(ledger, old_primary);
        CPPUNIT_ASSERT(m_granter.leases_ended(ledger, at(10)));
    }
    void a_new_leader_waits_for_leases_of_earlier_ones() {
        m_granter.start_leading(second_term, {{ledger, old_primary}}, at(100));
        m_granter.withdraw(ledger);
        CPPUNIT_ASSERT(!m_granter.leases_ended(ledger, at(100) + longest_lease - core::milliseconds(1)));
        CPPUNIT_ASSERT(m_granter.leases_ended(ledger, at(100) + longest_lease));
    }
    void a_first_assignment_needs_no_wait() {
        m_granter.start_leading(second_term, {}, at(100));
        m_granter.withdraw(ledger);
        CPPUNIT_ASSERT(m_granter.leases_ended(ledger, at(100)));
    }
    static void a_successor_is_reserved_only_when_its_assignment_is_committed() {
        recording_ports ports;
        lease_authority authority(ports);
        authority.set_leading(true, first_term, {{ledger, old_primary}}, {}, at(0));
        lease_holder holder;
        holder.on_grant(*authority.on_request(near_host, holder.next_request(at(1)), at(1)));
        CPPUNIT_ASSERT(!authority.reserve(ledger, successor, at(2)));
        CPPUNIT_ASSERT(ports.m_proposals.empty());
        CPPUNIT_ASSERT_EQUAL(1, ports.m_announcements);
        const core::time_point ended = at(1) + longest_lease;
        CPPUNIT_ASSERT(!authority.reserve(ledger, successor, ended));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), ports.m_proposals.size());
        CPPUNIT_ASSERT(!authority.reserve(ledger, successor, ended));
        authority.on_assigned(ledger, successor);
        CPPUNIT_ASSERT(authority.reserve(ledger, successor, ended));
        CPPUNIT_ASSERT(authority.granter().announcement().m_primaries->empty());
        authority.restore(ledger);
        CPPUNIT_ASSERT(authority.granter().announcement().m_primaries->at(ledger) == successor);
    }
    static void an_assignment_of_another_successor_reserves_nothing() {
        recording_ports ports;
        lease_authority authority(ports);
        authority.set_leading(true, first_term, {}, {}, at(0));
        CPPUNIT_ASSERT(!authority.reserve(ledger, successor, at(0)));
        authority.on_assigned(ledger, old_primary);
        CPPUNIT_ASSERT(!authority.reserve(ledger, successor, at(1)));
        authority.set_leading(true, second_term, {{ledger, successor}}, {}, at(2));
        CPPUNIT_ASSERT(!authority.reserve(ledger, successor, at(3))); // Reserved by the earlier leader only.
    }
    void a_host_that_does_not_lead_grants_nothing() {
        m_granter.stop_leading();
        CPPUNIT_ASSERT(!m_granter.on_request(near_host, m_near.next_request(at(1)), at(1)));
        CPPUNIT_ASSERT(!m_granter.leases_ended(ledger, at(5000)));
    }
    static void assignments_survive_the_log_and_snapshots() {
        fleet::replicated_state state;
        state.apply(documents::document_register::encode(documents::document_version(7), "{}"));
        const auto assigned = state.apply(fleet::replicated_state::encode_assignment(ledger, old_primary));
        CPPUNIT_ASSERT(assigned == std::vector{ledger});
        state.apply(fleet::replicated_state::encode_assignment(ledger, successor));
        fleet::replicated_state restored;
        restored.apply(state.encode_snapshot());
        CPPUNIT_ASSERT(restored.primaries() == state.primaries());
        CPPUNIT_ASSERT(restored.primaries().at(ledger) == successor);
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), restored.documents().bytes());
        CPPUNIT_ASSERT(restored.documents().version() == documents::document_version(7));
    }
    // Hosts of earlier program versions read the log and snapshots of fleets without leases, and ignore
    // assignments.
    static void a_state_without_assignments_keeps_its_earlier_format() {
        fleet::replicated_state state;
        const std::string entry = documents::document_register::encode(documents::document_version(7), "{}");
        state.apply(entry);
        CPPUNIT_ASSERT_EQUAL(entry, state.encode_snapshot());
        documents::document_register earlier;
        earlier.apply(entry);
        earlier.apply(fleet::replicated_state::encode_assignment(ledger, successor));
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), earlier.bytes());
    }
    static void damaged_assignments_are_ignored() {
        const std::string entry = fleet::replicated_state::encode_assignment(ledger, successor);
        for (std::size_t length = 0; length < entry.size(); ++length) {
            fleet::replicated_state state;
            state.apply(std::string_view(entry).substr(0, length));
            CPPUNIT_ASSERT(state.primaries().size() <= 1);
        }
        for (std::size_t index = 8; index < entry.size(); ++index) {
            std::string damaged = entry;
            damaged[index] = static_cast<char>(~damaged[index]);
            fleet::replicated_state state;
            state.apply(damaged);
            CPPUNIT_ASSERT(state.primaries().size() <= 1);
        }
    }
    static void a_request_passes_a_limited_number_of_hosts() {
        wire::primary_lease_requestT request;
        const auto once = fleet::forwarded_request(far_host, request);
        const auto twice = fleet::forwarded_request(near_host, *once);
        CPPUNIT_ASSERT(!fleet::forwarded_request(core::entry_host_id("third"), *twice));
        wire::primary_lease_grantT grant;
        grant.path = twice->path;
        const auto back = fleet::next_hop(grant);
        CPPUNIT_ASSERT(back->m_to == near_host);
        const auto arrived = fleet::next_hop(back->m_grant);
        CPPUNIT_ASSERT(arrived->m_to == far_host);
        CPPUNIT_ASSERT(!fleet::next_hop(arrived->m_grant));
    }
    static void a_longer_lease_than_the_limit_is_shortened() {
        wire::primary_lease_grantT message;
        message.lease_ms = 60'000;
        CPPUNIT_ASSERT(fleet::from_wire(message).m_length == lease_length);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(primary_lease_rules);

} // namespace
