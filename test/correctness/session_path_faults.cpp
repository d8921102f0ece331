// Guards against answers that are taken for those of other statements, and against transactions that go on or
// are committed by themselves, when databases reset connections, lose or delay answers, or start again.
#include "support/entry_fleet.h"
#include "support/statement_texts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace mangoquay;
using namespace std::chrono_literals;

namespace {

using test::database_query;
using test::database_reaction;

constexpr std::chrono::seconds hunt_duration{6};
constexpr int hunting_callers = 16;

class draws {
public:
    explicit draws(std::uint64_t seed) : m_random(seed) {}
    std::uint64_t below(std::uint64_t limit) {
        const std::lock_guard lock(m_mutex);
        return m_random() % limit;
    }
    bool occurs(std::uint64_t per_mille) { return below(1000) < per_mille; }

private:
    std::mutex m_mutex;
    std::mt19937_64 m_random;
};

// A fault now and then, in every kind of answer.
database_reaction draw_reaction(draws& random, const database_query& query) {
    database_reaction reaction;
    reaction.m_delay = std::chrono::milliseconds(random.below(6));
    reaction.m_piece = random.occurs(50) ? 1 + random.below(9) : 0;
    reaction.m_loses_answer = random.occurs(4);
    reaction.m_loses_transaction = random.occurs(10);
    if (random.occurs(5)) {
        reaction.m_reset_after = random.below(60);
    }
    if (random.occurs(10)) {
        reaction.m_refusal = random.occurs(500) ? "BUSY" : "READONLY";
    }
    if (random.occurs(2)) {
        reaction.m_delay = 1200ms;
    }
    if (random.occurs(5) && query.m_in_transaction) {
        reaction.m_state = random.occurs(500) ? 'I' : 'E';
    }
    return reaction;
}

// Runs operations of one caller until the connection ends or it leaves.
class random_caller {
public:
    random_caller(test::entry_fleet& fleet, std::uint64_t seed) : m_fleet(fleet), m_random(seed) {}

    void run(const std::atomic<bool>& ended) {
        while (!ended) {
            try {
                run_session();
            } catch (const std::runtime_error&) {
                std::this_thread::sleep_for(5ms);
            }
        }
    }
    [[nodiscard]] std::size_t succeeded() const { return m_succeeded; }
    [[nodiscard]] const std::string& mixed_up() const { return m_mixed_up; }

private:
    void run_session() {
        const auto caller = m_fleet.connect(m_random.occurs(500) ? "latest" : "own");
        if (!caller->open()) {
            return;
        }
        m_prepared.clear();
        const bool has_state = m_random.occurs(500);
        if (has_state && !add_state(*caller)) {
            return;
        }
        while (run_operation(*caller)) {
            if (m_random.occurs(200)) {
                break;
            }
            if (has_state && m_random.occurs(200) && !add_state(*caller)) {
                return;
            }
        }
        if (m_random.occurs(300)) {
            caller->send_bytes(caller->encode(statement()));
        }
        if (m_random.occurs(500)) {
            caller->reset();
        }
    }

    // Sets a value of its own and prepares or deallocates statements. Returns whether all of it succeeded.
    bool add_state(test::session_client& caller) {
        const std::string number = std::to_string(m_fleet.record().next_number());
        const std::string value = m_random.occurs(500) ? "tenant" : test::draw_name(m_draw);
        if (!caller.ask("SET " + value + " " + number + " " + test::draw_last_field(m_draw)).succeeded()) {
            return false;
        }
        for (std::uint64_t left = 1 + m_random.below(3); left > 0; --left) {
            const std::string name = test::draw_name(m_draw);
            const bool writes = m_random.occurs(500);
            const std::string prepares = "PREPARE " + name + (writes ? " WRITE " : " READ ");
            if (!caller.ask(limited(prepares + test::draw_shape(m_draw))).succeeded()) {
                return false;
            }
            m_prepared[name] = writes;
        }
        const std::string dropped = m_prepared.begin()->first;
        if (m_prepared.size() > 1 && m_random.occurs(200)) {
            m_prepared.erase(dropped);
            return caller.ask("DEALLOCATE " + dropped).succeeded();
        }
        return true;
    }

