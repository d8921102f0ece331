// Guards against clients that make a control host exit, hang, or use more memory or descriptors than its
// settings allow, by what they send to its HTTP and peer ports.
//
// The crowd and the bounds were fixed before the program had any of the limits that these tests check.
#include "support/client_crowd.h"
#include "support/process_checks.h"
#include "support/process_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

constexpr std::size_t body_bytes = 1U << 20U;
constexpr std::size_t crowd_size = 60;
constexpr test::process_limits entry_limits{160, 512};
constexpr test::process_limits control_limits{64, 512};

class control_clients_outside_limits : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_clients_outside_limits);
    CPPUNIT_TEST(bodies_without_end);
    CPPUNIT_TEST(large_reports_with_many_elements);
    CPPUNIT_TEST(body_far_over_the_limit);
    CPPUNIT_TEST(heads_without_end);
    CPPUNIT_TEST(more_connections_than_places);
    CPPUNIT_TEST(bytes_of_no_peer);
    CPPUNIT_TEST(more_connections_at_the_peer_port_than_descriptors);
    CPPUNIT_TEST_SUITE_END();

    static std::string post(const std::string& path, std::size_t announced_bytes, const std::string& body) {
        return "POST " + path + " HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(announced_bytes) + "\r\n\r\n" + body;
    }

    static void assert_control_serves(const char* name, test::process_fleet& fleet) {
        test::assert_within(name, fleet.control(), control_limits);
        CPPUNIT_ASSERT(fleet.accepts_report());
        CPPUNIT_ASSERT(fleet.serves_ordinary_statement());
        test::assert_within(name, fleet.control(), control_limits);
    }

    static void run_crowd(const char* name, const std::string& bytes) {
        test::process_fleet fleet(entry_limits, control_limits);
        test::client_crowd crowd(fleet.control_ip(), fleet.control_port(), crowd_size);
        crowd.send(bytes);
        assert_control_serves(name, fleet);
    }

public:
    void bodies_without_end() {
        run_crowd("bodies", post("/api/Config.Replace", body_bytes, std::string(body_bytes - 1, 'x')));
    }

    void large_reports_with_many_elements() {
        std::string body = "[";
        while (body.size() < body_bytes - 2) {
            body += "0,";
        }
        run_crowd("reports", post("/api/Instances.Heartbeat/d", body.size(), body));
    }

    void body_far_over_the_limit() {
        run_crowd("far over",
                  post("/api/Config.Replace", 16 * body_bytes, std::string(16 * body_bytes, 'x')));
    }

    void heads_without_end() {
        run_crowd("heads", "GET /api/Config.Describe HTTP/1.1\r\nHost: " + std::string(body_bytes, 'x'));
    }

    void more_connections_than_places() {
        test::process_fleet fleet(entry_limits, control_limits);
        test::client_crowd crowd(fleet.control_ip(), fleet.control_port(), control_limits.m_descriptors);
        crowd.send("GET /api/Conf");
        assert_control_serves("more connections", fleet);
    }

    void bytes_of_no_peer() {
        test::process_fleet fleet(entry_limits, control_limits);
        test::client_crowd crowd(fleet.control_ip(), fleet.peer_port(), crowd_size);
        crowd.send(std::string(body_bytes, 'x'));
        assert_control_serves("no peer", fleet);
    }

    void more_connections_at_the_peer_port_than_descriptors() {
        test::process_fleet fleet(entry_limits, control_limits);
        test::client_crowd crowd(fleet.control_ip(), fleet.peer_port(), control_limits.m_descriptors);
        crowd.send("x");
        assert_control_serves("peer port", fleet);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_clients_outside_limits);

} // namespace
