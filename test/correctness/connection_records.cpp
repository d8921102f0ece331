// Guards against a record of a connection that differs from what its database holds, and against lines whose
// size is misjudged.
#include "platform/line_protocol.h"
#include "relay/relay_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <utility>

using namespace mangoquay;
using relay::request_kind;
using relay::statement_kind;
using relay::transaction_state;

namespace {

using sent_request = std::pair<relay::connection_id, relay::database_request>;

class recording_ports final : public relay::relay_ports {
public:
    void send_answer(relay::session_id, const relay::session_answer& answer) override {
        m_last_answer = answer;
    }
    void close_session(relay::session_id) override {}
    void open_connection(relay::connection_id id, const registry::endpoint_report&) override {
        m_opened.push_back(id);
    }
    void borrow_connection(relay::connection_id, const core::endpoint_id&, const lending::loan_terms&,
                           const std::vector<relay::database_request>&) override {}
    void return_connection(relay::connection_id, const lending::returned_state&) override {}
    void send_requests(relay::connection_id id,
                       const std::vector<relay::database_request>& requests) override {
        for (const relay::database_request& request : requests) {
            m_sent.emplace_back(id, request);
        }
    }
    void close_connection(relay::connection_id) override {}
    void record_event(const relay::statement_event&) override {}
    [[nodiscard]] bool can_encode(const relay::database_request& request) const override {
        return platform::line_protocol().can_encode(request);
    }
    void count_statement(const relay::answered_statement&) override {}

    relay::session_answer m_last_answer;
    std::vector<relay::connection_id> m_opened;
    std::vector<sent_request> m_sent;
};

// A relay with one database, whose answers to statements of callers are the test's.
class relay_with_primary {
public:
    relay_with_primary() {
        documents::configuration configured;
        configured.m_version = documents::document_version(1);
        documents::route_rule route;
        route.m_database = "tray";
        route.m_statement_timeout = core::milliseconds(1000);
        route.m_target_latency = core::milliseconds(400);
        route.m_max_attempts = 2;
        route.m_service = core::service_name("stock");
        configured.m_routes = {route};
        configured.m_services = {{route.m_service, 32, 0}};
        registry::endpoint_report primary;
        primary.m_id = core::endpoint_id("primary");
        primary.m_service = route.m_service;
        primary.m_address = {"127.0.0.1", 1};
        primary.m_zone = core::availability_zone("makati");
        primary.m_slots = 4;
        primary.m_is_primary = true;
        primary.m_sequence = 1;
        m_core.configure(configured, m_now);
        m_core.on_endpoints_changed({primary}, m_now);
        run();
    }

