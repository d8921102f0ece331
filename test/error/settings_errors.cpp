// Guards against a process that starts with settings that its operator did not intend. Misspelt members,
// wrong types and contradictions must be rejected, reported together, each with its JSON pointer.
#include "settings/settings.h"
#include "settings/socket_address_text.h"
#include "support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <fstream>

using namespace mangoquay;
using nlohmann::json;

namespace {

json valid_document() {
    std::ifstream file(std::filesystem::path(__FILE__).parent_path() /
                       "../../config/talaan/hosts/tal-makati-1.json");
    json document = json::parse(file);
    const std::string key(16, 'k');
    document.erase("cluster_key_file");
    document["cluster_key"] = key;
    document["session_keys"] = json::array({{{"id", 1}, {"key", key}}});
    document["callers"] = json::array({{{"id", "app"}, {"key", key}, {"services", {"*"}}}});
    document["database"] = {{"user", "u"}, {"password", "secret"}, {"database", "d"}};
    return document;
}

} // namespace

class settings_errors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_errors);
    CPPUNIT_TEST(each_error_names_its_json_pointer);
    CPPUNIT_TEST(all_errors_are_reported_together);
    CPPUNIT_TEST(secrets_do_not_appear_in_error_messages);
    CPPUNIT_TEST(unreadable_and_malformed_files_are_rejected);
    CPPUNIT_TEST(addresses_require_an_ip_address_and_a_port);
    CPPUNIT_TEST_SUITE_END();

    test::temporary_folder m_folder;

    std::string reason_of(const json& document) {
        return settings::load_settings(m_folder.write("s.json", document.dump())).reason();
    }

public:
    void each_error_names_its_json_pointer() {
        CPPUNIT_ASSERT_EQUAL(std::string(), reason_of(valid_document()));
        struct invalid_member {
            const char* m_pointer;
            json m_value;
            const char* m_allowed;
        };
        const std::vector<invalid_member> cases{
            {"/hots", "x", "only the members"},
            {"/host", "a/b", "letters"},
            {"/zone", 5, "letters"},
            {"/peer_address", "localhost:7101", "an IP address"},
            {"/peer_address", "10.72.1.12:7101", "listed for this host"},
            {"/http_address", "10.72.1.11:0", "an IP address"},
            {"/roles", json::array(), "\"proxy\", \"control\" or both"},
            {"/roles", json::array({"proxi"}), "\"proxy\" and \"control\""},
            {"/control_hosts", json::array(), "1, 3 or 5 hosts"},
            {"/control_hosts/1/host", "tal-makati-1", "a host that is listed only once"},
            {"/cluster_key", "short", "at least 16 bytes"},
            {"/session_keys", json::array(), "at least one key"},
            {"/session_keys/0/id", 256, "from 0 to 255"},
            {"/session_keys/0/key_file", "none.key", "either key or key_file"},
            {"/callers/0/sha256", std::string(64, 'a'), "only one of"},
            {"/callers/0/services/0", "a b", "or \"*\""},
            {"/callers/0/operator", "yes", "true or false"},
            {"/database/sslmode", "on", "one of"},
            {"/log/level", "loud", "one of"},
            {"/http_limits/connections", 0, "from 1 to"},
            {"/http_limits/idle_timeout_s", 1.5, "from 1 to"},
            {"/tls", {{"certificate_file", "none.pem"}, {"key_file", "none.pem"}}, "readable PEM"},
            {"/fault_injection", 1, "true or false"},
        };
        for (const invalid_member& each : cases) {
            json document = valid_document();
            document[json::json_pointer(each.m_pointer)] = each.m_value;
            const std::string reason = reason_of(document);
            const bool names_pointer =
                reason.find(std::string("s.json: ") + each.m_pointer) != std::string::npos;
            CPPUNIT_ASSERT_MESSAGE(each.m_pointer + (": " + reason), names_pointer);
            CPPUNIT_ASSERT_MESSAGE(reason, reason.find(each.m_allowed) != std::string::npos);
        }
    }

    void all_errors_are_reported_together() {
        const std::string reason = reason_of(json{{"roles", {"proxy", "control"}}, {"extra", 1}});
        for (const char* member :
             {"/host:", "/zone:", "/peer_address:", "/http_address:", "/data_folder:", "/control_hosts:",
              "/cluster_key:", "/session_keys:", "/callers:", "/database:", "/extra:"}) {
            CPPUNIT_ASSERT_MESSAGE(member + reason, reason.find(member) != std::string::npos);
        }
    }

    void secrets_do_not_appear_in_error_messages() {
        json document = valid_document();
        document["cluster_key"] = "hunter2";
        document["cluster_kee"] = "hunter2";
        CPPUNIT_ASSERT(reason_of(document).find("hunter2") == std::string::npos);
    }

    void unreadable_and_malformed_files_are_rejected() {
        CPPUNIT_ASSERT(!settings::load_settings(m_folder.path() / "none.json"));
        CPPUNIT_ASSERT(!settings::load_settings(m_folder.write("b.json", "{\"host\": ")));
        CPPUNIT_ASSERT(!settings::load_settings(m_folder.write("d.json", std::string(100000, '['))));
        CPPUNIT_ASSERT(!settings::load_settings(m_folder.write("a.json", "[]")));
    }

    void addresses_require_an_ip_address_and_a_port() {
        for (const char* text : {"127.0.0.1:7101", "[::1]:7101"}) {
            const auto address = settings::parse_socket_address(text);
            CPPUNIT_ASSERT(address.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(text), settings::to_text(*address));
        }
        for (const char* text : {"", ":", "127.0.0.1", "127.0.0.1:", "::1:7101", "1.2.3:4", "1.2.3.4:65536",
                                 "1.2.3.4:-1", "1.2.3.4: 1", "[1.2.3.4]:5"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !settings::parse_socket_address(text).has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_errors);
