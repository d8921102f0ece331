// The operator's configuration: what is invalid is refused as a whole, the highest version wins in any order,
// and a version's bytes never change once they are stored.
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

bool accepted(const nlohmann::json& document) {
    return static_cast<bool>(platform::decode_configuration(document.dump()));
}

class platform_configuration : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_configuration);
    CPPUNIT_TEST(a_valid_document_is_read_in_full);
    CPPUNIT_TEST(invalid_documents_are_refused);
    CPPUNIT_TEST(a_cut_document_is_refused);
    CPPUNIT_TEST(the_highest_version_wins_in_any_order);
    CPPUNIT_TEST(a_stored_version_keeps_its_bytes);
    CPPUNIT_TEST(a_report_with_missing_or_foreign_fields_names_nothing);
    CPPUNIT_TEST_SUITE_END();

    static void a_valid_document_is_read_in_full() {
        const auto read = platform::decode_configuration(valid_document().dump());
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(read->m_version == document_version(7));
        const documents::route_rule* route = read->find_route("fiti");
        CPPUNIT_ASSERT(route != nullptr && route->m_consistency == documents::consistency::read_your_writes);
        CPPUNIT_ASSERT(route->m_max_age == core::milliseconds(2500));
        CPPUNIT_ASSERT_EQUAL(1U, read->find_service(core::service_name("huvo"))->m_synchronous_replicas);
        CPPUNIT_ASSERT(read->m_transaction_idle_timeout == core::milliseconds(3000));
    }
    static void invalid_documents_are_refused() {
        const auto refused_with = [](auto change) {
            nlohmann::json document = valid_document();
            change(document);
            CPPUNIT_ASSERT_MESSAGE(document.dump(), !accepted(document));
        };
        refused_with([](auto& one) { one["routes"][0]["service"] = "unknown"; });
        refused_with([](auto& one) { one["routes"][1]["host"] = "fiti"; });
        refused_with([](auto& one) { one["routes"][0]["timeout-ms"] = 0; });
        refused_with([](auto& one) { one["routes"][0].erase("timeout-ms"); });
        refused_with([](auto& one) { one["routes"][0]["kind"] = "other"; });
        refused_with([](auto& one) { one["routes"][0]["timeout-ms"] = "1000"; });
        refused_with([](auto& one) { one["routes"] = 3; });
        refused_with([](auto& one) { one["services"][0].erase("name"); });
        refused_with([](auto& one) { one.erase("version"); });
        refused_with([](auto& one) { one["version"] = -1; });
    }
    static void a_cut_document_is_refused() {
        const std::string whole = valid_document().dump();
        CPPUNIT_ASSERT(rc::check("no prefix is a document", [&whole] {
            const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
            RC_ASSERT(!platform::decode_configuration(whole.substr(0, length)));
        }));
    }
    static void the_highest_version_wins_in_any_order() {
        CPPUNIT_ASSERT(rc::check("the register ends at the largest version", [] {
            const auto versions = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 9)));
            document_register stored;
            std::uint64_t largest = 0;
            for (const std::uint64_t version : versions) {
                stored.apply(document_register::encode(document_version(version), std::to_string(version)));
                largest = std::max(largest, version);
                RC_ASSERT(stored.version() == document_version(largest));
            }
            RC_ASSERT(stored.bytes() == std::to_string(largest));
        }));
    }
    static void a_stored_version_keeps_its_bytes() {
        document_register stored;
        stored.apply(document_register::encode(document_version(5), "first"));
        stored.apply(document_register::encode(document_version(5), "second"));
        stored.apply(""); // an entry of the consensus slice itself
        CPPUNIT_ASSERT_EQUAL(std::string("first"), stored.bytes());
    }
    static void a_report_with_missing_or_foreign_fields_names_nothing() {
        const auto whole = nlohmann::json::parse(
            R"({"service":"huvo","address":"10.128.0.9:8080","zone":"makati","version":"v1","capacity":3,"state":"ready",
                "cold-remaining-ms":0,"db-role":"replica","sequence":4,"born":1767225600000,"more":[1]})");
        CPPUNIT_ASSERT(platform::decode_report("i-1", whole.dump()));
        for (const char* field : {"service", "address", "zone", "capacity", "state", "db-role", "sequence"}) {
            nlohmann::json lacking = whole;
            lacking.erase(field);
            CPPUNIT_ASSERT_MESSAGE(field, !platform::decode_report("i-1", lacking.dump()));
            nlohmann::json foreign = whole;
            foreign[field] = nlohmann::json::array({field});
            CPPUNIT_ASSERT_MESSAGE(field, !platform::decode_report("i-1", foreign.dump()));
        }
        CPPUNIT_ASSERT(!platform::decode_report("i-1", "\xff{}"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_configuration);

} // namespace
