// Guards against a transaction that moves: its first statement may have run when its connection is lost or
// the database reports a failure, and must not be sent again on another connection.
#include "relay/relay_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace mangoquay;

namespace {

const core::service_name service("stock");
const relay::session_id caller(1);

class recording_ports final : public relay::relay_ports {
public:
    void send_answer(relay::session_id, const relay::session_answer& answer) override {
        m_answers.push_back(answer);
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
    [[nodiscard]] bool can_encode(const relay::database_request& /*request*/) const override { return true; }
    void count_statement(const relay::answered_statement&) override {}

    std::vector<relay::session_answer> m_answers;
    std::vector<relay::connection_id> m_opened;
    std::vector<std::pair<relay::connection_id, relay::database_request>> m_sent;
};

registry::endpoint_report primary_report() {
    registry::endpoint_report report;
    report.m_id = core::endpoint_id("primary");
    report.m_service = service;
    report.m_address = {"127.0.0.1", 1};
    report.m_zone = core::availability_zone("makati");
    report.m_slots = 4;
    report.m_is_primary = true;
    report.m_sequence = 1;
    return report;
}

documents::configuration configuration() {
    documents::configuration configured;
    configured.m_version = documents::document_version(1);
    documents::route_rule route;
    route.m_database = "tray";
    route.m_statement_timeout = core::milliseconds(1000);
    route.m_target_latency = core::milliseconds(400);
    route.m_max_attempts = 2;
    route.m_service = service;
    configured.m_routes = {route};
    configured.m_services = {{service, 32, 0}};
    return configured;
}

relay::session_statement statement(relay::statement_kind kind, const std::string& id,
                                   const std::string& text) {
    relay::session_statement made;
    made.m_kind = kind;
    made.m_id = id;
    made.m_text = text;
    return made;
}

// A caller whose transaction has begun at the primary and whose first statement was sent.
class begun_transaction {
public:
    explicit begun_transaction(relay::statement_kind kind) {
        m_core.configure(configuration(), m_now);
        m_core.on_endpoints_changed({primary_report()}, m_now);
        open_connections();
        CPPUNIT_ASSERT(m_core.on_session_opened(caller, "tray") == relay::session_admission::accepted);
        m_core.on_statement_received(caller, statement(relay::statement_kind::begin, "b1", "BEGIN"), m_now);
        m_core.on_statement_received(caller, statement(kind, "s1", "text"), m_now);
        open_connections();
        answer_preparations();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, runs());
    }

    void lose_connection() {
        m_core.on_connection_failed(connection(), std::nullopt, m_now);
        continue_elsewhere();
    }
    void report_failure() {
        relay::database_answer failure;
        failure.m_refusal = relay::refusal::failed;
        failure.m_state = relay::transaction_state::failed;
        m_core.on_answer_received(connection(), failure, m_now);
        continue_elsewhere();
    }
    // Number of times that the statement was sent.
    [[nodiscard]] std::ptrdiff_t runs() const {
        return std::ranges::count_if(m_ports.m_sent, [](const auto& one) { return one.second.m_id == "s1"; });
    }
    [[nodiscard]] const relay::session_answer& last_answer() const { return m_ports.m_answers.back(); }

private:
    void open_connections() {
        for (const relay::connection_id id : std::exchange(m_ports.m_opened, {})) {
            m_core.on_connection_opened(id, std::nullopt, m_now);
        }
    }
    // Answers everything that the relay itself has sent.
    void answer_preparations() {
        for (; m_answered < m_ports.m_sent.size(); ++m_answered) {
            const auto [id, request] = m_ports.m_sent[m_answered];
            if (request.m_id.empty()) {
                relay::database_answer done;
                done.m_state = request.m_kind == relay::request_kind::begin ? relay::transaction_state::open
                                                                            : relay::transaction_state::idle;
                m_core.on_answer_received(id, done, m_now);
            }
        }
    }
    // Gives the relay every opportunity to send the statement again.
    void continue_elsewhere() {
        for (int step = 0; step < 20; ++step) {
            m_now += core::milliseconds(10);
            m_core.tick(m_now);
            open_connections();
            answer_preparations();
        }
    }
    // The connection on which the statement was sent.
    [[nodiscard]] relay::connection_id connection() const {
        return std::ranges::find_if(m_ports.m_sent, [](const auto& one) { return one.second.m_id == "s1"; })
            ->first;
    }

    core::time_point m_now{std::chrono::hours(1)};
    recording_ports m_ports;
    relay::relay_core m_core{m_ports, {.m_zone = core::availability_zone("makati"), .m_entry_hosts = 4}};
    std::size_t m_answered = 0; // Number of sent requests that were answered or are the caller's.
};

class transaction_after_lost_connection : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(transaction_after_lost_connection);
    CPPUNIT_TEST(a_first_read_is_not_sent_again);
    CPPUNIT_TEST(a_first_write_is_not_sent_again);
    CPPUNIT_TEST(a_first_read_that_failed_is_not_sent_again);
    CPPUNIT_TEST_SUITE_END();

    static void check_aborted(const begun_transaction& transaction) {
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, transaction.runs());
        CPPUNIT_ASSERT(transaction.last_answer().m_refusal == relay::refusal::aborted);
        CPPUNIT_ASSERT(transaction.last_answer().m_state == relay::transaction_state::failed);
    }

    static void a_first_read_is_not_sent_again() {
        begun_transaction transaction(relay::statement_kind::read);
        transaction.lose_connection();
        check_aborted(transaction);
    }

    static void a_first_write_is_not_sent_again() {
        begun_transaction transaction(relay::statement_kind::write);
        transaction.lose_connection();
        check_aborted(transaction);
    }

    static void a_first_read_that_failed_is_not_sent_again() {
        begun_transaction transaction(relay::statement_kind::read);
        transaction.report_failure();
        check_aborted(transaction);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(transaction_after_lost_connection);

} // namespace
