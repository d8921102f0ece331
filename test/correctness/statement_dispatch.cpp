// Guards against answers that are lost, duplicated or given to the wrong request, against writes that are
// sent twice, and against transactions that continue after a failure.
#include "support/dispatcher_harness.h"
#include "support/property_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace mangoquay;
using namespace mangoquay::test;
using core::reason;
using core::statement_kind;
using core::verdict;

namespace {

void assert_answer(const dispatcher_harness& harness, std::size_t index, verdict expected, reason why) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_answers.at(index).size());
    const core::statement_answer& answer = harness.answer(index).m_answer;
    CPPUNIT_ASSERT_EQUAL(std::string(core::to_string(expected)),
                         std::string(core::to_string(answer.m_verdict)));
    CPPUNIT_ASSERT_EQUAL(std::string(core::to_string(why)), std::string(core::to_string(answer.m_reason)));
}

std::function<void(routing::entry_statement&)> in_transaction(const core::transaction_id& id) {
    return [id](routing::entry_statement& statement) { statement.m_request.m_transaction = id; };
}

core::transaction_id begin_transaction(dispatcher_harness& harness) {
    const std::size_t begin = harness.send(statement_kind::begin);
    harness.m_sent.back().answer(verdict::ran);
    return harness.answer(begin).m_transaction;
}

} // namespace