    void open(std::uint64_t session) {
        CPPUNIT_ASSERT(m_core.on_session_opened(relay::session_id(session), "tray") ==
                       relay::session_admission::accepted);
    }
    void close(std::uint64_t session) { m_core.on_session_closed(relay::session_id(session), m_now); }
    void send(std::uint64_t session, const std::string& id, const std::string& text) {
        m_core.on_statement_received(relay::session_id(session), platform::decode_statement(id, text), m_now);
        run();
    }
    void advance(core::milliseconds passed) {
        m_now += passed;
        m_core.tick(m_now);
        run();
    }
    // Answers the caller's statement, which has to be the last request on its connection.
    void answer(const std::string& id, std::optional<relay::refusal> refusal, transaction_state state) {
        const auto sent = last_sent(id);
        m_states[sent->first] = state;
        m_core.on_answer_received(sent->first, {.m_refusal = refusal, .m_state = state}, m_now);
        run();
    }
    // Whether a database that holds nothing for the connection of the statement holds, when it arrives, what
    // the relay has prepared there since the request with index `first`.
    [[nodiscard]] bool is_prepared_since(const std::string& id, std::size_t first) const {
        const auto sent = last_sent(id);
        return std::any_of(
            m_ports.m_sent.begin() + static_cast<std::ptrdiff_t>(first), sent, [&](const auto& one) {
                return one.first == sent->first && one.second.m_kind == request_kind::prepare &&
                       one.second.m_name == sent->second.m_name;
            });
    }
    [[nodiscard]] bool last_succeeded() const { return !m_ports.m_last_answer.m_refusal; }
    [[nodiscard]] const auto& sent() const { return m_ports.m_sent; }

private:
    // The last request with the caller's id.
    [[nodiscard]] std::vector<sent_request>::const_iterator last_sent(const std::string& id) const {
        const auto found = std::find_if(m_ports.m_sent.rbegin(), m_ports.m_sent.rend(),
                                        [&](const sent_request& one) { return one.second.m_id == id; });
        CPPUNIT_ASSERT_MESSAGE(id + " was not sent", found != m_ports.m_sent.rend());
        return std::prev(found.base());
    }
    // Opens connections and answers what the relay itself sends, until nothing is left to do.
    void run() {
        while (!m_ports.m_opened.empty() || m_answered < m_ports.m_sent.size()) {
            for (const relay::connection_id id : std::exchange(m_ports.m_opened, {})) {
                m_core.on_connection_opened(id, std::nullopt, m_now);
            }
            if (m_answered == m_ports.m_sent.size()) {
                continue;
            }
            const auto [id, request] = m_ports.m_sent[m_answered++];
            if (!request.m_id.empty()) {
                continue;
            }
            if (request.m_kind == request_kind::begin || request.m_kind == request_kind::rollback) {
                m_states[id] =
                    request.m_kind == request_kind::begin ? transaction_state::open : transaction_state::idle;
            }
            m_core.on_answer_received(id, {.m_state = m_states[id]}, m_now);
        }
    }

