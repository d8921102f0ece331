// Guards against work of callers whose key is unknown, was withdrawn or moved to another customer, in every
// state of a session, and against statements that run on a connection of another customer.
#include "support/relay_with_customers.h"
#include "support/scripted_property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <memory>

using namespace mangoquay;
using relay::refusal;
using relay::session_admission;
using test::customer_document;
using test::relay_with_customers;

namespace {

using customer_keys_by_name = std::map<std::string, std::vector<std::string>>;

const customer_keys_by_name two_customers{{"acme", {"k1"}}, {"boro", {"k2"}}};
const customer_document first_document{two_customers};

enum class caller_state : std::uint8_t {
    idle,
    waiting,
    waits_for_loan,
    read_prepared,
    write_prepared,
    running,
    running_in_transaction,
    transaction_open,
    transaction_before_first_statement,
    queued,
};
constexpr std::array all_states{caller_state::idle,
                                caller_state::waiting,
                                caller_state::waits_for_loan,
                                caller_state::read_prepared,
                                caller_state::write_prepared,
                                caller_state::running,
                                caller_state::running_in_transaction,
                                caller_state::transaction_open,
                                caller_state::transaction_before_first_statement,
                                caller_state::queued};

struct caller_at_start {
    std::string m_database = "closed";
    std::optional<std::string> m_key = "k1";
    customer_document m_document = first_document;
};

// A relay whose session 1 is in the given state. Its statement in progress is "s1".
std::unique_ptr<relay_with_customers> relay_in_state(caller_state state, const caller_at_start& caller = {}) {
    auto relay = std::make_unique<relay_with_customers>(caller.m_document);
    relay->grant_shares();
    CPPUNIT_ASSERT(relay->open(1, caller.m_database, caller.m_key) == session_admission::accepted);
    if (state == caller_state::idle) {
        return relay;
    }
    if (state != caller_state::waiting) {
        relay->list_database();
        relay->run();
    }
    if (state == caller_state::write_prepared) {
        relay->send(1, "v1", "SET v x");
    }
    const bool in_transaction = state == caller_state::running_in_transaction ||
                                state == caller_state::transaction_open ||
                                state == caller_state::transaction_before_first_statement;
    if (in_transaction) {
        relay->send(1, "b1", "BEGIN");
    }
    if (state == caller_state::transaction_before_first_statement) {
        return relay;
    }
    relay->send(1, "s1", state == caller_state::read_prepared ? "READ item" : "WRITE item data");
    if (state == caller_state::waiting || state == caller_state::waits_for_loan) {
        return relay;
    }
    relay->lend();
    if (state == caller_state::read_prepared || state == caller_state::write_prepared) {
        CPPUNIT_ASSERT(!relay->was_sent("s1"));
        return relay;
    }
    relay->answer_preparations();
    CPPUNIT_ASSERT(relay->was_sent("s1"));
    if (state == caller_state::transaction_open) {
        relay->run();
    }
    if (state == caller_state::queued) {
        relay->send(1, "s2", "WRITE item data");
        relay->send(1, "s3", "WRITE item data");
    }
    return relay;
}

void assert_last_answer(relay_with_customers& relay, const std::string& id, std::optional<refusal> expected) {
    CPPUNIT_ASSERT(!relay.answers(1).empty());
    CPPUNIT_ASSERT_EQUAL(id, relay.answers(1).back().m_id);
    CPPUNIT_ASSERT(relay.answers(1).back().m_refusal == expected);
}

// Requests for shares are due after 50 ms while an operation waits for one.
void wait_for_shares(relay_with_customers& relay) {
    relay.advance(core::milliseconds(60));
    relay.grant_shares();
    relay.run();
}

bool is_running(caller_state state) {
    return state == caller_state::running || state == caller_state::running_in_transaction ||
           state == caller_state::queued;
}

// The session ends by the table of the page, and nothing of it is sent any more. `refused` is its refusal.
void assert_session_ends(caller_state state, const caller_at_start& caller, const customer_document& next,
                         refusal refused, const std::string& next_text = "WRITE item data") {
    const auto relay = relay_in_state(state, caller);
    const std::size_t sent = relay->sent_count();
    const std::size_t answered = relay->answers(1).size();
    relay->configure(next);
    if (is_running(state)) { // Its answer is delivered.
        CPPUNIT_ASSERT(!relay->is_closed(1));
        CPPUNIT_ASSERT_EQUAL(answered, relay->answers(1).size());
        relay->run();
        CPPUNIT_ASSERT(relay->answers(1).at(answered).m_id == "s1");
        CPPUNIT_ASSERT(!relay->answers(1).at(answered).m_refusal);
    }
    const bool in_transaction = state == caller_state::running_in_transaction ||
                                state == caller_state::transaction_open ||
                                state == caller_state::transaction_before_first_statement;
    if (in_transaction) {
        relay->advance(core::milliseconds(10));
        relay->run();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), relay->open_transactions());
        CPPUNIT_ASSERT(!relay->is_closed(1));
        relay->send(1, "s9", next_text);
        assert_last_answer(*relay, "s9", refused);
    } else if (state == caller_state::queued) {
        assert_last_answer(*relay, "s2", refused);
    } else if (state != caller_state::idle && state != caller_state::running) {
        assert_last_answer(*relay, "s1", refused);
    }
    CPPUNIT_ASSERT(relay->is_closed(1));
    CPPUNIT_ASSERT(relay->requested_loans().empty());
    relay->list_database();
    for (int step = 0; step < 5; ++step) {
        relay->advance(core::milliseconds(20));
        relay->run();
    }
    CPPUNIT_ASSERT_EQUAL(sent, relay->sent_count());
    CPPUNIT_ASSERT_EQUAL(std::string(), relay->violation());
}

