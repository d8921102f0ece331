// Guards against a caller that does not see its own writes. Runs random histories of writes, lagging
// replicas, promotions that discard the tail of the old primary, lost session tokens and outdated views.
// Injected faults verify that the property detects violations.
#include "routing/choose_endpoint.h"
#include "support/fleet_state.h"
#include "support/property_check.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace mangoquay;
using namespace mangoquay::test;

namespace {

// Model of one caller and one group of three databases, each of them a list of write numbers.
class history_model {
public:
    explicit history_model(const routing::route_rules& rules) : m_rules(rules) {}

    void step() {
        m_now += core::milliseconds(*rc::gen::inRange(0, 400));
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
            write(true);
            break;
        case 2:
            write(false);
            break;
        case 3:
            replicate(*rc::gen::inRange(0, 3));
            break;
        case 4:
            promote();
            break;
        case 5:
            m_view_current = true;
            m_view = m_state;
            break;
        default:
            read();
        }
    }

private:
    struct database {
        std::vector<int> m_writes;
        std::uint32_t m_term = 1;
        std::size_t m_shared = 0; // Length of the history that its term shares with earlier terms.
    };

    core::history_position position_of(int member) const {
        return make_position(m_databases[member].m_term, m_databases[member].m_writes.size());
    }
    int primary() const {
        const auto& id = m_state.m_groups.at(group_name(0)).m_primary;
        return id.value().back() - 'a';
    }

    bool holds_all_seen(int member) const {
        const std::vector<int>& writes = m_databases[member].m_writes;
        return std::all_of(m_seen.begin(), m_seen.end(), [&writes](int write) {
            return std::find(writes.begin(), writes.end(), write) != writes.end();
        });
    }

    // A write that is not acknowledged stays on the primary only, and a promotion may discard it.
    void write(bool acknowledged) {
        if (m_databases[primary()].m_term != m_state.m_groups.at(group_name(0)).m_term.value()) {
            return;
        }
        m_databases[primary()].m_writes.push_back(++m_last_write);
        if (!acknowledged) {
            return;
        }
        replicate((primary() + *rc::gen::inRange(1, 3)) % 3, true);
        m_seen.push_back(m_last_write);
        m_token = position_of(primary());
        m_positions.set_position(endpoint_name(0, primary()), m_token.value());
    }

    // Copies history from the primary to `member`, which first drops a diverged tail.
    void replicate(int member, bool fully = false) {
        const database& source = m_databases[primary()];
        database& target = m_databases[member];
        if (member == primary()) {
            return;
        }
        const auto common = std::mismatch(target.m_writes.begin(), target.m_writes.end(),
                                          source.m_writes.begin(), source.m_writes.end());
        target.m_writes.erase(common.first, target.m_writes.end());
        const std::size_t length = target.m_writes.size();
        const std::size_t min_length = std::max(length, std::min(source.m_shared, source.m_writes.size()));
        const std::size_t new_length =
            fully ? source.m_writes.size()
                  : *rc::gen::inRange<std::size_t>(min_length, source.m_writes.size() + 1);
        target = {
            {source.m_writes.begin(), source.m_writes.begin() + static_cast<std::ptrdiff_t>(new_length)},
            source.m_term,
            source.m_shared};
        auto& record = m_state.m_endpoints.at(endpoint_name(0, member));
        record.m_role = control::endpoint_role::replica;
        if (*rc::gen::inRange(0, 2) == 0) {
            m_positions.set_position(endpoint_name(0, member), position_of(member));
        }
    }