class statement_dispatch : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(statement_dispatch);
    CPPUNIT_TEST(a_read_after_a_write_requires_its_position_at_a_replica);
    CPPUNIT_TEST(a_lost_owner_makes_reads_retry_and_writes_uncertain);
    CPPUNIT_TEST(late_and_mismatched_answers_are_dropped);
    CPPUNIT_TEST(requests_without_an_answer_end_at_the_deadline);
    CPPUNIT_TEST(writes_wait_for_a_promotion);
    CPPUNIT_TEST(a_read_at_a_lagging_replica_is_retried_elsewhere);
    CPPUNIT_TEST(groups_and_days_are_checked_before_anything_is_sent);
    CPPUNIT_TEST(groups_removed_from_a_service_are_refused);
    CPPUNIT_TEST(oversized_or_unknown_positions_route_reads_to_the_primary);
    CPPUNIT_TEST(transactions_stay_at_their_endpoint);
    CPPUNIT_TEST(failed_transactions_refuse_further_steps);
    CPPUNIT_TEST(abandoned_transactions_are_rolled_back);
    CPPUNIT_TEST(shutdown_refuses_all_but_open_transactions);
    CPPUNIT_TEST(timers_do_not_accumulate);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_read_after_a_write_requires_its_position_at_a_replica() {
        dispatcher_harness harness;
        const std::size_t write = harness.send(statement_kind::write);
        harness.m_sent.at(0).answer(verdict::ran, reason::none, make_position(1, 100));
        CPPUNIT_ASSERT_EQUAL(std::string("g0-a"), harness.m_sent.at(0).m_endpoint.value());
        harness.send(statement_kind::read, harness.answer(write).m_session_token);
        CPPUNIT_ASSERT_EQUAL(std::string("g0-b"), harness.m_sent.at(1).m_endpoint.value());
        CPPUNIT_ASSERT(harness.m_sent.at(1).m_request.m_min_position == make_position(1, 100));
        CPPUNIT_ASSERT(harness.m_sent.at(1).m_position_wait.count() > 0);
        harness.send(statement_kind::read, "forged");
        CPPUNIT_ASSERT_EQUAL(std::string("g0-a"), harness.m_sent.at(2).m_endpoint.value());
    }

    void a_lost_owner_makes_reads_retry_and_writes_uncertain() {
        dispatcher_harness harness;
        const std::string token = harness.token(make_position(1, 1));
        const std::size_t read = harness.send(statement_kind::read, token);
        harness.m_dispatcher.on_owner_connection_lost(host_name(1));
        CPPUNIT_ASSERT_EQUAL(std::string("g0-c"), harness.m_sent.at(1).m_endpoint.value());
        harness.m_sent.at(1).answer(verdict::ran);
        assert_answer(harness, read, verdict::ran, reason::none);
        const std::size_t write = harness.send(statement_kind::write);
        harness.m_dispatcher.on_owner_connection_lost(host_name(0));
        assert_answer(harness, write, verdict::may_have_run, reason::connection_lost);
    }

    void late_and_mismatched_answers_are_dropped() {
        dispatcher_harness harness;
        const std::size_t first = harness.send(statement_kind::write);
        const std::size_t second = harness.send(statement_kind::read, harness.token(make_position(1, 1)));
        sent_statement mismatched = harness.m_sent.at(0);
        mismatched.m_done = harness.m_sent.at(1).m_done;
        mismatched.answer(verdict::ran);
        CPPUNIT_ASSERT(harness.m_answers.at(second).empty());
        harness.m_sent.at(1).answer(verdict::ran);
        harness.m_sent.at(0).answer(verdict::ran);
        harness.m_sent.at(0).answer(verdict::not_run, reason::overloaded);
        assert_answer(harness, first, verdict::ran, reason::none);
        CPPUNIT_ASSERT_EQUAL(std::string("sql 1"), harness.answer(second).m_answer.m_message);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, harness.m_dispatcher.dropped_answers());
    }

    void requests_without_an_answer_end_at_the_deadline() {
        dispatcher_harness harness;
        const std::size_t write = harness.send(statement_kind::write);
        const std::size_t read = harness.send(statement_kind::read);
        harness.advance(std::chrono::seconds(6));
        assert_answer(harness, write, verdict::may_have_run, reason::deadline_exceeded);
        assert_answer(harness, read, verdict::not_run, reason::deadline_exceeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.m_dispatcher.requests_in_progress());
    }

    void writes_wait_for_a_promotion() {
        dispatcher_harness harness;
        auto& group = harness.m_state.m_groups.at(group_name(0));
        group.m_promotion_in_progress = true;
        const std::size_t write =
            harness.send(statement_kind::write, {}, [](routing::entry_statement& statement) {
                statement.m_request.m_not_repeatable = true;
            });
        harness.advance(std::chrono::seconds(2));
        CPPUNIT_ASSERT(harness.m_sent.empty());
        group.m_promotion_in_progress = false;
        harness.advance(retries::max_delay);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_sent.size());
        harness.m_sent.at(0).answer(verdict::ran);
        assert_answer(harness, write, verdict::ran, reason::none);
        const std::string page = harness.m_metrics.render_page({});
        CPPUNIT_ASSERT(page.find("mangoquay_failover_gap_ms_last{group=\"g0\"} 2100") != std::string::npos);
    }

    void a_read_at_a_lagging_replica_is_retried_elsewhere() {
        dispatcher_harness harness;
        const std::size_t read = harness.send(statement_kind::read, harness.token(make_position(1, 9)));
        harness.m_sent.at(0).answer(verdict::not_run, reason::data_too_old, make_position(1, 5));
        harness.m_sent.at(1).answer(verdict::not_run, reason::data_too_old, make_position(1, 6));
        CPPUNIT_ASSERT_EQUAL(std::string("g0-a"), harness.m_sent.at(2).m_endpoint.value());
        harness.m_sent.at(2).answer(verdict::ran);
        assert_answer(harness, read, verdict::ran, reason::none);
    }

    void groups_and_days_are_checked_before_anything_is_sent() {
        dispatcher_harness harness({}, 2);
        const core::business_day day("2026-12-04");
        const auto refusal = [&harness](const auto& change) {
            const std::size_t index = harness.send(statement_kind::write, {}, change);
            return std::string(core::to_string(harness.answer(index).m_answer.m_reason));
        };
        using statement = routing::entry_statement;
        const auto no_group = [](statement& each) { each.m_request.m_group = {}; };
        const auto other_group = [](statement& each) { each.m_request.m_group = core::group_id("x"); };
        const auto other_service = [](statement& each) {
            each.m_request.m_service = core::service_name("x");
        };
        const auto of_day = [&day](statement& each) { each.m_request.m_business_day = day; };
        const auto export_of_day = [&day](statement& each) {
            each.m_request.m_business_day = day;
            each.m_request.m_kind = statement_kind::read;
            each.m_export = true;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("malformed_request"), refusal(no_group));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_group"), refusal(other_group));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown_service"), refusal(other_service));
        CPPUNIT_ASSERT_EQUAL(std::string("day_not_settled"), refusal(export_of_day));
        harness.m_state.m_days[{service, day}] = {};
        CPPUNIT_ASSERT_EQUAL(std::string("day_closed"), refusal(of_day));
        CPPUNIT_ASSERT_EQUAL(std::string("day_not_settled"), refusal(export_of_day));
        CPPUNIT_ASSERT(harness.m_sent.empty());
        auto& record = harness.m_state.m_days.at({service, day});
        record.m_phase = control::day_phase::settled;
        record.m_positions[group_name(0)] = make_position(1, 70);
        harness.send(statement_kind::read, {}, export_of_day);
        CPPUNIT_ASSERT(harness.m_sent.at(0).m_request.m_min_position == make_position(1, 70));
    }

    void groups_removed_from_a_service_are_refused() {
        dispatcher_harness harness({}, 40);
        const auto to_last_group = [](routing::entry_statement& each) {
            each.m_request.m_group = group_name(39);
        };
        harness.send(statement_kind::write, {}, to_last_group);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.m_sent.size());
        control::service_record& record = harness.m_state.m_services.at(service);
        record.m_groups.back() = group_name(40);
        record.m_revision = core::revision(7);
        const std::size_t removed = harness.send(statement_kind::write, {}, to_last_group);
        assert_answer(harness, removed, verdict::not_run, reason::unknown_group);
    }

    void oversized_or_unknown_positions_route_reads_to_the_primary() {
        dispatcher_harness harness;
        const std::size_t write = harness.send(statement_kind::write, harness.token(make_position(1, 5)));
        harness.m_sent.at(0).answer(verdict::ran);
        harness.send(statement_kind::read, harness.answer(write).m_session_token);
        CPPUNIT_ASSERT_EQUAL(std::string("g0-a"), harness.m_sent.at(1).m_endpoint.value());
        sessions::session_positions many;
        for (int group = 1; many.size() < 130; ++group) {
            many[core::group_id("group-" + std::to_string(group))] = make_position(1, 1);
        }
        while (!harness.m_tokens.encode(many).has_value()) {
            many.erase(many.begin());
        }
        const std::size_t last = harness.send(statement_kind::write, *harness.m_tokens.encode(many));
        harness.m_sent.at(2).answer(verdict::ran, reason::none, make_position(1, 6));
        CPPUNIT_ASSERT(!harness.answer(last).m_session_token.empty());
        CPPUNIT_ASSERT(!harness.m_tokens.verify(harness.answer(last).m_session_token).has_value());
    }

    void transactions_stay_at_their_endpoint() {
        dispatcher_harness harness;
        const core::transaction_id id = begin_transaction(harness);
        CPPUNIT_ASSERT(id.value().starts_with("h1~1~"));
        const std::size_t step = harness.send(statement_kind::in_transaction, {}, in_transaction(id));
        const std::size_t second = harness.send(statement_kind::in_transaction, {}, in_transaction(id));
        assert_answer(harness, second, verdict::not_run, reason::malformed_request);
        harness.m_sent.back().answer(verdict::ran);
        assert_answer(harness, step, verdict::ran, reason::none);
        const std::size_t commit = harness.send(statement_kind::commit, {}, in_transaction(id));
        CPPUNIT_ASSERT_EQUAL(std::string("g0-a"), harness.m_sent.back().m_endpoint.value());
        harness.m_sent.back().answer(verdict::ran, reason::none, make_position(1, 50));
        CPPUNIT_ASSERT(!harness.answer(commit).m_session_token.empty());
        const std::size_t again = harness.send(statement_kind::commit, {}, in_transaction(id));
        assert_answer(harness, again, verdict::not_run, reason::unknown_transaction);
        const core::transaction_id elsewhere("h2~1~1");
        const std::size_t through_other_host =
            harness.send(statement_kind::in_transaction, {}, in_transaction(elsewhere));
        assert_answer(harness, through_other_host, verdict::not_run, reason::transaction_on_other_proxy);
        const core::transaction_id other_caller = begin_transaction(harness);
        const std::size_t by_other_caller =
            harness.send(statement_kind::in_transaction, {}, [&](routing::entry_statement& each) {
                each.m_request.m_transaction = other_caller;
                each.m_request.m_caller = core::caller_id("someone-else");
            });
        assert_answer(harness, by_other_caller, verdict::not_run, reason::unknown_transaction);
    }

    void failed_transactions_refuse_further_steps() {
        dispatcher_harness harness;
        const core::transaction_id failing = begin_transaction(harness);
        harness.send(statement_kind::in_transaction, {}, in_transaction(failing));
        harness.m_sent.back().answer(verdict::not_run, reason::database_error);
        CPPUNIT_ASSERT(harness.m_sent.back().m_request.m_kind == statement_kind::rollback);
        const std::size_t commit = harness.send(statement_kind::commit, {}, in_transaction(failing));
        assert_answer(harness, commit, verdict::not_run, reason::transaction_failed);

        const core::transaction_id committing = begin_transaction(harness);
        const std::size_t uncertain = harness.send(statement_kind::commit, {}, in_transaction(committing));
        const core::transaction_id idle = begin_transaction(harness);
        harness.m_dispatcher.on_owner_connection_lost(host_name(0));
        assert_answer(harness, uncertain, verdict::may_have_run, reason::connection_lost);
        const std::size_t after = harness.send(statement_kind::in_transaction, {}, in_transaction(idle));
        assert_answer(harness, after, verdict::not_run, reason::transaction_failed);

        const core::transaction_id moved = begin_transaction(harness);
        harness.m_state.m_endpoints.at(endpoint_name(0, 0)).m_owner_epoch = core::owner_epoch(2);
        const std::size_t taken_over =
            harness.send(statement_kind::in_transaction, {}, in_transaction(moved));
        assert_answer(harness, taken_over, verdict::not_run, reason::transaction_failed);
    }

    void abandoned_transactions_are_rolled_back() {
        dispatcher_harness harness;
        const core::transaction_id id = begin_transaction(harness);
        harness.advance(past_idle_limit());
        CPPUNIT_ASSERT(harness.m_sent.back().m_request.m_kind == statement_kind::rollback);
        CPPUNIT_ASSERT(harness.m_sent.back().m_request.m_transaction == id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, harness.m_dispatcher.open_transactions());
        // The caller of a begin that runs after its deadline does not know of it, so it is rolled back.
        harness.send(statement_kind::begin);
        const sent_statement late = harness.m_sent.back();
        harness.advance(std::chrono::seconds(6));
        late.answer(verdict::ran);
        CPPUNIT_ASSERT(harness.m_sent.back().m_request.m_kind == statement_kind::rollback);
        CPPUNIT_ASSERT(harness.m_sent.back().m_request.m_transaction == late.m_request.m_transaction);
    }

    void shutdown_refuses_all_but_open_transactions() {
        dispatcher_harness harness;
        const core::transaction_id id = begin_transaction(harness);
        harness.m_dispatcher.begin_shutdown();
        assert_answer(harness, harness.send(statement_kind::write), verdict::not_run, reason::shutting_down);
        const std::size_t commit = harness.send(statement_kind::commit, {}, in_transaction(id));
        harness.m_sent.back().answer(verdict::ran);
        assert_answer(harness, commit, verdict::ran, reason::none);
    }

    void timers_do_not_accumulate() {
        dispatcher_harness harness;
        harness.m_on_send = [](const sent_statement& sent) { sent.answer(verdict::ran); };
        for (int round = 0; round < 200; ++round) {
            harness.send(statement_kind::write, {}, [&](routing::entry_statement& each) {
                each.m_request.m_deadline =
                    core::deadline_after(harness.m_now, core::milliseconds(500 - round));
            });
            harness.advance(core::milliseconds(1));
        }
        harness.advance(std::chrono::seconds(2));
        CPPUNIT_ASSERT(harness.m_timers.empty());
    }

private:
    static core::duration past_idle_limit() { return std::chrono::seconds(17); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(statement_dispatch);
