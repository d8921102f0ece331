// Guards against commands that do something other than what the operator typed. An invalid command line must
// end with exit code 2, which differs from that of a refused operation, before any request is sent.
#include "cli/command_line.h"
#include "cli/control_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

using namespace mangoquay;

namespace {

// Redirects standard output and standard error to /dev/null, to keep them out of the test's output.
class silenced_output {
public:
    silenced_output() : m_out(fcntl(1, F_DUPFD_CLOEXEC, 0)), m_error(fcntl(2, F_DUPFD_CLOEXEC, 0)) {
        const int null = open("/dev/null", O_WRONLY | O_CLOEXEC);
        dup2(null, 1);
        dup2(null, 2);
        close(null);
    }
    ~silenced_output() {
        std::fflush(nullptr);
        dup2(m_out, 1);
        dup2(m_error, 2);
        close(m_out);
        close(m_error);
    }
    silenced_output(const silenced_output&) = delete;
    silenced_output& operator=(const silenced_output&) = delete;
    silenced_output(silenced_output&&) = delete;
    silenced_output& operator=(silenced_output&&) = delete;

private:
    int m_out;
    int m_error;
};

int exit_code_of(std::vector<std::string> words) {
    const silenced_output silenced;
    words.insert(words.begin(), "mangoquay");
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    return cli::run_command_line(static_cast<int>(words.size()), arguments.data());
}

} // namespace

class command_line_errors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(command_line_errors);
    CPPUNIT_TEST(invalid_usage_exits_with_2);
    CPPUNIT_TEST(every_command_accepts_help_and_version);
    CPPUNIT_TEST(commands_map_to_http_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void invalid_usage_exits_with_2() {
        const std::vector<std::vector<std::string>> cases{
            {},
            {"walk"},
            {"run"},
            {"run", "--config", "/none.json"},
            {"run", "--config", "a", "b"},
            {"check-config"},
            {"check-config", "/none.json"},
            {"check-config", "a", "b"},
            {"--what"},
            {"ctl"},
            {"ctl", "walk"},
            {"ctl", "--address", "ftp://x", "status"},
            {"ctl", "--timeout", "0", "status"},
            {"ctl", "--key-file", "/none", "status"},
            {"ctl", "--ca-file", "/none", "status"},
            {"ctl", "status", "more"},
            {"ctl", "drain"},
            {"ctl", "drain", "a/../b"},
            {"ctl", "close-day", "s", "../x"},
            {"ctl", "put-service", "s", "/none.json", "--expected-revision", "0"},
            {"ctl", "select-preset", "s", "peak"},
            {"ctl", "select-preset", "s", "peak", "--expected-revision", "1x"},
        };
        for (const auto& words : cases) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(words.empty() ? "none" : words.back(), 2, exit_code_of(words));
        }
    }

    void every_command_accepts_help_and_version() {
        for (const char* flag : {"--help", "--version"}) {
            CPPUNIT_ASSERT_EQUAL(0, exit_code_of({flag}));
            for (const char* command : {"run", "check-config", "ctl"}) {
                CPPUNIT_ASSERT_EQUAL(0, exit_code_of({command, flag}));
            }
        }
    }

    void commands_map_to_http_requests() {
        cli::control_options options;
        options.m_address = "http://127.0.0.1:1";
        options.m_request_id = "r1";
        options.m_expected_revision = "7";
        const auto put = cli::make_control_request(options, {"select-preset", "s", "peak"});
        CPPUNIT_ASSERT_EQUAL(std::string("http://127.0.0.1:1/v1/services/s/preset"), put->m_url);
        const nlohmann::json body = nlohmann::json::parse(put->m_body);
        CPPUNIT_ASSERT(body ==
                       nlohmann::json({{"preset", "peak"}, {"expected_revision", 7}, {"request_id", "r1"}}));
        const auto replace =
            cli::make_control_request(options, {"replace-control-host", "a", "b", "10.0.0.1:7101"});
        CPPUNIT_ASSERT_EQUAL(std::string("http://127.0.0.1:1/v1/control-hosts/a/replace"), replace->m_url);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(command_line_errors);
