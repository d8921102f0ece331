// Guards against three failures of routing:
// - a read is sent to a replica that lacks the caller's writes;
// - a statement is sent to an endpoint that must not get any, such as a failed, leaving or replaced one;
// - a read is sent to the primary although a replica could serve it.
#include "routing/choose_endpoint.h"
#include "support/fleet_state.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::test;
using routing::request_purpose;
using routing::route_reason;

class routing_decisions : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(routing_decisions);
    CPPUNIT_TEST(writes_need_a_current_view_a_lease_and_a_primary);
    CPPUNIT_TEST(reads_prefer_a_replica_in_their_zone_at_the_position);
    CPPUNIT_TEST(reads_wait_for_a_replica_before_using_the_primary);
    CPPUNIT_TEST(reads_without_a_token_go_to_the_primary_or_an_age_checked_replica);
    CPPUNIT_TEST(unusable_endpoints_get_no_statements);
    CPPUNIT_TEST(endpoints_of_replaced_terms_get_no_reads);
    CPPUNIT_TEST(an_outdated_view_routes_only_reads_that_owners_check);
    CPPUNIT_TEST(exports_read_replicas_at_the_settled_position);
    CPPUNIT_TEST(load_spreads_over_zones);
    CPPUNIT_TEST(routing_keys_map_to_fixed_groups);
    CPPUNIT_TEST_SUITE_END();

    control::control_state m_state;
    routing::position_table m_positions;
    routing::route_request m_request;
    core::time_point m_now{std::chrono::hours(1)};

    routing::route_decision decide() const {
        return routing::choose_endpoint(m_state, m_positions, m_request, m_now);
    }
    control::endpoint_record& endpoint(int member) {
        return m_state.m_endpoints.at(endpoint_name(0, member));
    }
    void assert_chosen(int member, route_reason reason) const {
        const routing::route_decision decision = decide();
        CPPUNIT_ASSERT_EQUAL(endpoint_name(0, member).value(), decision.m_endpoint.value());
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(reason)), std::string(to_string(decision.m_reason)));
    }
    void assert_refused(core::reason reason) const {
        CPPUNIT_ASSERT(decide().refused());
        CPPUNIT_ASSERT_EQUAL(std::string(to_string(reason)), std::string(to_string(decide().m_refusal)));
    }

