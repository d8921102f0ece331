// Guards against requests that run although they must be refused: without a known key, for a service that the
// key does not allow, over the limits, or with misspelt members or truncated bodies. Also guards against
// errors that do not name the faulty member, and against responses with a wrong verdict.
#include "core/digest.h"
#include "core/log.h"
#include "gateway/api_router.h"
#include "support/property_check.h"
#include "support/recording_backend.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <stdexcept>

using namespace mangoquay;
using nlohmann::json;

namespace {

std::vector<settings::caller_key> callers() {
    settings::caller_key app{core::caller_id("app"), core::sha256("app-key"), false, false, {}};
    app.m_services.insert(core::service_name("s"));
    settings::caller_key admin{core::caller_id("admin"), core::sha256("admin-key"), true, true, {}};
    return {app, admin};
}

} // namespace

class http_api_errors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_api_errors);
    CPPUNIT_TEST(requests_without_a_known_key_get_401);
    CPPUNIT_TEST(keys_restrict_services_and_operations);
    CPPUNIT_TEST(unknown_paths_and_methods_are_refused);
    CPPUNIT_TEST(body_errors_report_the_json_pointer);
    CPPUNIT_TEST(statements_are_decoded);
    CPPUNIT_TEST(transaction_calls_are_decoded);
    CPPUNIT_TEST(operator_calls_are_decoded);
    CPPUNIT_TEST(refused_changes_map_to_http_status);
    CPPUNIT_TEST(requests_over_the_limit_are_not_run);
    CPPUNIT_TEST(handler_exceptions_become_internal_fault);
    CPPUNIT_TEST(randomly_mutated_bodies_get_a_verdict);
    CPPUNIT_TEST_SUITE_END();

    test::recording_backend m_backend;
    gateway::api_router m_router{callers(), {2, 1, false}, m_backend};

    gateway::api_response call(const std::string& method, const std::string& path,
                               const std::string& body = {}, const std::string& key = "admin-key") {
        return m_router.handle({method, path, body, "Bearer " + key, "token"});
    }
    gateway::api_response post(const std::string& path, const json& body,
                               const std::string& key = "admin-key") {
        return call("POST", path, body.dump(), key);
    }

