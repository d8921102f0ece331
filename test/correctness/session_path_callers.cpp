// Guards against statements that run for a caller that never sent them, or with something of another session,
// when callers send in pieces, do not read, or leave at any moment.
#include "support/entry_fleet.h"
#include "support/statement_texts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace mangoquay;
using namespace std::chrono_literals;

namespace {

using test::database_query;
using test::database_reaction;

constexpr std::size_t large_bytes = (1U << 20U) - 200;

class session_path_callers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(session_path_callers);
    CPPUNIT_TEST(bytes_in_any_pieces_make_the_same_statements);
    CPPUNIT_TEST(statements_in_one_segment_run_in_order);
    CPPUNIT_TEST(incomplete_statement_of_a_caller_that_leaves_does_not_run);
    CPPUNIT_TEST(caller_that_leaves_at_any_moment_leaves_nothing_on_the_connection);
    CPPUNIT_TEST(caller_that_leaves_during_a_pause_of_the_host_is_not_mixed_with_others);
    CPPUNIT_TEST(large_statements_arrive_unchanged);
    CPPUNIT_TEST(caller_that_does_not_read_does_not_disturb_others);
    CPPUNIT_TEST(planned_stop_runs_only_what_was_sent);
    CPPUNIT_TEST_SUITE_END();

    static void assert_no_violation(test::entry_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.record().find_violation());
    }

    // Uses every connection to the primary, with a transaction and single statements.
    static void run_other_sessions(test::entry_fleet& fleet) {
        for (int round = 0; round < 4; ++round) {
            const auto first = fleet.open_session("latest");
            const auto second = fleet.open_session("own");
            first->ask("BEGIN");
            first->ask("WRITE other 1");
            second->ask("WRITE other 2");
            first->ask("COMMIT");
            second->ask("READ other");
        }
    }

    static test::draw_below draws() {
        return [random = std::make_shared<std::mt19937_64>(1)](std::uint64_t limit) {
            return (*random)() % limit;
        };
    }

    static void prepare_session(test::entry_fleet& fleet, test::session_client& caller,
                                const test::draw_below& draw) {
        const std::string number = std::to_string(fleet.record().next_number());
        caller.ask("SET tenant " + number + " " + test::draw_last_field(draw));
        caller.ask("PREPARE s1 WRITE " + test::draw_shape(draw));
        caller.ask("PREPARE s2 READ " + test::draw_shape(draw));
    }

    // `text`, with drawn arguments in place of "$" (of a read) and "$$" (of a write) at its end.
    static std::string with_arguments(const test::draw_below& draw, const std::string& text) {
        const std::size_t end = text.find('$');
        return end == std::string::npos
                   ? text
                   : text.substr(0, end) + test::draw_arguments(draw, text.ends_with("$$"));
    }