public:
    void setUp() override {
        m_state = fleet_state();
        m_positions = {};
        m_request = {};
        m_request.m_service = service;
        m_request.m_group = group_name(0);
        m_request.m_zone = zones[1];
        m_request.m_view_current = true;
        m_request.m_lease_valid = true;
        m_request.m_deadline = core::deadline_after(m_now, std::chrono::seconds(5));
    }

    void writes_need_a_current_view_a_lease_and_a_primary() {
        assert_chosen(0, route_reason::write_to_primary);
        m_request.m_lease_valid = false;
        assert_refused(core::reason::lease_lapsed);
        m_request.m_view_current = false;
        assert_refused(core::reason::control_not_current);
        m_request.m_lease_valid = m_request.m_view_current = true;
        m_state.m_groups.at(group_name(0)).m_promotion_in_progress = true;
        assert_refused(core::reason::no_primary);
        m_request.m_group = group_name(7);
        assert_refused(core::reason::unknown_group);
    }

    void reads_prefer_a_replica_in_their_zone_at_the_position() {
        m_request.m_purpose = request_purpose::read;
        m_request.m_min_position = make_position(1, 100);
        m_positions.set_position(endpoint_name(0, 1), make_position(1, 100));
        m_positions.set_position(endpoint_name(0, 2), make_position(1, 500));
        assert_chosen(1, route_reason::position_reached);
        m_request.m_min_position = make_position(1, 101);
        assert_chosen(2, route_reason::position_reached);
        CPPUNIT_ASSERT(decide().m_min_position == make_position(1, 101));
    }

    void reads_wait_for_a_replica_before_using_the_primary() {
        m_request.m_purpose = request_purpose::read;
        m_request.m_min_position = make_position(1, 100);
        assert_chosen(1, route_reason::position_expected);
        CPPUNIT_ASSERT(decide().m_position_wait == routing::max_position_wait);
        m_positions.record_lag(endpoint_name(0, 1), m_now);
        assert_chosen(2, route_reason::position_expected);
        m_positions.record_lag(endpoint_name(0, 2), m_now);
        assert_chosen(0, route_reason::primary_replicas_behind);
        m_now += routing::lag_backoff;
        assert_chosen(1, route_reason::position_expected);
    }

    void reads_without_a_token_go_to_the_primary_or_an_age_checked_replica() {
        m_request.m_purpose = request_purpose::read;
        assert_chosen(0, route_reason::primary_no_token);
        m_request.m_max_age = core::milliseconds(500);
        assert_chosen(1, route_reason::age_allowed);
        m_request.m_excluded = {endpoint_name(0, 1), endpoint_name(0, 2)};
        assert_chosen(0, route_reason::primary_no_replica);
    }

    void unusable_endpoints_get_no_statements() {
        m_request.m_purpose = request_purpose::read;
        m_request.m_min_position = make_position(1, 1);
        const auto exclude_local_replica = [this](const auto& change, const char* what) {
            setUp();
            m_request.m_purpose = request_purpose::read;
            m_request.m_min_position = make_position(1, 1);
            change();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, endpoint_name(0, 2).value(), decide().m_endpoint.value());
        };
        exclude_local_replica([this] { endpoint(1).m_leaving = true; }, "leaving");
        exclude_local_replica([this] { endpoint(1).m_role = control::endpoint_role::needs_rewind; },
                              "needs rewind");
        exclude_local_replica([this] { endpoint(1).m_owner = {}; }, "no owner");
        exclude_local_replica([this] { m_state.m_proxies.erase(host_name(1)); }, "owner is gone");
        exclude_local_replica([this] { m_positions.record_endpoint_failure(endpoint_name(0, 1), m_now); },
                              "endpoint failed");
        exclude_local_replica([this] { m_positions.record_owner_failure(host_name(1), m_now); },
                              "owner failed");
        exclude_local_replica(
            [this] {
                auto& preset = m_state.m_presets.at(core::preset_name("ordinary_day"));
                preset.m_drained_endpoints.insert(endpoint_name(0, 1));
            },
            "drained by the preset");
        m_request.m_purpose = request_purpose::write;
        endpoint(0).m_leaving = true;
        assert_refused(core::reason::endpoint_leaving);
    }

    void endpoints_of_replaced_terms_get_no_reads() {
        auto& group = m_state.m_groups.at(group_name(0));
        group.m_term = core::term(2);
        group.m_fork_positions[core::term(2)] = core::log_position(90);
        m_request.m_purpose = request_purpose::read;
        m_request.m_min_position = make_position(1, 80);
        m_positions.set_position(endpoint_name(0, 1), make_position(1, 200)); // Its tail was discarded.
        m_positions.set_position(endpoint_name(0, 2), make_position(2, 95));
        assert_chosen(2, route_reason::position_reached);
        CPPUNIT_ASSERT(decide().m_min_position == make_position(2, 90));
        m_request.m_min_position = make_position(3, 1); // The session has seen a later term than this view.
        m_request.m_excluded = {endpoint_name(0, 1), endpoint_name(0, 2)};
        assert_refused(core::reason::control_not_current);
    }

    void an_outdated_view_routes_only_reads_that_owners_check() {
        m_request.m_view_current = false;
        m_request.m_purpose = request_purpose::read;
        assert_refused(core::reason::control_not_current);
        m_request.m_max_age = core::milliseconds(500);
        assert_chosen(1, route_reason::age_allowed);
        m_request.m_min_position = make_position(1, 100);
        assert_chosen(1, route_reason::position_expected);
        m_request.m_excluded = {endpoint_name(0, 1), endpoint_name(0, 2)};
        assert_refused(core::reason::control_not_current);
    }

    void exports_read_replicas_at_the_settled_position() {
        m_request.m_purpose = request_purpose::export_read;
        m_request.m_min_position = make_position(1, 100);
        m_positions.set_position(endpoint_name(0, 2), make_position(1, 100));
        assert_chosen(2, route_reason::settled_day);
    }

    void load_spreads_over_zones() {
        m_request.m_purpose = request_purpose::read;
        m_request.m_min_position = make_position(1, 100);
        std::map<std::string, int> served;
        for (int member = 1; member < 3; ++member) {
            m_positions.set_position(endpoint_name(0, member), make_position(1, 100));
        }
        for (int request = 0; request < 30; ++request) {
            m_request.m_random = static_cast<std::uint64_t>(request);
            const core::endpoint_id chosen = decide().m_endpoint;
            m_positions.record_attempt_start(chosen);
            ++served[chosen.value()];
        }
        // Each replica has three slots. The one in the proxy's zone is ahead by about one request per slot.
        CPPUNIT_ASSERT(served.at("g0-b") >= 16 && served.at("g0-c") >= 12);
    }

    void routing_keys_map_to_fixed_groups() {
        control::service_record record;
        std::map<std::string, int> counts;
        record.m_groups = {group_name(0), group_name(1), group_name(2)};
        // The mapping must never change, because the rows of a key could not be found in another group.
        std::string groups;
        for (int key = 0; key < 12; ++key) {
            groups += routing::group_of_key(record, "key-" + std::to_string(key)).value().substr(1);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("001101221002"), groups);
        for (int key = 0; key < 3000; ++key) {
            ++counts[routing::group_of_key(record, "key-" + std::to_string(key)).value()];
        }
        for (const auto& [group, count] : counts) {
            CPPUNIT_ASSERT(count > 900 && count < 1100);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_decisions);