    // A few messages have nearly the largest size.
    std::string limited(std::string text) {
        return m_random.occurs(4) ? test::extended_to_limit(m_draw, std::move(text)) : text;
    }

    std::string statement() {
        if (!m_prepared.empty() && m_random.occurs(500)) {
            auto chosen = m_prepared.begin();
            std::advance(chosen, static_cast<std::ptrdiff_t>(m_random.below(m_prepared.size())));
            const auto& [name, writes] = *chosen;
            return limited("EXECUTE " + name + " " + test::draw_arguments(m_draw, writes));
        }
        return limited(test::draw_statement(m_draw, m_random.occurs(500)));
    }

    // Returns whether the session can go on.
    bool run_operation(test::session_client& caller) {
        if (m_random.occurs(500)) {
            return check(caller, caller.ask(statement()));
        }
        if (!check(caller, caller.ask("BEGIN"))) {
            return false;
        }
        for (std::uint64_t left = 1 + m_random.below(4); left > 0; --left) {
            if (m_random.occurs(30) || !check(caller, caller.ask(statement()))) {
                return false;
            }
        }
        if (m_random.occurs(200)) { // The last statement and the commit in one segment.
            const std::string last = caller.encode(statement());
            caller.send_bytes(last + caller.encode("COMMIT"));
            caller.receive();
            return caller.receive().succeeded();
        }
        return check(caller, caller.ask(m_random.occurs(150) ? "ROLLBACK" : "COMMIT"));
    }

    bool check(const test::session_client& caller, const test::session_reply& reply) {
        if (!reply.succeeded()) {
            return !reply.m_closed && reply.m_state == 'I';
        }
        ++m_succeeded;
        if (reply.m_text != "-" && reply.m_text != "signature-" + caller.last_id()) {
            m_mixed_up = caller.last_id() + " got " + reply.m_text;
        }
        return true;
    }

    test::entry_fleet& m_fleet;
    draws m_random;
    test::draw_below m_draw = [this](std::uint64_t limit) { return m_random.below(limit); };
    std::map<std::string, bool> m_prepared; // Whether the statement of each name writes.
    std::size_t m_succeeded = 0;
    std::string m_mixed_up;
};

struct disturbances {
    bool m_resets = false;
    bool m_restarts = false;
    bool m_pauses = false;
};

class session_path_faults : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(session_path_faults);
    CPPUNIT_TEST(answer_that_nobody_waits_for_is_not_given_to_the_next_statement);
    CPPUNIT_TEST(late_answer_is_not_given_to_another_session);
    CPPUNIT_TEST(restarted_database_is_not_taken_for_the_former_one);
    CPPUNIT_TEST(callers_run_only_their_own_statements_when_answers_fail);
    CPPUNIT_TEST(callers_run_only_their_own_statements_when_connections_are_reset);
    CPPUNIT_TEST(callers_run_only_their_own_statements_when_databases_restart);
    CPPUNIT_TEST(callers_run_only_their_own_statements_when_the_host_pauses);
    CPPUNIT_TEST_SUITE_END();

    static void assert_no_violation(test::entry_fleet& fleet) {
        CPPUNIT_ASSERT_EQUAL(std::string(), fleet.record().find_violation());
    }

    static void disturb(test::entry_fleet& fleet, const disturbances& chosen, draws& random, int round) {
        const std::size_t index = random.below(test::entry_fleet::database_count);
        if (chosen.m_resets) {
            fleet.database(index).reset_connections();
        }
        if (chosen.m_restarts && round % 4 == 0) {
            const bool renamed = random.occurs(500);
            const std::string id = fleet.database(index).id();
            fleet.database(index).restart(renamed ? id + "x" : id);
            fleet.announce(index);
        }
        if (chosen.m_pauses && round % 10 == 0) {
            fleet.entry().pause(core::milliseconds(500 + random.below(2500)));
        }
    }

