// Guards against failures of the real HTTP server: a client that stalls or sends an oversized body blocks
// other clients, connections over the limit are closed without a response, TLS uses another certificate than
// the configured one, session tokens are lost between header and cookie, or a drain loses a response.
#include "cli/http_request.h"
#include "core/digest.h"
#include "core/log.h"
#include "gateway/http_gateway.h"
#include "support/loopback_client.h"
#include "support/recording_backend.h"
#include "support/temporary_folder.h"
#include "support/test_certificate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <thread>

using namespace mangoquay;
using namespace mangoquay::test;

namespace {

settings::settings gateway_settings() {
    settings::settings config;
    config.m_http_address = control::socket_address{"127.0.0.1", find_free_port()};
    config.m_callers.push_back({core::caller_id("app"), core::sha256("app-key"), true, true, {}});
    config.m_http_limits.m_connections = 8;
    return config;
}

} // namespace

class http_gateway_service : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_gateway_service);
    CPPUNIT_TEST(statements_and_session_tokens_travel_over_http);
    CPPUNIT_TEST(oversized_bodies_are_refused_before_decoding);
    CPPUNIT_TEST(stalled_clients_do_not_block_others_and_excess_connections_get_503);
    CPPUNIT_TEST(tls_uses_the_configured_certificate);
    CPPUNIT_TEST(drain_completes_requests_in_progress);
    CPPUNIT_TEST(connections_that_are_not_accepted_yet_are_served_when_accepting_ends);
    CPPUNIT_TEST_SUITE_END();

    recording_backend m_backend;
    settings::settings m_settings = gateway_settings();

    [[nodiscard]] std::uint16_t port() const { return m_settings.m_http_address->m_port; }
    [[nodiscard]] cli::http_request statement(const std::string& sql,
                                              const std::string& scheme = "http") const {
        cli::http_request request;
        request.m_method = "POST";
        request.m_url = scheme + "://127.0.0.1:" + std::to_string(port()) + "/v1/services/s/statements";
        request.m_body = nlohmann::json{{"sql", sql}}.dump();
        request.m_key = "app-key";
        request.m_timeout_s = 20;
        return request;
    }
    void start(gateway::http_gateway& server) const {
        const std::string error = server.start();
        CPPUNIT_ASSERT_EQUAL(std::string(), error);
    }

