// Guards against a configuration or a status report that is accepted although it is invalid, which would
// route statements wrongly, and against hosts that disagree on the configuration: the highest version must
// win in any order of arrival, and the bytes of a stored version must never change.
#include "documents/document_register.h"
#include "platform/configuration_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace mangoquay;
using documents::document_register;
using documents::document_version;

namespace {

nlohmann::json valid_document() {
    return nlohmann::json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"fiti","path-prefix":"/","kind":"read_your_writes","timeout-ms":1000,
         "target-latency-ms":400,"priority":2,"service":"huvo","max-attempts":2,"max-staleness-ms":2500},
        {"name":"r2","host":"lepu","path-prefix":"/","kind":"primary","timeout-ms":1000,
         "target-latency-ms":200,"priority":1,"service":"huvo","max-attempts":2}],
        "services":[{"name":"huvo","max-connections":32,"sync-replicas":1}],"limits":{"tx-idle-ms":3000}})");
}

bool is_accepted(const nlohmann::json& document) {
    return static_cast<bool>(platform::decode_configuration(document.dump()));
}

class platform_configuration : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_configuration);
    CPPUNIT_TEST(a_valid_document_is_decoded_completely);
    CPPUNIT_TEST(invalid_documents_are_refused);
    CPPUNIT_TEST(a_truncated_document_is_refused);
    CPPUNIT_TEST(the_highest_version_wins_in_any_order);
    CPPUNIT_TEST(a_stored_version_keeps_its_bytes);
    CPPUNIT_TEST(a_report_with_missing_or_mistyped_fields_is_refused);
    CPPUNIT_TEST(odd_reports_of_other_writers_are_refused);
    CPPUNIT_TEST(deeply_nested_documents_are_refused);
    CPPUNIT_TEST(numbers_beyond_their_type_do_not_wrap);
    CPPUNIT_TEST_SUITE_END();

    static void a_valid_document_is_decoded_completely() {
        const auto decoded = platform::decode_configuration(valid_document().dump());
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(decoded->m_version == document_version(7));
        const documents::route_rule* route = decoded->find_route("fiti");
        CPPUNIT_ASSERT(route != nullptr && route->m_consistency == documents::consistency::read_your_writes);
        CPPUNIT_ASSERT(route->m_max_age == core::milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(1U, decoded->find_service(core::service_name("huvo"))->m_synchronous_replicas);
        CPPUNIT_ASSERT(decoded->m_transaction_idle_timeout == core::milliseconds(3000));
    }
    static void invalid_documents_are_refused() {
        const auto refused_with = [](auto change) {
            nlohmann::json document = valid_document();
            change(document);
            CPPUNIT_ASSERT_MESSAGE(document.dump(), !is_accepted(document));
        };
        refused_with([](auto& document) { document["routes"][0]["service"] = "unknown"; });
        refused_with([](auto& document) { document["routes"][1]["host"] = "fiti"; });
        refused_with([](auto& document) { document["routes"][0]["timeout-ms"] = 0; });
        refused_with([](auto& document) { document["routes"][0].erase("timeout-ms"); });
        refused_with([](auto& document) { document["routes"][0]["kind"] = "other"; });
        refused_with([](auto& document) { document["routes"][0]["timeout-ms"] = "1000"; });
        refused_with([](auto& document) { document["routes"] = 3; });
        refused_with([](auto& document) { document["services"][0].erase("name"); });
        refused_with([](auto& document) { document.erase("version"); });
        refused_with([](auto& document) { document["version"] = -1; });
    }
    static void a_truncated_document_is_refused() {
        const std::string complete = valid_document().dump();
        CPPUNIT_ASSERT(rc::check("no prefix is a document", [&complete] {
            const auto length = *rc::gen::inRange<std::size_t>(0, complete.size());
            RC_ASSERT(!platform::decode_configuration(complete.substr(0, length)));
        }));
    }
    static void the_highest_version_wins_in_any_order() {
        CPPUNIT_ASSERT(rc::check("the register ends at the largest version", [] {
            const auto versions = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 9)));
            document_register stored;
            std::uint64_t highest = 0;
            for (const std::uint64_t version : versions) {
                stored.apply(document_register::encode(document_version(version), std::to_string(version)));
                highest = std::max(highest, version);
                RC_ASSERT(stored.version() == document_version(highest));
            }
            RC_ASSERT(stored.bytes() == std::to_string(highest));
        }));
    }
    static void a_stored_version_keeps_its_bytes() {
        document_register stored;
        stored.apply(document_register::encode(document_version(5), "first"));
        stored.apply(document_register::encode(document_version(5), "second"));
        stored.apply(""); // An entry that the consensus layer itself appended.
        CPPUNIT_ASSERT_EQUAL(std::string("first"), stored.bytes());
    }
    static void a_report_with_missing_or_mistyped_fields_is_refused() {
        const auto complete = nlohmann::json::parse(
            R"({"service":"huvo","address":"10.128.0.9:8080","zone":"makati","version":"v1","capacity":3,"state":"ready",
                "cold-remaining-ms":0,"db-role":"replica","sequence":4,"born":1767225600000,"more":[1]})");
        CPPUNIT_ASSERT(platform::decode_report("i-1", complete.dump()));
        for (const char* field : {"service", "address", "zone", "capacity", "state", "db-role", "sequence"}) {
            nlohmann::json incomplete = complete;
            incomplete.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !platform::decode_report("i-1", incomplete.dump()));
            nlohmann::json mistyped = complete;
            mistyped[field] = nlohmann::json::array({field});
            CPPUNIT_ASSERT_MESSAGE(field, !platform::decode_report("i-1", mistyped.dump()));
        }
        CPPUNIT_ASSERT(!platform::decode_report("i-1", "\xff{}"));
    }
    // Accepted, such an entry would name an address that is none, keep later reports of the endpoint out, or
    // carry line breaks into messages to databases.
    static void odd_reports_of_other_writers_are_refused() {
        const auto complete = nlohmann::json::parse(
            R"({"service":"huvo","address":"10.128.0.9:8080","zone":"makati","capacity":3,"state":"ready",
                "db-role":"replica","sequence":4,"born":1767225600000})");
        const std::vector<std::pair<const char*, nlohmann::json>> odd_values{
            {"address", "10.128.0.9:0"},
            {"address", "10.128.0.9:65536"},
            {"address", "10.128.0.9:-1"},
            {"address", "10.128.0.9:99999999999999999999"},
            {"address", "10.128.0.9"},
            {"address", "nowhere:8080"},
            {"capacity", std::uint64_t{1} << 32U},
            {"capacity", -1},
            {"capacity", 2.5},
            {"capacity", 1e300},
            {"born", INT64_MAX},
            {"born", UINT64_MAX},
            {"born", 1.5},
            {"sequence", 1e300},
            {"zone", "makati\r\nQUERY"},
            {"zone", std::string(1U << 20U, 'z')},
            {"service", "huvo\r\n"},
            {"service", std::string(1U << 20U, 's')},
        };
        for (const auto& [field, value] : odd_values) {
            nlohmann::json odd = complete;
            odd[field] = value;
            CPPUNIT_ASSERT_MESSAGE(field + (" " + value.dump().substr(0, 40)),
                                   !platform::decode_report("i-1", odd.dump()));
        }
        for (const std::string& id :
             {std::string("i 1"), std::string("i-1\r\nQUERY"), std::string(4096, 'i')}) {
            CPPUNIT_ASSERT_MESSAGE(id.substr(0, 20), !platform::decode_report(id, complete.dump()));
        }
    }
    static void deeply_nested_documents_are_refused() {
        constexpr std::size_t levels = 100'000;
        const std::string arrays = std::string(levels, '[') + std::string(levels, ']');
        CPPUNIT_ASSERT(!platform::decode_report("i-1", R"({"service":)" + arrays + "}"));
        CPPUNIT_ASSERT(!platform::decode_report("i-1", std::string(levels, '[')));
        CPPUNIT_ASSERT(!platform::decode_configuration(R"({"version":1,"routes":)" + arrays + "}"));
        CPPUNIT_ASSERT(!platform::decode_start_time(arrays));
    }
    // A limit that is too large to represent means no limit, not a small or negative one.
    static void numbers_beyond_their_type_do_not_wrap() {
        nlohmann::json document = nlohmann::json::parse(
            R"({"version":1,"routes":[{"name":"r","host":"h","kind":"primary","service":"s"}],
                "services":[{"name":"s"}],"limits":{}})");
        document["routes"][0]["timeout-ms"] = UINT64_MAX;
        document["routes"][0]["priority"] = (std::uint64_t{1} << 32U) + 1;
        document["services"][0]["max-connections"] = std::uint64_t{1} << 32U;
        document["limits"]["tx-idle-ms"] = UINT64_MAX;
        const auto decoded = platform::decode_configuration(document.dump());
        CPPUNIT_ASSERT(decoded);
        const core::time_point now{std::chrono::hours(24 * 365 * 30)};
        CPPUNIT_ASSERT(now + decoded->m_routes[0].m_statement_timeout > now);
        CPPUNIT_ASSERT(now + decoded->m_transaction_idle_timeout > now);
        CPPUNIT_ASSERT(decoded->m_routes[0].m_priority > 1);
        CPPUNIT_ASSERT(decoded->m_services[0].m_max_connections > 1000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_configuration);

} // namespace
