// Guards against acknowledging a write that a promotion can lose, against acknowledging one after the lease
// or the term has ended, and against serving data that is older than the reported bound. Injected faults
// verify that the properties detect each of these failures.
#include "replication/data_age_tracker.h"
#include "replication/quorum_tracker.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace mangoquay;
using namespace std::chrono_literals;
using core::endpoint_id;
using core::history_position;
using core::log_position;
using core::term;
using replication::quorum_rules;
using replication::write_number;

namespace {

// A group of a primary p and replicas r1 and r2. Endpoint x replicates from p but is not a member.
class group_simulation {
public:
    group_simulation(std::uint64_t seed, const quorum_rules& rules)
        : m_random(seed), m_tracker(endpoint_id("p"), rules) {
        set_group();
    }

    std::string run() {
        for (int step = 0; step < 300 && m_violation.empty(); ++step) {
            m_now += core::milliseconds(m_random() % 10);
            run_event();
        }
        check(m_tracker.end_all(core::reason::lease_lapsed));
        if (!m_writes.empty() && m_violation.empty()) {
            m_violation = "a write never ended";
        }
        return m_violation;
    }

private:
    struct write {
        history_position m_position;
        core::deadline m_deadline;
    };

    void set_group() {
        check(m_tracker.set_group(term{m_term}, m_promotion,
                                  {endpoint_id("p"), endpoint_id("r1"), endpoint_id("r2")}));
    }

    void run_event() {
        switch (m_random() % 8) {
        case 0:
        case 1: {
            m_log += 1 + m_random() % 100;
            const write next{{term{m_term}, log_position{m_log}}, core::deadline_after(m_now, 60ms)};
            m_writes.emplace(++m_next, next);
            m_tracker.add_write(write_number{m_next}, next.m_position, next.m_deadline, m_now);
            break;
        }
        case 2:
        case 3:
            for (const char* replica : {"r1", "r2", "x"}) {
                auto& flushed = m_flushed[endpoint_id(replica)];
                flushed = log_position{flushed.value() + m_random() % (m_log - flushed.value() + 1)};
            }
            break;
        case 4: // Query the primary. The answer arrives later.
            m_queried_at = m_now;
            m_report = {term{m_term}, m_flushed};
            break;
        case 5:
        case 6:
            check(m_tracker.on_replica_report(m_report, m_queried_at, m_permission, m_now));
            break;
        default:
            change_permission_or_term();
            break;
        }
    }

    void change_permission_or_term() {
        m_permission = m_random() % 4 != 0;
        if (m_random() % 4 == 0) {
            m_promotion = !m_promotion;
            m_term += m_promotion ? 1 : 0;
            set_group();
        }
        if (m_random() % 4 == 0) {
            check(m_tracker.expire_writes(m_now));
        }
    }

    void check(const std::vector<replication::write_outcome>& ends) {
        for (const auto& end : ends) {
            const auto found = m_writes.find(static_cast<std::uint64_t>(end.m_number));
            if (found == m_writes.end()) {
                m_violation = "a write ended twice";
                return;
            }
            const write ended = found->second;
            m_writes.erase(found);
            if (end.m_uncertain_reason != core::reason::none) {
                continue;
            }
            const bool replicated = std::max(m_flushed[endpoint_id("r1")], m_flushed[endpoint_id("r2")]) >=
                                    ended.m_position.m_position;
            if (!replicated || !m_permission || m_promotion || ended.m_position.m_term != term{m_term} ||
                ended.m_deadline.passed(m_now)) {
                m_violation = "a write was acknowledged without quorum, without permission, in another term "
                              "or after its deadline";
            }
        }
    }

    std::mt19937_64 m_random;
    replication::quorum_tracker m_tracker;
    core::time_point m_now{1s};
    std::uint32_t m_term = 3;
    bool m_promotion = false;
    bool m_permission = true;
    std::uint64_t m_log = 1;
    std::map<endpoint_id, log_position> m_flushed;
    core::time_point m_queried_at;
    replication::replica_report m_report;
    std::map<std::uint64_t, write> m_writes;
    std::uint64_t m_next = 0;
    std::string m_violation;
};

bool some_seed_violates(const quorum_rules& rules) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        if (!group_simulation(seed, rules).run().empty()) {
            return true;
        }
    }
    return false;
}