public:
    void setUp() override { core::configure_log(core::log_level::error, "/dev/null"); }

    void requests_without_a_known_key_get_401() {
        const std::string path = "/v1/services/s/statements";
        for (const char* header : {"", "Bearer", "Bearer ", "Bearer wrong", "Basic admin-key", "admin-key"}) {
            const auto response = m_router.handle({"POST", path, R"({"sql":"SELECT 1"})", header, {}});
            CPPUNIT_ASSERT_EQUAL(401U, response.m_status);
            CPPUNIT_ASSERT_EQUAL(std::string("unauthenticated"),
                                 response.m_json["reason"].get<std::string>());
            CPPUNIT_ASSERT_EQUAL(401U, m_router.handle({"GET", "/none", {}, header, {}}).m_status);
        }
        CPPUNIT_ASSERT(m_backend.m_statements.empty());
    }

    void keys_restrict_services_and_operations() {
        const json body{{"sql", "SELECT 1"}};
        CPPUNIT_ASSERT_EQUAL(200U, post("/v1/services/s/statements", body, "app-key").m_status);
        CPPUNIT_ASSERT_EQUAL(403U, post("/v1/services/other/statements", body, "app-key").m_status);
        for (const auto& [method, path] : std::vector<std::pair<const char*, const char*>>{
                 {"GET", "/v1/status"},
                 {"GET", "/metrics"},
                 {"PUT", "/v1/services/s"},
                 {"PUT", "/v1/presets/peak"},
                 {"POST", "/v1/services/s/preset"},
                 {"POST", "/v1/services/s/days/2026-12-04/close"},
                 {"PUT", "/v1/endpoints/e"},
                 {"POST", "/v1/endpoints/e/drain"},
                 {"POST", "/v1/groups/g/hand-over"},
                 {"POST", "/v1/control-hosts/h/replace"}}) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 403U, call(method, path, "{}", "app-key").m_status);
        }
        CPPUNIT_ASSERT(m_backend.m_commands.empty());
    }

    void unknown_paths_and_methods_are_refused() {
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/").m_status);
        CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/v1/services//statements").m_status);
        CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/v1/services/a b/statements").m_status);
        CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/v1/services/../statements").m_status);
        CPPUNIT_ASSERT_EQUAL(404U, call("POST", "/v1/services/s/statements/").m_status);
        CPPUNIT_ASSERT_EQUAL(405U, call("GET", "/v1/services/s/statements").m_status);
        CPPUNIT_ASSERT_EQUAL(404U, call("PUT", "/v1/faults/blocked-peers", R"({"peers":[]})").m_status);
        const std::string large(gateway::max_body_bytes + 1, ' ');
        CPPUNIT_ASSERT_EQUAL(413U, call("POST", "/v1/services/s/statements", large).m_status);
    }

    void body_errors_report_the_json_pointer() {
        const std::string nul("a\0b", 3);
        const std::vector<std::pair<json, const char*>> cases{
            {json::object(), "/sql: found nothing"},
            {{{"sql", ""}}, "/sql: found \"\""},
            {{{"sql", nul}}, "/sql: found"},
            {{{"sql", 1}}, "/sql: found 1"},
            {{{"sql", "x"}, {"kimd", "read"}}, "/kimd: found"},
            {{{"sql", "x"}, {"params", "a"}}, "/params: found"},
            {{{"sql", "x"}, {"params", json::array({"a", json::object()})}}, "/params/1: found"},
            {{{"sql", "x"}, {"params", json::array({nul})}}, "/params/0: found"},
            {{{"sql", "x"}, {"group", "a/b"}}, "/group: found"},
            {{{"sql", "x"}, {"group", "a"}, {"key", "b"}}, "/key: found \"b\""},
            {{{"sql", "x"}, {"kind", "reads"}}, "/kind: found \"reads\"; allowed: one of"},
            {{{"sql", "x"}, {"max_age_ms", 5}}, "/max_age_ms: found 5"},
            {{{"sql", "x"}, {"kind", "read"}, {"max_age_ms", -5}}, "/max_age_ms: found -5"},
            {{{"sql", "x"}, {"deadline_ms", 0}}, "/deadline_ms: found 0; allowed: an integer from 1"},
            {{{"sql", "x"}, {"class", "tiny"}}, "/class: found"},
            {{{"sql", "x"}, {"idempotency_key", ""}}, "/idempotency_key: found"},
            {{{"sql", "x"}, {"not_repeatable", "yes"}}, "/not_repeatable: found"},
            {{{"sql", "x"}, {"business_day", "2026-02-30"}}, "/business_day: found"},
        };
        for (const auto& [body, expected] : cases) {
            const auto response = post("/v1/services/s/statements", body);
            const std::string message = response.m_json["message"];
            CPPUNIT_ASSERT_EQUAL_MESSAGE(expected, 400U, response.m_status);
            CPPUNIT_ASSERT_MESSAGE(message, message.find(expected) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(
            400U, call("POST", "/v1/services/s/statements", "[" + std::string(500000, '[')).m_status);
        CPPUNIT_ASSERT_EQUAL(400U,
                             post("/v1/services/s/days/2026-13-01/close", {{"request_id", "r"}}).m_status);
        CPPUNIT_ASSERT(m_backend.m_statements.empty() && m_backend.m_commands.empty());
    }

    void statements_are_decoded() {
        const json body{{"sql", "SELECT $1"},   {"params", {"a", nullptr, 7, true}},
                        {"key", "k"},           {"kind", "read"},
                        {"max_age_ms", 250},    {"class", "short"},
                        {"deadline_ms", 60000}, {"business_day", "2026-12-04"}};
        const auto response = post("/v1/services/s/statements", body);
        CPPUNIT_ASSERT_EQUAL(200U, response.m_status);
        const routing::entry_statement& statement = m_backend.m_statements.at(0);
        const core::statement_request& request = statement.m_request;
        CPPUNIT_ASSERT(request.m_parameters == std::vector<core::cell>({"a", std::nullopt, "7", "true"}));
        CPPUNIT_ASSERT(request.m_kind == core::statement_kind::read);
        CPPUNIT_ASSERT(request.m_max_age == core::milliseconds(250));
        CPPUNIT_ASSERT(request.m_class == core::work_class::short_work);
        CPPUNIT_ASSERT_EQUAL(std::string("k"), statement.m_routing_key.value());
        CPPUNIT_ASSERT_EQUAL(std::string("token"), statement.m_session_token);
        CPPUNIT_ASSERT_EQUAL(std::string("admin"), request.m_caller.value());
        CPPUNIT_ASSERT(!statement.m_default_deadline);
        post("/v1/services/s/statements", {{"sql", "x"}});
        CPPUNIT_ASSERT(m_backend.m_statements.at(1).m_request.m_kind == core::statement_kind::write);
        CPPUNIT_ASSERT(m_backend.m_statements.at(1).m_default_deadline);
        post("/v1/services/s/export", {{"sql", "x"}, {"business_day", "2026-12-04"}, {"group", "g"}});
        CPPUNIT_ASSERT(m_backend.m_statements.at(2).m_export);
        CPPUNIT_ASSERT(m_backend.m_statements.at(2).m_request.m_class == core::work_class::long_work);
        CPPUNIT_ASSERT_EQUAL(400U, post("/v1/services/s/export", {{"sql", "x"}}).m_status);
    }

    void transaction_calls_are_decoded() {
        m_backend.m_execute = [](const routing::entry_statement& statement) {
            routing::entry_answer answer = test::recording_backend::ran();
            answer.m_answer.m_rows = {{core::cell("1"), core::cell()}};
            answer.m_transaction = statement.m_request.m_transaction;
            return answer;
        };
        const std::string base = "/v1/services/s/transactions";
        CPPUNIT_ASSERT_EQUAL(200U, call("POST", base).m_status);
        const auto step = post(base + "/h-1~4~7/statements", {{"sql", "x"}});
        CPPUNIT_ASSERT_EQUAL(std::string("h-1~4~7"), step.m_json["transaction"].get<std::string>());
        CPPUNIT_ASSERT(step.m_json["rows"] == json::parse(R"([["1", null]])"));
        call("POST", base + "/h-1~4~7/commit");
        call("POST", base + "/h-1~4~7/rollback");
        std::vector<core::statement_kind> kinds;
        for (const auto& statement : m_backend.m_statements) {
            kinds.push_back(statement.m_request.m_kind);
        }
        using core::statement_kind;
        CPPUNIT_ASSERT(kinds == std::vector({statement_kind::begin, statement_kind::in_transaction,
                                             statement_kind::commit, statement_kind::rollback}));
        CPPUNIT_ASSERT_EQUAL(400U, post(base + "/h~1~1/commit", {{"sql", "x"}}).m_status);
    }

    void operator_calls_are_decoded() {
        const json change{{"expected_revision", 3}, {"request_id", "r"}};
        json service = change;
        service.update({{"groups", {"g1", "g2"}}, {"preset", "peak"}});
        CPPUNIT_ASSERT_EQUAL(200U, call("PUT", "/v1/services/s", service.dump()).m_status);
        CPPUNIT_ASSERT_EQUAL(400U, call("PUT", "/v1/services/s", R"({"groups":[],"preset":"p"})").m_status);
        json preset = change;
        preset.update({{"shed_wait_ms", 100}, {"drained_endpoints", {"e1"}}});
        CPPUNIT_ASSERT_EQUAL(200U, call("PUT", "/v1/presets/peak", preset.dump()).m_status);
        json selected = change;
        selected["preset"] = "peak";
        CPPUNIT_ASSERT_EQUAL(200U, post("/v1/services/s/preset", selected).m_status);
        const json announced{{"group", "g1"},     {"zone", "z"}, {"address", "127.0.0.1:5432"},
                             {"role", "primary"}, {"slots", 3},  {"connections", 40}};
        CPPUNIT_ASSERT_EQUAL(200U, call("PUT", "/v1/endpoints/e1", announced.dump()).m_status);
        CPPUNIT_ASSERT_EQUAL(200U, post("/v1/endpoints/e1/drain", json::object()).m_status);
        CPPUNIT_ASSERT_EQUAL(200U,
                             post("/v1/services/s/days/2026-12-04/close", {{"request_id", "r"}}).m_status);
        const auto& commands = m_backend.m_commands;
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, commands.size());
        const auto& put = std::get<control::put_service>(commands.at(0));
        CPPUNIT_ASSERT(put.m_expected_revision == core::revision(3) && put.m_record.m_groups.size() == 2);
        CPPUNIT_ASSERT_EQUAL(100U, std::get<control::put_preset>(commands.at(1)).m_record.m_shed_wait_ms);
        CPPUNIT_ASSERT_EQUAL(40U, std::get<control::announce_endpoint>(commands.at(3)).m_connections);
        CPPUNIT_ASSERT(std::get<control::drain_endpoint>(commands.at(4)).m_leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04"),
                             std::get<control::close_day>(commands.at(5)).m_key.m_day.value());
        CPPUNIT_ASSERT_EQUAL(200U, post("/v1/groups/g1/hand-over", {{"endpoint", "e2"}}).m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("e2"), m_backend.m_target);
        const json replacement{{"host", "h9"}, {"peer_address", "10.0.0.1:7101"}};
        CPPUNIT_ASSERT_EQUAL(200U, post("/v1/control-hosts/h1/replace", replacement).m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("h9"), m_backend.m_target);
    }

    void refused_changes_map_to_http_status() {
        const json body{{"expected_revision", 3}, {"request_id", "r"}, {"preset", "peak"}};
        const auto status = [&](core::verdict verdict, core::reason reason, const char* change_reason) {
            m_backend.m_outcome = {verdict, reason, {false, {}, change_reason, "text"}};
            return post("/v1/services/s/preset", body).m_status;
        };
        using core::reason;
        using core::verdict;
        CPPUNIT_ASSERT_EQUAL(409U, status(verdict::not_run, reason::none, "revision_conflict"));
        CPPUNIT_ASSERT_EQUAL(422U, status(verdict::not_run, reason::none, "invalid_change"));
        CPPUNIT_ASSERT_EQUAL(503U, status(verdict::not_run, reason::control_not_current, ""));
        CPPUNIT_ASSERT_EQUAL(504U, status(verdict::may_have_run, reason::connection_lost, ""));
    }

    void requests_over_the_limit_are_not_run() {
        const json body{{"sql", "outer"}};
        std::vector<unsigned> inner;
        m_backend.m_execute = [&](const routing::entry_statement&) {
            // Runs while a request of the same caller is in progress.
            const auto response = post("/v1/services/s/statements", body, "app-key");
            inner.push_back(response.m_status);
            CPPUNIT_ASSERT_EQUAL(std::string("not_run"), response.m_json["verdict"].get<std::string>());
            inner.push_back(call("GET", "/v1/status").m_status);
            return test::recording_backend::ran();
        };
        CPPUNIT_ASSERT_EQUAL(200U, post("/v1/services/s/statements", body, "app-key").m_status);
        CPPUNIT_ASSERT(inner == std::vector<unsigned>({503, 200}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_backend.m_statements.size());
        CPPUNIT_ASSERT_EQUAL(0U, m_router.requests_in_progress());
    }

    void handler_exceptions_become_internal_fault() {
        m_backend.m_execute = [](const routing::entry_statement&) -> routing::entry_answer {
            throw std::runtime_error("injected");
        };
        const auto response = post("/v1/services/s/statements", {{"sql", "x"}});
        CPPUNIT_ASSERT_EQUAL(500U, response.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string("may_have_run"), response.m_json["verdict"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(0U, m_router.requests_in_progress());
    }

    void randomly_mutated_bodies_get_a_verdict() {
        const std::string valid_body = R"({"sql":"S","params":["a",1,null],"kind":"read","max_age_ms":5})";
        const auto property = [&] {
            std::string body = valid_body;
            for (int change = *rc::gen::inRange(1, 5); change > 0 && !body.empty(); --change) {
                const auto place = *rc::gen::inRange<std::size_t>(0, body.size());
                switch (*rc::gen::inRange(0, 3)) {
                case 0:
                    body[place] = *rc::gen::arbitrary<char>();
                    break;
                case 1:
                    body.erase(place, *rc::gen::inRange<std::size_t>(1, 9));
                    break;
                default:
                    body.insert(place, *rc::gen::arbitrary<std::string>());
                }
            }
            const auto response = call("POST", "/v1/services/s/statements", body);
            RC_ASSERT(response.m_status == 200U || response.m_status == 400U);
            RC_ASSERT(response.m_json.contains("verdict") && response.m_json.contains("reason"));
            RC_ASSERT(!response.m_json.dump(-1, ' ', false, json::error_handler_t::replace).empty());
        };
        CPPUNIT_ASSERT(test::meets_expectation(test::expectation::holds, property, 1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_api_errors);