public:
    void setUp() override { core::configure_log(core::log_level::error, "/dev/null"); }

    void statements_and_session_tokens_travel_over_http() {
        gateway::http_gateway server(m_settings, m_backend);
        start(server);
        m_backend.m_execute = [](const routing::entry_statement& sent) {
            routing::entry_answer answer = recording_backend::ran("\xff not UTF-8");
            answer.m_session_token = sent.m_session_token + "-next";
            return answer;
        };
        const loopback_client client(port());
        const std::string body = R"({"sql":"SELECT 1"})";
        client.send(
            "POST /v1/services/s/statements?service=other HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            "authorization: bearer app-key\r\nCookie: mangoquay_session=abc\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
        const std::string received = client.receive_all();
        for (const char* part : {"HTTP/1.1 200", "X-Mangoquay-Session: abc-next",
                                 "Set-Cookie: mangoquay_session=abc-next; Path=/; HttpOnly",
                                 "\"verdict\":\"ran\"", "\"reason\":\"none\""}) {
            CPPUNIT_ASSERT_MESSAGE(received, received.find(part) != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("s"), m_backend.m_statements.at(0).m_request.m_service.value());
    }

    void oversized_bodies_are_refused_before_decoding() {
        gateway::http_gateway server(m_settings, m_backend);
        start(server);
        const auto refused = cli::send_request(statement(std::string(3U * 1024U * 1024U, 'x')));
        CPPUNIT_ASSERT_EQUAL(413L, refused->m_status);
        CPPUNIT_ASSERT(m_backend.m_statements.empty());
        CPPUNIT_ASSERT_EQUAL(200L, cli::send_request(statement("SELECT 1"))->m_status);
    }

    void stalled_clients_do_not_block_others_and_excess_connections_get_503() {
        gateway::http_gateway server(m_settings, m_backend);
        start(server);
        std::vector<std::unique_ptr<loopback_client>> stalled;
        for (std::size_t count = 0; count < 7; ++count) {
            stalled.push_back(std::make_unique<loopback_client>(port()));
            stalled.back()->send("POST /v1/services/s/statements HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
        }
        while (server.connection_count() < stalled.size()) {
            std::this_thread::sleep_for(core::milliseconds(1));
        }
        CPPUNIT_ASSERT_EQUAL(200L, cli::send_request(statement("SELECT 1"))->m_status);
        while (server.connection_count() > stalled.size()) {
            // The client that was served closes its connection.
            std::this_thread::sleep_for(core::milliseconds(1));
        }
        stalled.push_back(std::make_unique<loopback_client>(port()));
        while (server.connection_count() < stalled.size()) {
            std::this_thread::sleep_for(core::milliseconds(1));
        }
        const auto beyond = cli::send_request(statement("SELECT 2"));
        CPPUNIT_ASSERT_EQUAL(503L, beyond->m_status);
        CPPUNIT_ASSERT(beyond->m_body.find(R"("reason":"connection_limit")") != std::string::npos);
        CPPUNIT_ASSERT(beyond->m_body.find(R"("verdict":"not_run")") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_backend.m_statements.size());
    }

    void tls_uses_the_configured_certificate() {
        const temporary_folder folder;
        const test_certificate made = make_test_certificate();
        m_settings.m_tls = settings::tls_files{folder.write("cert.pem", made.m_certificate_pem),
                                               folder.write("key.pem", made.m_key_pem)};
        gateway::http_gateway server(m_settings, m_backend);
        start(server);
        cli::http_request request = statement("SELECT 1", "https");
        CPPUNIT_ASSERT(!cli::send_request(request)); // The client does not trust the certificate.
        request.m_ca_file = folder.path() / "cert.pem";
        const auto response = cli::send_request(request);
        CPPUNIT_ASSERT_MESSAGE(response.reason(), static_cast<bool>(response));
        CPPUNIT_ASSERT_EQUAL(200L, response->m_status);
    }

    // The kernel completes connections before the server accepts them. Their callers have sent requests,
    // which closing the listening socket would reset.
    void connections_that_are_not_accepted_yet_are_served_when_accepting_ends() {
        constexpr int rounds = 20;
        constexpr std::size_t clients_per_round = 60;
        m_settings.m_http_limits.m_connections = 2 * clients_per_round;
        const std::string body = R"({"sql":"SELECT 1"})";
        const std::string request =
            "POST /v1/services/s/statements HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            "Authorization: Bearer app-key\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        for (int round = 0; round < rounds; ++round) {
            m_settings.m_http_address->m_port = find_free_port();
            gateway::http_gateway server(m_settings, m_backend);
            start(server);
            std::vector<std::unique_ptr<loopback_client>> clients;
            for (std::size_t count = 0; count < clients_per_round; ++count) {
                clients.push_back(std::make_unique<loopback_client>(port()));
                clients.back()->send(request);
            }
            server.begin_drain();
            server.stop_accepting();
            for (const auto& client : clients) {
                CPPUNIT_ASSERT(client->receive_all().starts_with("HTTP/1.1 200"));
            }
        }
    }

    void drain_completes_requests_in_progress() {
        gateway::http_gateway server(m_settings, m_backend);
        start(server);
        std::mutex mutex;
        std::condition_variable changed;
        bool entered = false;
        bool released = false;
        m_backend.m_execute = [&](const routing::entry_statement&) {
            std::unique_lock lock(mutex);
            entered = true;
            changed.notify_all();
            changed.wait(lock, [&] { return released; });
            return recording_backend::ran("slow");
        };
        long status = 0;
        std::thread caller([&] { status = cli::send_request(statement("SELECT 1"))->m_status; });
        {
            std::unique_lock lock(mutex);
            changed.wait(lock, [&] { return entered; });
        }
        server.begin_drain();
        const auto now = core::now();
        CPPUNIT_ASSERT(!server.wait_until_idle(core::deadline_after(now, core::milliseconds(20))));
        {
            const std::lock_guard lock(mutex);
            released = true;
        }
        changed.notify_all();
        CPPUNIT_ASSERT(server.wait_until_idle(core::deadline_after(now, std::chrono::seconds(20))));
        server.stop();
        caller.join();
        CPPUNIT_ASSERT_EQUAL(200L, status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_gateway_service);