public:
    void bytes_in_any_pieces_make_the_same_statements() {
        test::entry_fleet fleet;
        fleet.set_script([](const database_query& query) {
            return database_reaction{.m_piece = query.m_text.size() % 4};
        });
        const auto draw = draws();
        for (const std::size_t piece : {1U, 2U, 3U, 7U, 20U}) {
            const auto caller = fleet.connect("own");
            CPPUNIT_ASSERT(caller->send_bytes(caller->startup(), piece) && caller->receive_ready());
            for (const char* text : {"SET tenant a b", "PREPARE s1 WRITE $", "BEGIN", "EXECUTE s1 $$",
                                     "READ $", "COMMIT", "READ $", "WRITE $$"}) {
                CPPUNIT_ASSERT(caller->send_bytes(caller->encode(with_arguments(draw, text)), piece));
                const auto reply = caller->receive();
                CPPUNIT_ASSERT_MESSAGE(reply.m_text, reply.succeeded());
                CPPUNIT_ASSERT(reply.m_text == "-" || reply.m_text == "signature-" + caller->last_id());
            }
        }
        assert_no_violation(fleet);
    }

    void statements_in_one_segment_run_in_order() {
        test::entry_fleet fleet;
        for (int round = 0; round < 20; ++round) {
            const auto caller = fleet.connect("latest");
            std::string bytes = caller->startup();
            for (const char* text :
                 {"BEGIN", "WRITE a 1", "READ a", "COMMIT", "WRITE a 2", "BEGIN", "WRITE a 3", "ROLLBACK"}) {
                bytes += caller->encode(text);
            }
            caller->send_bytes(bytes);
            CPPUNIT_ASSERT(caller->receive_ready());
            for (int answer = 0; answer < 8; ++answer) {
                CPPUNIT_ASSERT(caller->receive().succeeded());
            }
        }
        assert_no_violation(fleet);
    }

    void incomplete_statement_of_a_caller_that_leaves_does_not_run() {
        test::entry_fleet fleet;
        const std::string line = "QUERY unsent WRITE a 1\r\n";
        for (std::size_t size = 1; size < line.size(); ++size) {
            const auto caller = fleet.open_session("latest");
            caller->send_bytes(line.substr(0, size));
            if (size % 2 == 0) {
                caller->reset();
            }
        }
        run_other_sessions(fleet);
        CPPUNIT_ASSERT(!fleet.record().has_run("unsent"));
        assert_no_violation(fleet);
    }

    // One session for each number of statements that are answered before the caller leaves, for each number
    // that it sends before it does, and for each way to leave.
    void caller_that_leaves_at_any_moment_leaves_nothing_on_the_connection() {
        const std::vector<std::string> texts{"BEGIN",    "EXECUTE s1 $$", "EXECUTE s2 $",
                                             "WRITE $$", "COMMIT",        "WRITE $$"};
        const auto draw = draws();
        test::entry_fleet fleet;
        fleet.set_script([](const database_query&) { return database_reaction{.m_delay = 2ms}; });
        for (std::size_t answered = 0; answered < texts.size(); ++answered) {
            for (std::size_t sent = answered; sent <= texts.size(); ++sent) {
                for (int way = 0; way < 3; ++way) {
                    const auto caller = fleet.open_session("own");
                    prepare_session(fleet, *caller, draw);
                    for (std::size_t index = 0; index < answered; ++index) {
                        CPPUNIT_ASSERT(caller->ask(with_arguments(draw, texts.at(index))).succeeded());
                    }
                    std::string rest;
                    for (std::size_t index = answered; index < sent; ++index) {
                        rest += caller->encode(with_arguments(draw, texts.at(index)));
                    }
                    caller->send_bytes(rest);
                    way == 0 ? caller->reset() : way == 1 ? caller->terminate() : void();
                }
                const auto next = fleet.open_session("own");
                CPPUNIT_ASSERT_EQUAL(std::string("NOSTMT"), next->ask("EXECUTE s1 a 1").m_code);
                next->ask("WRITE next 1");
            }
        }
        run_other_sessions(fleet);
        assert_no_violation(fleet);
    }

    void caller_that_leaves_during_a_pause_of_the_host_is_not_mixed_with_others() {
        const auto draw = draws();
        test::entry_fleet fleet;
        std::vector<std::unique_ptr<test::session_client>> leaving;
        for (int index = 0; index < 12; ++index) {
            leaving.push_back(fleet.open_session(index % 2 == 0 ? "latest" : "own"));
            prepare_session(fleet, *leaving.back(), draw);
            leaving.back()->ask("BEGIN");
            leaving.back()->ask("EXECUTE s1 " + test::draw_arguments(draw, true));
        }
        fleet.entry().pause(4s);
        std::this_thread::sleep_for(100ms);
        for (std::size_t index = 0; index < leaving.size(); ++index) {
            test::session_client& caller = *leaving.at(index);
            caller.send_bytes(caller.encode(index % 4 < 2 ? "EXECUTE s1 a 2" : "COMMIT"));
            index % 3 == 0 ? caller.reset() : index % 3 == 1 ? caller.terminate() : void();
        }
        fleet.database(0).reset_connections();
        run_other_sessions(fleet);
        CPPUNIT_ASSERT(fleet.wait_until_serving());
        assert_no_violation(fleet);
    }

    void large_statements_arrive_unchanged() {
        test::entry_fleet fleet;
        fleet.set_script([](const database_query&) { return database_reaction{.m_delay = 50ms}; });
        const auto caller = fleet.open_session("latest");
        for (int round = 0; round < 3; ++round) {
            const std::string large = "WRITE a " + std::string(large_bytes, static_cast<char>('a' + round));
            caller->send_bytes(caller->encode_all({"BEGIN", large, large, "COMMIT", "WRITE a 1"}));
            for (int answer = 0; answer < 5; ++answer) {
                const auto reply = caller->receive();
                CPPUNIT_ASSERT_MESSAGE(reply.m_text, reply.succeeded());
            }
        }
        assert_no_violation(fleet);
    }

    void caller_that_does_not_read_does_not_disturb_others() {
        test::entry_fleet fleet;
        const auto deaf = fleet.connect("own", 2048);
        CPPUNIT_ASSERT(deaf->open());
        const std::string item(20'000, 'x');
        for (int round = 0; round < 60; ++round) {
            deaf->send_bytes(deaf->encode("READ " + item));
        }
        run_other_sessions(fleet);
        deaf->reset();
        run_other_sessions(fleet);
        assert_no_violation(fleet);
    }

    void planned_stop_runs_only_what_was_sent() {
        test::entry_fleet fleet;
        fleet.set_script([](const database_query&) { return database_reaction{.m_delay = 15ms}; });
        std::atomic<bool> ended{false};
        constexpr int caller_count = 8;
        std::vector<std::thread> callers;
        callers.reserve(caller_count);
        for (int index = 0; index < caller_count; ++index) {
            callers.emplace_back([&fleet, &ended, index] {
                while (!ended) {
                    try {
                        const auto caller = fleet.connect(index % 2 == 0 ? "latest" : "own");
                        if (!caller->open()) {
                            continue;
                        }
                        while (!ended && caller->ask("BEGIN").succeeded() &&
                               caller->ask("WRITE a 1").succeeded() && caller->ask("READ a").succeeded() &&
                               caller->ask("COMMIT").succeeded() && caller->ask("WRITE a 2").succeeded()) {
                        }
                    } catch (const std::runtime_error&) {
                        std::this_thread::sleep_for(50ms);
                    }
                }
            });
        }
        std::this_thread::sleep_for(300ms);
        fleet.entry().begin_stop();
        const bool stopped = test::wait_until([&fleet] { return fleet.entry().stopped(); });
        ended = true;
        for (std::thread& caller : callers) {
            caller.join();
        }
        CPPUNIT_ASSERT(stopped);
        assert_no_violation(fleet);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_path_callers);

} // namespace
