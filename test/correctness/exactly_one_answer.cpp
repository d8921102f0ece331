// Guards, over random runs of owners that refuse, fail, answer twice or never and lose their links, against:
// a caller without an answer or with two, another request's answer, a write that ran although the caller was
// told not_run, and a request that is not repeatable being sent twice.
#include "support/dispatcher_harness.h"
#include "support/property_check.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;
using namespace mangoquay::test;
using core::reason;
using core::statement_kind;
using core::verdict;

namespace {

class random_run {
public:
    explicit random_run(const retries::retry_rules& rules) : m_world(rules) {
        m_world.m_on_send = [this](const sent_statement& sent) { receive(sent); };
    }

    void run() {
        for (int step = *rc::gen::inRange(1, 30); step > 0; --step) {
            this->step();
        }
        m_world.advance(std::chrono::seconds(20));
        for (std::size_t index = 0; index < m_world.m_answers.size(); ++index) {
            check(index);
        }
    }

private:
    struct fate {
        int m_executions = 0;
        int m_sends = 0;
        bool m_not_repeatable = false;
        bool m_write = false;
        core::time_point m_deadline;
    };

    void step() {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            m_world.advance(core::milliseconds(*rc::gen::inRange(0, 300)));
            break;
        case 1:
            m_world.m_dispatcher.on_owner_connection_lost(host_name(*rc::gen::inRange(0, 3)));
            break;
        case 2:
            m_world.m_state.m_groups.at(group_name(0)).m_promotion_in_progress = *rc::gen::inRange(0, 2) == 0;
            break;
        default:
            send();
        }
    }

    void send() {
        const bool write = *rc::gen::inRange(0, 2) == 0;
        const bool not_repeatable = *rc::gen::inRange(0, 2) == 0;
        const std::size_t index = m_world.m_answers.size();
        const core::deadline ends =
            core::deadline_after(m_world.m_now, core::milliseconds(*rc::gen::inRange(0, 2000)));
        m_fates[index] = {0, 0, not_repeatable, write, ends.m_at};
        m_world.send(write ? statement_kind::write : statement_kind::read, m_world.token(at(1, 1)),
                     [&](routing::entry_statement& statement) {
                         statement.m_request.m_not_repeatable = not_repeatable;
                         statement.m_request.m_deadline = ends;
                     });
    }

    // What an owner may do with a statement.
    void receive(const sent_statement& sent) {
        fate& own = m_fates.at(std::stoul(sent.m_request.m_sql.substr(4)));
        RC_ASSERT(m_world.m_now < own.m_deadline);
        ++own.m_sends;
        RC_ASSERT(own.m_sends == 1 || !own.m_not_repeatable);
        const int copies = *rc::gen::inRange(0, 4) == 0 ? 2 : 1;
        const core::milliseconds delay(*rc::gen::inRange(0, 3) == 0 ? *rc::gen::inRange(1, 3000) : 0);
        const auto answer = [this, sent, copies, delay](verdict what, reason why) {
            const auto deliver = [sent, copies, what, why] {
                for (int copy = 0; copy < copies; ++copy) {
                    sent.answer(what, why, at(1, 1));
                }
            };
            m_world.m_timers.emplace(m_world.m_now + delay, deliver);
        };
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            answer(verdict::not_run, *rc::gen::element(reason::overloaded, reason::owner_changed,
                                                       reason::owner_unreachable, reason::data_too_old));
            break;
        case 1:
            ++own.m_executions;
            answer(verdict::may_have_run, reason::connection_lost);
            break;
        case 2:
            ++own.m_executions; // and the answer is lost
            break;
        default:
            ++own.m_executions;
            answer(verdict::ran, reason::none);
        }
    }

    void check(std::size_t index) {
        const fate& own = m_fates.at(index);
        RC_ASSERT(m_world.m_answers.at(index).size() == 1U);
        const core::statement_answer& answer = m_world.answer(index).m_answer;
        if (answer.m_verdict == verdict::ran) {
            RC_ASSERT(answer.m_message == "sql " + std::to_string(index));
        }
        if (answer.m_verdict == verdict::not_run && (own.m_write || own.m_not_repeatable)) {
            RC_ASSERT(own.m_executions == 0);
        }
        if (own.m_write || own.m_not_repeatable) {
            RC_ASSERT(own.m_executions <= 1);
        }
    }

    std::map<std::size_t, fate> m_fates;
    dispatcher_harness m_world;
};

bool holds_under(const retries::retry_rules& rules, expectation expected) {
    return meets(
        expected, [&rules] { random_run(rules).run(); }, 500);
}

} // namespace

class exactly_one_answer : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(exactly_one_answer);
    CPPUNIT_TEST(every_request_gets_its_own_answer_once);
    CPPUNIT_TEST(planted_faults_are_caught);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_request_gets_its_own_answer_once() { CPPUNIT_ASSERT(holds_under({}, expectation::holds)); }

    void planted_faults_are_caught() {
        using rules_type = retries::retry_rules;
        const std::pair<const char*, bool rules_type::*> planted[] = {
            {"uncertain writes are retried", &rules_type::m_only_not_run},
            {"requests that are not repeatable are retried", &rules_type::m_respect_not_repeatable},
        };
        for (const auto& [fault, rule] : planted) {
            rules_type rules;
            rules.*rule = false;
            CPPUNIT_ASSERT_MESSAGE(fault, holds_under(rules, expectation::fails));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exactly_one_answer);
