// Guards against a request that gets no answer, two answers or the answer of another request, against a write
// that ran although not_run was reported to the caller, and against sending a request twice that is not
// repeatable. Runs are random: endpoint owners refuse, fail, answer twice or never, and lose their
// connections.
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
    explicit random_run(const retries::retry_rules& rules) : m_harness(rules) {
        m_harness.m_on_send = [this](const sent_statement& sent) { receive(sent); };
    }

    void run() {
        for (int step = *rc::gen::inRange(1, 30); step > 0; --step) {
            this->step();
        }
        m_harness.advance(std::chrono::seconds(20));
        for (std::size_t index = 0; index < m_harness.m_answers.size(); ++index) {
            check(index);
        }
    }

private:
    struct request_history {
        int m_executions = 0;
        int m_sends = 0;
        bool m_not_repeatable = false;
        bool m_write = false;
        core::time_point m_deadline;
    };

    void step() {
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            m_harness.advance(core::milliseconds(*rc::gen::inRange(0, 300)));
            break;
        case 1:
            m_harness.m_dispatcher.on_owner_connection_lost(host_name(*rc::gen::inRange(0, 3)));
            break;
        case 2:
            m_harness.m_state.m_groups.at(group_name(0)).m_promotion_in_progress =
                *rc::gen::inRange(0, 2) == 0;
            break;
        default:
            send();
        }
    }

    void send() {
        const bool write = *rc::gen::inRange(0, 2) == 0;
        const bool not_repeatable = *rc::gen::inRange(0, 2) == 0;
        const std::size_t index = m_harness.m_answers.size();
        const core::deadline deadline =
            core::deadline_after(m_harness.m_now, core::milliseconds(*rc::gen::inRange(0, 2000)));
        m_histories[index] = {0, 0, not_repeatable, write, deadline.m_at};
        m_harness.send(write ? statement_kind::write : statement_kind::read,
                       m_harness.token(make_position(1, 1)), [&](routing::entry_statement& statement) {
                           statement.m_request.m_not_repeatable = not_repeatable;
                           statement.m_request.m_deadline = deadline;
                       });
    }

    // Chooses what the owner does with a statement: refuse it, run it with an uncertain result, run it
    // without an answer, or run and answer it.
    void receive(const sent_statement& sent) {
        request_history& history = m_histories.at(std::stoul(sent.m_request.m_sql.substr(4)));
        RC_ASSERT(m_harness.m_now < history.m_deadline);
        ++history.m_sends;
        RC_ASSERT(history.m_sends == 1 || !history.m_not_repeatable);
        const int copies = *rc::gen::inRange(0, 4) == 0 ? 2 : 1;
        const core::milliseconds delay(*rc::gen::inRange(0, 3) == 0 ? *rc::gen::inRange(1, 3000) : 0);
        const auto answer = [this, sent, copies, delay](verdict what, reason why) {
            const auto deliver = [sent, copies, what, why] {
                for (int copy = 0; copy < copies; ++copy) {
                    sent.answer(what, why, make_position(1, 1));
                }
            };
            m_harness.m_timers.emplace(m_harness.m_now + delay, deliver);
        };
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            answer(verdict::not_run, *rc::gen::element(reason::overloaded, reason::owner_changed,
                                                       reason::owner_unreachable, reason::data_too_old));
            break;
        case 1:
            ++history.m_executions;
            answer(verdict::may_have_run, reason::connection_lost);
            break;
        case 2:
            ++history.m_executions; // The answer is lost.
            break;
        default:
            ++history.m_executions;
            answer(verdict::ran, reason::none);
        }
    }

    void check(std::size_t index) {
        const request_history& history = m_histories.at(index);
        RC_ASSERT(m_harness.m_answers.at(index).size() == 1U);
        const core::statement_answer& answer = m_harness.answer(index).m_answer;
        if (answer.m_verdict == verdict::ran) {
            RC_ASSERT(answer.m_message == "sql " + std::to_string(index));
        }
        if (answer.m_verdict == verdict::not_run && (history.m_write || history.m_not_repeatable)) {
            RC_ASSERT(history.m_executions == 0);
        }
        if (history.m_write || history.m_not_repeatable) {
            RC_ASSERT(history.m_executions <= 1);
        }
    }

    std::map<std::size_t, request_history> m_histories;
    dispatcher_harness m_harness;
};

bool holds_under(const retries::retry_rules& rules, expectation expected) {
    return meets_expectation(
        expected, [&rules] { random_run(rules).run(); }, 500);
}

} // namespace

class exactly_one_answer : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(exactly_one_answer);
    CPPUNIT_TEST(every_request_gets_its_own_answer_once);
    CPPUNIT_TEST(injected_faults_are_detected);
    CPPUNIT_TEST_SUITE_END();

public:
    void every_request_gets_its_own_answer_once() { CPPUNIT_ASSERT(holds_under({}, expectation::holds)); }

    void injected_faults_are_detected() {
        using rules_type = retries::retry_rules;
        const std::pair<const char*, bool rules_type::*> injected[] = {
            {"uncertain writes are retried", &rules_type::m_only_not_run},
            {"requests that are not repeatable are retried", &rules_type::m_respect_not_repeatable},
        };
        for (const auto& [fault, rule] : injected) {
            rules_type rules;
            rules.*rule = false;
            CPPUNIT_ASSERT_MESSAGE(fault, holds_under(rules, expectation::fails));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exactly_one_answer);