    void promote() {
        const int old_primary = primary();
        const int left = (old_primary + 1) % 3;
        const int right = (old_primary + 2) % 3;
        // The less advanced replica may be promoted if it holds all acknowledged writes: in a larger group
        // the quorum that is read may not include the replica with the longest unacknowledged tail.
        const int further = position_of(left) > position_of(right) ? left : right;
        const int other = left + right - further;
        const bool may_lead =
            holds_all_seen(other) && position_of(other).m_term == position_of(further).m_term;
        const int next = may_lead && *rc::gen::inRange(0, 2) == 0 ? other : further;
        auto& group = m_state.m_groups.at(group_name(0));
        group.m_term = core::term(group.m_term.value() + 1);
        group.m_primary = endpoint_name(0, next);
        group.m_fork_positions[group.m_term] = core::log_position(m_databases[next].m_writes.size());
        m_databases[next].m_term = group.m_term.value();
        m_databases[next].m_shared = m_databases[next].m_writes.size();
        m_state.m_endpoints.at(group.m_primary).m_role = control::endpoint_role::primary;
        m_state.m_endpoints.at(endpoint_name(0, old_primary)).m_role = control::endpoint_role::needs_rewind;
        m_view_current = *rc::gen::inRange(0, 2) == 0;
        m_view = m_view_current ? m_state : m_view;
    }

    void read() {
        const bool has_token = m_token.has_value() && *rc::gen::inRange(0, 4) > 0;
        routing::route_request request;
        request.m_service = service;
        request.m_group = group_name(0);
        request.m_purpose = routing::request_purpose::read;
        request.m_zone = zones[*rc::gen::inRange(0, 3)];
        request.m_view_current = m_view_current;
        request.m_deadline = core::deadline_after(m_now, std::chrono::seconds(5));
        request.m_min_position = has_token ? m_token : std::nullopt;
        const auto& view = m_view_current ? m_state : m_view;
        const auto decision = routing::choose_endpoint(view, m_positions, request, m_now, m_rules);
        if (decision.refused()) {
            return;
        }
        serve(decision.m_endpoint.value().back() - 'a', decision);
    }

    // Simulates the owner, which checks the requested position before it serves the read.
    void serve(int member, const routing::route_decision& decision) {
        if (decision.m_position_wait.count() > 0 && *rc::gen::inRange(0, 2) == 0) {
            replicate(member);
        }
        if (decision.m_reason == routing::route_reason::position_reached) {
            const auto* known = m_positions.find(decision.m_endpoint);
            RC_ASSERT((known->m_position >= decision.m_min_position));
        }
        const auto& min_position = decision.m_min_position;
        if (min_position.has_value() && position_of(member) < *min_position) {
            m_positions.record_lag(decision.m_endpoint, m_now);
            return;
        }
        const std::vector<int>& visible = m_databases[member].m_writes;
        RC_ASSERT(holds_all_seen(member));
        if (m_view_current) {
            // The read must not return writes that a promotion discarded.
            const std::vector<int>& truth = m_databases[primary()].m_writes;
            RC_ASSERT((std::mismatch(visible.begin(), visible.end(), truth.begin(), truth.end()).first ==
                       visible.end()));
        }
        m_positions.set_position(decision.m_endpoint, position_of(member));
    }

    routing::route_rules m_rules;
    control::control_state m_state = fleet_state();
    control::control_state m_view = fleet_state();
    bool m_view_current = true;
    routing::position_table m_positions;
    core::time_point m_now{std::chrono::hours(1)};
    database m_databases[3];
    int m_last_write = 0;
    std::vector<int> m_seen; // Acknowledged writes of the caller.
    std::optional<core::history_position> m_token;
};

bool holds_under(const routing::route_rules& rules, expectation expected) {
    const auto property = [&rules] {
        history_model model(rules);
        for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
            model.step();
        }
    };
    return meets_expectation(expected, property, 2000);
}

} // namespace

class read_your_writes : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(read_your_writes);
    CPPUNIT_TEST(callers_see_their_writes);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_see_their_writes() { CPPUNIT_ASSERT(holds_under({}, expectation::holds)); }

    void injected_faults_are_detected() {
        using rules_type = routing::route_rules;
        const std::pair<const char*, bool rules_type::*> injected_faults[] = {
            {"position not compared", &rules_type::m_check_position},
            {"discarded tail served", &rules_type::m_refuse_old_terms},
            {"read sent to a replaced primary", &rules_type::m_require_current},
        };
        for (const auto& [fault, rule] : injected_faults) {
            rules_type rules;
            rules.*rule = false;
            CPPUNIT_ASSERT_MESSAGE(fault, holds_under(rules, expectation::fails));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(read_your_writes);