// Simulates a primary that commits and a replica that lags. Returns whether some reported age bound was too
// small. `date_by_answer` injects a fault: positions are dated by the arrival of the answer instead of by the
// sending of the query.
bool age_understated(std::uint64_t seed, bool date_by_answer) {
    std::mt19937_64 random(seed);
    replication::data_age_tracker tracker;
    std::vector<std::pair<core::time_point, std::uint64_t>> commits;
    core::time_point now{1s};
    std::uint64_t log = 0;
    std::uint64_t applied = 0;
    for (int step = 0; step < 200; ++step) {
        const core::time_point queried_at = now;
        const history_position answer{term{3}, log_position{log}};
        now += core::milliseconds(random() % 20);
        log += random() % 10;
        commits.emplace_back(now, log);
        now += core::milliseconds(random() % 20);
        applied += random() % (log - applied + 1);
        tracker.on_primary_position(date_by_answer ? now : queried_at, answer, {});
        tracker.on_replica_position({term{3}, log_position{applied}}, {});
        const auto age = tracker.age_upper_bound(now);
        if (age && std::ranges::any_of(commits, [&](const auto& commit) {
                return commit.first < now - *age && commit.second > applied;
            })) {
            return true;
        }
    }
    return false;
}

} // namespace

class replication_proofs : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replication_proofs);
    CPPUNIT_TEST(acknowledged_writes_survive);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST(quorum_counts_members);
    CPPUNIT_TEST(replica_before_the_fork_does_not_hold_an_older_term);
    CPPUNIT_TEST(age_bound_is_never_too_small);
    CPPUNIT_TEST(rewound_replica_has_no_age_bound);
    CPPUNIT_TEST_SUITE_END();

public:
    void acknowledged_writes_survive() {
        CPPUNIT_ASSERT(rc::check("acknowledged writes survive", [](std::uint64_t seed) {
            const std::string violation = group_simulation(seed, {}).run();
            if (!violation.empty()) {
                RC_FAIL(violation);
            }
        }));
    }

    void injected_faults_are_detected() {
        for (bool quorum_rules::*const rule :
             {&quorum_rules::m_require_quorum, &quorum_rules::m_check_permission,
              &quorum_rules::m_check_deadline, &quorum_rules::m_count_members_only,
              &quorum_rules::m_check_term}) {
            quorum_rules rules;
            rules.*rule = false;
            CPPUNIT_ASSERT(some_seed_violates(rules));
        }
    }

    void quorum_counts_members() {
        replication::quorum_tracker tracker{endpoint_id("p")};
        const auto held = [&](const std::set<endpoint_id>& members,
                              std::map<endpoint_id, log_position> flushed) {
            tracker.set_group(term{1}, false, members);
            return tracker.quorum_position({term{1}, std::move(flushed)}).value();
        };
        const endpoint_id p("p");
        const endpoint_id a("a");
        const endpoint_id b("b");
        const endpoint_id c("c");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, held({p, a, b}, {{a, log_position{7}}, {b, log_position{5}}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                             held({p, a, b, c}, {{a, log_position{7}}, {b, log_position{5}}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, held({p, a, b, c}, {{a, log_position{7}}}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, held({a, b}, {{a, log_position{7}}}));
        CPPUNIT_ASSERT(held({p}, {}) > 0);
    }

    void replica_before_the_fork_does_not_hold_an_older_term() {
        using replication::contains_position;
        const auto at = [](std::uint32_t in_term, std::uint64_t position) {
            return history_position{term{in_term}, log_position{position}};
        };
        const replication::fork_positions forks{{term{4}, log_position{110}}, {term{5}, log_position{150}}};
        CPPUNIT_ASSERT(!contains_position(at(4, 100), at(3, 105), forks));
        CPPUNIT_ASSERT(contains_position(at(4, 105), at(3, 105), forks));
        CPPUNIT_ASSERT(contains_position(at(4, 110), at(3, 900), forks));
        CPPUNIT_ASSERT(contains_position(at(5, 110), at(3, 900), forks));
        CPPUNIT_ASSERT(!contains_position(at(5, 120), at(4, 140), forks));
        CPPUNIT_ASSERT(!contains_position(at(4, 110), at(3, 900), {}));
        CPPUNIT_ASSERT(!contains_position(at(3, 900), at(4, 120), forks));
    }

    void age_bound_is_never_too_small() {
        CPPUNIT_ASSERT(rc::check("age bound is never too small",
                                 [](std::uint64_t seed) { RC_ASSERT(!age_understated(seed, false)); }));
        CPPUNIT_ASSERT(age_understated(1, true));
    }

    void rewound_replica_has_no_age_bound() {
        replication::data_age_tracker tracker;
        const core::time_point now{1s};
        tracker.on_primary_position(now, {term{3}, log_position{50}}, {});
        tracker.on_replica_position({term{3}, log_position{60}}, {});
        CPPUNIT_ASSERT(tracker.age_upper_bound(now + 5ms) == 5ms);
        tracker.on_replica_position({term{4}, log_position{40}}, {});
        CPPUNIT_ASSERT(!tracker.age_upper_bound(now));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replication_proofs);