    core::time_point m_now{std::chrono::hours(1)};
    recording_ports m_ports;
    relay::relay_core m_core{m_ports, {.m_zone = core::availability_zone("makati"), .m_entry_hosts = 4}};
    std::map<relay::connection_id, transaction_state> m_states;
    std::size_t m_answered = 0;
};

class connection_records : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_records);
    CPPUNIT_TEST(rolled_back_preparation_is_repeated_after_its_caller_has_left);
    CPPUNIT_TEST(name_that_a_database_does_not_know_is_prepared_again);
    CPPUNIT_TEST(statement_with_a_long_id_is_not_sent_beyond_the_limit);
    CPPUNIT_TEST(line_of_the_largest_size_may_arrive_without_its_line_feed);
    CPPUNIT_TEST(closed_sessions_and_removed_names_do_not_count_towards_the_limit);
    CPPUNIT_TEST(large_sessions_leave_room_for_the_values_of_small_ones);
    CPPUNIT_TEST(connection_whose_database_denies_the_transaction_is_not_used_as_it_is);
    CPPUNIT_TEST_SUITE_END();

    static void rolled_back_preparation_is_repeated_after_its_caller_has_left() {
        relay_with_primary relay;
        relay.open(1);
        relay.send(1, "b1", "BEGIN");
        relay.send(1, "r1", "READ item");
        relay.answer("r1", std::nullopt, transaction_state::open);
        relay.send(1, "p1", "PREPARE s WRITE q");
        relay.send(1, "w1", "EXECUTE s item data");
        relay.answer("w1", std::nullopt, transaction_state::open);
        relay.send(1, "c1", "COMMIT");
        relay.close(1);
        const std::size_t first = relay.sent().size();
        relay.answer("c1", relay::refusal::read_only, transaction_state::idle); // Rolls back.
        relay.open(2);
        relay.send(2, "p2", "PREPARE s WRITE q");
        relay.send(2, "w2", "EXECUTE s item data");
        CPPUNIT_ASSERT(relay.is_prepared_since("w2", first));
    }

    static void name_that_a_database_does_not_know_is_prepared_again() {
        relay_with_primary relay;
        relay.open(1);
        relay.send(1, "p1", "PREPARE s WRITE q");
        relay.send(1, "w1", "EXECUTE s item data");
        const std::size_t first = relay.sent().size();
        relay.answer("w1", relay::refusal::unknown_statement, transaction_state::idle);
        relay.advance(core::milliseconds(20)); // The relay repeats it, because it has not run.
        CPPUNIT_ASSERT(relay.is_prepared_since("w1", first));
        relay.answer("w1", std::nullopt, transaction_state::idle);
        CPPUNIT_ASSERT(relay.last_succeeded());
    }

    static void statement_with_a_long_id_is_not_sent_beyond_the_limit() {
        relay_with_primary relay;
        relay.open(1);
        relay.send(1, "p1", "PREPARE s WRITE q");
        const std::string text = "EXECUTE s item data";
        // With its line end, the caller's message has exactly the largest size.
        const std::string id(platform::max_message_bytes - text.size() - std::string("QUERY  \r\n").size(),
                             'i');
        relay.send(1, id, text);
        for (const auto& [connection, request] : relay.sent()) {
            CPPUNIT_ASSERT(platform::line_protocol().can_encode(request));
        }
    }

    static void line_of_the_largest_size_may_arrive_without_its_line_feed() {
        const platform::line_protocol protocol;
        std::size_t offset = 0;
        const std::string query = "QUERY 1 READ ";
        CPPUNIT_ASSERT(!protocol.decode_caller_message(
            query + std::string(platform::max_message_bytes - query.size(), 'x') + "\r", offset));
        entry::partial_answer answer;
        CPPUNIT_ASSERT(
            protocol.decode_answer("ROW " + std::string(platform::max_message_bytes - 4, 'x') + "\r", offset,
                                   answer) == entry::answer_progress::incomplete);
    }

    static void closed_sessions_and_removed_names_do_not_count_towards_the_limit() {
        relay_with_primary relay;
        const relay::session_state_limits limits;
        const std::string part(limits.m_max_bytes / 8, 'x');
        for (std::uint64_t session = 1; session <= 2 * limits.m_max_total_bytes / part.size(); ++session) {
            relay.open(session);
            for (const char* text : {"SET v ", "SET v ", "PREPARE s READ ", "PREPARE s READ "}) {
                relay.send(session, "1", text + part);
                CPPUNIT_ASSERT(relay.last_succeeded());
            }
            relay.send(session, "1", "DEALLOCATE s");
            relay.close(session);
        }
    }

    static void large_sessions_leave_room_for_the_values_of_small_ones() {
        relay_with_primary relay;
        const relay::session_state_limits limits;
        const std::string part(limits.m_max_bytes / 8, 'x');
        const std::uint64_t large_sessions = 2 * limits.m_max_total_bytes / limits.m_max_bytes;
        for (std::uint64_t session = 1; session <= large_sessions; ++session) {
            relay.open(session);
            for (int value = 0; value < 8; ++value) {
                relay.send(session, "1", "SET v" + std::to_string(value) + " " + part);
            }
        }
        CPPUNIT_ASSERT(!relay.last_succeeded());
        relay.open(large_sessions + 1);
        relay.send(large_sessions + 1, "1", "SET v " + std::string(limits.m_small_session_bytes / 2, 'x'));
        CPPUNIT_ASSERT(relay.last_succeeded());
        relay.send(large_sessions + 1, "1", "SET w " + part);
        CPPUNIT_ASSERT(!relay.last_succeeded());
    }

    static void connection_whose_database_denies_the_transaction_is_not_used_as_it_is() {
        relay_with_primary relay;
        relay.open(1);
        relay.send(1, "r1", "READ item"); // Inside a transaction of the relay.
        const auto used = relay.sent().back().first;
        const std::size_t first = relay.sent().size();
        relay.answer("r1", std::nullopt, transaction_state::idle);
        relay.send(1, "r2", "READ item");
        const auto next = relay.sent().begin() + static_cast<std::ptrdiff_t>(first);
        CPPUNIT_ASSERT(next != relay.sent().end());
        CPPUNIT_ASSERT(next->first != used || next->second.m_kind == request_kind::rollback);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_records);

} // namespace