class customer_keys : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(customer_keys);
    CPPUNIT_TEST(unknown_and_missing_keys_are_refused);
    CPPUNIT_TEST(a_public_route_accepts_every_key);
    CPPUNIT_TEST(without_customers_every_caller_uses_connections_of_this_host);
    CPPUNIT_TEST(a_withdrawn_key_ends_the_session_in_every_state);
    CPPUNIT_TEST(a_key_withdrawn_together_with_its_route_ends_the_session_in_every_state);
    CPPUNIT_TEST(a_moved_key_ends_the_session_in_every_state);
    CPPUNIT_TEST(a_route_that_stops_being_public_ends_sessions_without_a_key);
    CPPUNIT_TEST(the_end_of_a_transaction_is_refused_as_well);
    CPPUNIT_TEST(a_removed_key_that_returns_is_valid_for_new_sessions);
    CPPUNIT_TEST(a_route_that_becomes_public_keeps_its_sessions);
    CPPUNIT_TEST(a_session_goes_on_when_it_gains_or_loses_its_customer);
    CPPUNIT_TEST(nothing_is_sent_for_an_ended_session_or_under_a_wrong_name);
    CPPUNIT_TEST_SUITE_END();

    static void unknown_and_missing_keys_are_refused() {
        relay_with_customers relay(first_document);
        CPPUNIT_ASSERT(relay.open(1, "closed", "k9") == session_admission::unknown_key);
        CPPUNIT_ASSERT(relay.open(2, "closed", std::nullopt) == session_admission::unknown_key);
        CPPUNIT_ASSERT(relay.open(3, "open", std::nullopt) == session_admission::unknown_key);
        CPPUNIT_ASSERT(relay.open(4, "none", "k9") == session_admission::unknown_database);
        CPPUNIT_ASSERT(relay.open(5, "closed", "k2") == session_admission::accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), relay.core().session_count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), relay.core().counters().m_unknown_keys);
    }

    static void a_public_route_accepts_every_key() {
        relay_with_customers relay({two_customers, true});
        relay.grant_shares();
        relay.list_database();
        std::uint64_t session = 0;
        for (const std::optional<std::string>& key :
             {std::optional<std::string>("k1"), std::optional<std::string>("k9"),
              std::optional<std::string>()}) {
            CPPUNIT_ASSERT(relay.open(++session, "open", key) == session_admission::accepted);
            const std::string id = "s" + std::to_string(session);
            relay.send(session, id, "WRITE item data");
            relay.run();
            CPPUNIT_ASSERT(relay.was_sent(id)); // On a connection of its customer: see violation().
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), relay.violation());
        CPPUNIT_ASSERT(relay.open(9, "closed", std::nullopt) == session_admission::unknown_key);
    }

    static void without_customers_every_caller_uses_connections_of_this_host() {
        relay_with_customers relay(customer_document{});
        relay.list_database();
        for (const std::uint64_t session : {1U, 2U}) {
            const auto key = session == 1 ? std::nullopt : std::optional<std::string>("k1");
            CPPUNIT_ASSERT(relay.open(session, "closed", key) == session_admission::accepted);
            relay.send(session, "s" + std::to_string(session), "WRITE item data");
            CPPUNIT_ASSERT(relay.requested_loans().empty());
            relay.run();
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), relay.answers(session).size());
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), relay.core().counters().m_succeeded);
        CPPUNIT_ASSERT(!relay.core().connections_by_customer());
    }

    static void a_withdrawn_key_ends_the_session_in_every_state() {
        const std::vector<customer_keys_by_name> without_key{
            {{"acme", {}}, {"boro", {"k2"}}}, {{"boro", {"k2"}}}, {{"acme", {"k9"}}, {"boro", {"k2"}}}, {}};
        for (const customer_keys_by_name& customers : without_key) {
            for (const caller_state state : all_states) {
                assert_session_ends(state, {}, {customers}, refusal::unauthorized);
            }
        }
    }

    static void a_key_withdrawn_together_with_its_route_ends_the_session_in_every_state() {
        for (const caller_state state : all_states) {
            assert_session_ends(state, {}, {customer_keys_by_name{{"boro", {"k2"}}}, false, false},
                                refusal::unauthorized);
        }
    }

    static void a_moved_key_ends_the_session_in_every_state() {
        for (const caller_state state : all_states) {
            assert_session_ends(state, {}, {customer_keys_by_name{{"acme", {}}, {"boro", {"k1", "k2"}}}},
                                refusal::aborted);
        }
    }

    static void a_route_that_stops_being_public_ends_sessions_without_a_key() {
        for (const std::optional<std::string>& key :
             {std::optional<std::string>("k9"), std::optional<std::string>()}) {
            for (const caller_state state : all_states) {
                assert_session_ends(state, {"open", key, {two_customers, true}}, first_document,
                                    refusal::unauthorized);
            }
        }
    }

    static void the_end_of_a_transaction_is_refused_as_well() {
        for (const char* text : {"COMMIT", "ROLLBACK", "SET v y", "READ item"}) {
            for (const caller_state state :
                 {caller_state::transaction_open, caller_state::running_in_transaction,
                  caller_state::transaction_before_first_statement}) {
                assert_session_ends(state, {}, {customer_keys_by_name{{"boro", {"k2"}}}},
                                    refusal::unauthorized, text);
                assert_session_ends(state, {}, {customer_keys_by_name{{"boro", {"k1", "k2"}}}},
                                    refusal::aborted, text);
            }
        }
    }

    static void a_removed_key_that_returns_is_valid_for_new_sessions() {
        for (const caller_state state : all_states) {
            const auto relay = relay_in_state(state);
            const std::size_t sent = relay->sent_count();
            relay->configure({customer_keys_by_name{{"boro", {"k2"}}}});
            CPPUNIT_ASSERT(relay->open(2, "closed", "k1") == session_admission::unknown_key);
            relay->configure(first_document);
            relay->run();
            relay->advance(core::milliseconds(10));
            if (!relay->is_closed(1)) { // In a transaction.
                relay->send(1, "s9", "WRITE item data");
                assert_last_answer(*relay, "s9", refusal::unauthorized);
            }
            CPPUNIT_ASSERT(relay->is_closed(1));
            CPPUNIT_ASSERT_EQUAL(sent, relay->sent_count());
            CPPUNIT_ASSERT(relay->open(3, "closed", "k1") == session_admission::accepted);
            relay->list_database();
            relay->send(3, "t1", "WRITE item data");
            wait_for_shares(*relay); // The share of a customer ends with the customer.
            CPPUNIT_ASSERT(relay->was_sent("t1"));
            CPPUNIT_ASSERT_EQUAL(std::string(), relay->violation());
        }
    }

    static void a_route_that_becomes_public_keeps_its_sessions() {
        for (const caller_state state : all_states) {
            const auto relay = relay_in_state(state, {.m_database = "open"});
            for (const bool is_public : {true, false, true}) {
                relay->configure({two_customers, is_public});
            }
            relay->list_database();
            relay->run();
            CPPUNIT_ASSERT(!relay->is_closed(1));
            relay->send(1, "s9", "WRITE item data");
            relay->run();
            CPPUNIT_ASSERT(relay->was_sent("s9"));
            assert_last_answer(*relay, "s9", std::nullopt);
            CPPUNIT_ASSERT_EQUAL(std::string(), relay->violation());
        }
    }

    // A caller of a public route without a customer may get one, and the other way round. What has begun
    // under one name does not go on under the other.
    static void a_session_goes_on_when_it_gains_or_loses_its_customer() {
        const customer_document with{two_customers, true};
        const customer_document without{customer_keys_by_name{{"boro", {"k2"}}}, true};
        const customer_document no_customers{};
        for (const auto& [before, after] :
             {std::pair(with, without), std::pair(without, with), std::pair(with, no_customers)}) {
            for (const caller_state state : all_states) {
                const auto relay = relay_in_state(state, {"open", "k1", before});
                relay->configure(after);
                relay->list_database();
                wait_for_shares(*relay);
                CPPUNIT_ASSERT(!relay->is_closed(1));
                const bool begun =
                    state == caller_state::running_in_transaction || state == caller_state::transaction_open;
                if (begun) {
                    relay->send(1, "a1", "READ item");
                    assert_last_answer(*relay, "a1", refusal::aborted);
                    relay->send(1, "a2", "ROLLBACK");
                }
                relay->send(1, "s9", "WRITE item data");
                wait_for_shares(*relay);
                CPPUNIT_ASSERT(relay->was_sent("s9"));
                assert_last_answer(*relay, "s9", std::nullopt);
                CPPUNIT_ASSERT_EQUAL(std::string(), relay->violation());
            }
        }
    }

    static customer_document random_document(testing::script& script) {
        customer_document document;
        document.m_public = script.one_in(3);
        document.m_has_closed_route = !script.one_in(5);
        if (script.one_in(12)) {
            return document;
        }
        document.m_customers.emplace();
        const std::vector<std::string> names{"acme", "boro", "cato"};
        for (const std::string& name : names) {
            if (!script.one_in(4)) {
                (*document.m_customers)[name];
            }
        }
        for (const char* key : {"k1", "k2", "k3", "k4"}) {
            const auto owner = document.m_customers->find(names[script.next_below(3)]);
            if (owner != document.m_customers->end()) {
                owner->second.emplace_back(key);
            }
        }
        return document;
    }

    static void open_or_send(relay_with_customers& relay, testing::script& script, std::uint64_t& last) {
        static const std::vector<std::string> texts{
            "BEGIN",   "COMMIT",       "ROLLBACK",          "READ item",        "WRITE item data",
            "SET v x", "SET w second", "PREPARE s WRITE q", "EXECUTE s item x", "BEGIN READ ONLY"};
        if (script.one_in(6)) {
            const std::uint32_t key = script.next_below(6);
            relay.open(++last, script.one_in(2) ? "open" : "closed",
                       key == 0 ? std::nullopt : std::optional("k" + std::to_string(key)));
            return;
        }
        const std::uint64_t session = last - std::min<std::uint64_t>(last, script.next_below(6));
        static std::uint64_t number = 0;
        const auto text = texts.begin() + script.next_below(static_cast<std::uint32_t>(texts.size()));
        relay.send(session, "s" + std::to_string(++number), *text);
    }

    static void disturb(relay_with_customers& relay, testing::script& script) {
        const auto loans = relay.requested_loans();
        if (!loans.empty() && script.one_in(2)) {
            const auto reason =
                script.one_in(2) ? lending::loan_refusal::busy : lending::loan_refusal::not_lending;
            relay.refuse_loan(loans[script.next_below(static_cast<std::uint32_t>(loans.size()))], reason);
            return;
        }
        const auto connections = relay.unanswered_connections();
        if (!connections.empty()) {
            relay.lose(connections[script.next_below(static_cast<std::uint32_t>(connections.size()))],
                       script.one_in(2));
        }
    }

    static void answer_one(relay_with_customers& relay, testing::script& script) {
        static const std::vector<std::optional<refusal>> outcomes{
            std::nullopt,  std::nullopt,       std::nullopt,    std::nullopt, std::nullopt,
            refusal::busy, refusal::read_only, refusal::failed, std::nullopt, refusal::aborted};
        const auto connections = relay.unanswered_connections();
        if (!connections.empty()) {
            const auto id = connections[script.next_below(static_cast<std::uint32_t>(connections.size()))];
            relay.answer(id, outcomes[script.next_below(static_cast<std::uint32_t>(outcomes.size()))]);
        }
    }

    static std::string random_run(testing::script& script) {
        relay_with_customers relay(random_document(script));
        relay.grant_shares();
        relay.list_database();
        std::uint64_t last = 0;
        while (!script.finished() && relay.violation().empty()) {
            const std::uint32_t choice = script.next_below(20);
            if (choice < 7) {
                open_or_send(relay, script, last);
            } else if (choice < 10) {
                relay.open_connections();
                relay.lend();
            } else if (choice < 15) {
                answer_one(relay, script);
            } else if (choice == 15) {
                relay.configure(random_document(script));
            } else if (choice == 16) {
                disturb(relay, script);
            } else if (choice == 17 && script.one_in(4)) {
                relay.close(last - std::min<std::uint64_t>(last, script.next_below(6)));
            } else if (choice == 18) {
                relay.advance(core::milliseconds(script.one_in(5) ? 1000 : 10));
                relay.grant_shares();
            }
        }
        return relay.violation();
    }

    static void nothing_is_sent_for_an_ended_session_or_under_a_wrong_name() {
        CPPUNIT_ASSERT(testing::property_holds(random_run, {.m_runs = 2000, .m_numbers = 400}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_keys);

} // namespace