    static void hunt(const disturbances& chosen, std::uint64_t seed) {
        test::entry_fleet fleet;
        const auto random = std::make_shared<draws>(seed);
        fleet.set_script([random](const database_query& query) { return draw_reaction(*random, query); });
        std::atomic<bool> ended{false};
        std::vector<std::unique_ptr<random_caller>> callers;
        std::vector<std::thread> threads;
        for (int index = 0; index < hunting_callers; ++index) {
            callers.push_back(std::make_unique<random_caller>(fleet, seed * 1000 + index));
            threads.emplace_back([&ended, caller = callers.back().get()] { caller->run(ended); });
        }
        const auto limit = std::chrono::steady_clock::now() + hunt_duration;
        for (int round = 0; std::chrono::steady_clock::now() < limit; ++round) {
            std::this_thread::sleep_for(100ms);
            disturb(fleet, chosen, *random, round);
        }
        ended = true;
        std::size_t succeeded = 0;
        for (std::size_t index = 0; index < threads.size(); ++index) {
            threads.at(index).join();
            succeeded += callers.at(index)->succeeded();
            CPPUNIT_ASSERT_EQUAL(std::string(), callers.at(index)->mixed_up());
        }
        assert_no_violation(fleet);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(succeeded), succeeded > 200);
    }

public:
    void answer_that_nobody_waits_for_is_not_given_to_the_next_statement() {
        test::entry_fleet fleet;
        const auto caller = fleet.open_session("own");
        fleet.set_script([](const database_query& query) {
            return query.m_text == "WRITE a 1"
                       ? database_reaction{.m_extra = "COMPLETE signature-of-nobody\r\nREADY I 1.1\r\n"}
                       : database_reaction{};
        });
        caller->send_bytes(caller->encode_all({"WRITE a 1", "WRITE a 2"}));
        caller->receive();
        const auto second = caller->receive();
        CPPUNIT_ASSERT_MESSAGE(second.m_text,
                               !second.succeeded() || second.m_text == "signature-" + caller->last_id());
        assert_no_violation(fleet);
    }

    void late_answer_is_not_given_to_another_session() {
        test::entry_fleet fleet;
        fleet.set_script([](const database_query& query) {
            return database_reaction{.m_delay = query.m_text == "READ slow" ? 1100ms : 0ms};
        });
        for (int round = 0; round < 3; ++round) {
            const auto slow = fleet.open_session("latest");
            slow->send_bytes(slow->encode("READ slow"));
            if (round == 1) {
                slow->reset();
            }
            for (int other = 0; other < 30; ++other) {
                const auto next = fleet.open_session("latest");
                const auto reply = next->ask("READ a");
                CPPUNIT_ASSERT_MESSAGE(reply.m_text,
                                       !reply.succeeded() || reply.m_text == "signature-" + next->last_id());
                std::this_thread::sleep_for(30ms);
            }
        }
        assert_no_violation(fleet);
    }

    void restarted_database_is_not_taken_for_the_former_one() {
        test::entry_fleet fleet;
        for (const bool renamed : {false, true}) {
            const auto caller = fleet.open_session("latest");
            caller->ask("SET tenant " + std::to_string(fleet.record().next_number()));
            caller->ask("PREPARE s1 WRITE shape");
            caller->ask("EXECUTE s1 a 1");
            caller->ask("BEGIN");
            CPPUNIT_ASSERT(caller->ask("EXECUTE s1 a 2").succeeded());
            fleet.primary().restart(renamed ? "renamed" : fleet.primary().id());
            caller->ask("EXECUTE s1 a 3");
            CPPUNIT_ASSERT(!caller->ask("COMMIT").succeeded());
            fleet.announce(0);
            CPPUNIT_ASSERT(fleet.wait_until_serving());
            CPPUNIT_ASSERT(caller->ask("EXECUTE s1 a 4").succeeded());
        }
        assert_no_violation(fleet);
    }

    void callers_run_only_their_own_statements_when_answers_fail() { hunt({}, 1); }
    void callers_run_only_their_own_statements_when_connections_are_reset() { hunt({.m_resets = true}, 2); }
    void callers_run_only_their_own_statements_when_databases_restart() { hunt({.m_restarts = true}, 3); }
    void callers_run_only_their_own_statements_when_the_host_pauses() {
        hunt({.m_resets = true, .m_restarts = true, .m_pauses = true}, 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_path_faults);

} // namespace
