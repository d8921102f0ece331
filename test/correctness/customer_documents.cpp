// Guards against a list of customers that is accepted although it is invalid or decoded incompletely, against
// error texts that show a key, and against a startup line whose key is read wrongly.
#include "platform/configuration_codec.h"
#include "platform/line_protocol.h"
#include "support/property_check.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <functional>
#include <string>
#include <vector>

using namespace mangoquay;
using nlohmann::json;

namespace {

const std::string first_key = "KEY-7f3a90c1";
const std::string second_key = "KEY-55d20be4";

json document_without_customers() {
    return json::parse(R"({"version":7,"routes":[
        {"host":"fiti","kind":"read_your_writes","timeout-ms":1000,"service":"huvo","max-staleness-ms":2500},
        {"host":"lepu","kind":"primary","timeout-ms":1000,"service":"huvo","public":true}],
        "services":[{"name":"huvo","max-connections":32,"sync-replicas":1}]})");
}

json customer(const std::string& name, const std::vector<std::string>& keys) {
    return {{"name", name}, {"api-keys", keys}, {"rate-per-s", 12.5}, {"burst", 7}, {"priority", 2}};
}

json valid_document() {
    json document = document_without_customers();
    document["tenants"] = {customer("acme", {first_key, "KEY-acme-two"}), customer("boro", {second_key})};
    return document;
}

std::string refusal_of(const std::string& bytes) {
    const auto decoded = platform::decode_configuration(bytes);
    return decoded ? std::string() : decoded.reason();
}

// Any six characters in a row tell most of a key that a person chose.
bool shows_part_of(const std::string& text, const std::string& key) {
    constexpr std::size_t part = 6;
    for (std::size_t begin = 0; begin + part <= key.size(); ++begin) {
        if (text.find(key.substr(begin, part)) != std::string::npos) {
            return true;
        }
    }
    return false;
}

struct invalid_document {
    std::string m_place; // Expected in the text of the refusal.
    std::function<void(json&)> m_change;
};

// Changes to the first customer of the list.
invalid_document wrong_member(const std::string& name, const json& value) {
    return {"tenants[0]." + name, [=](json& document) { document["tenants"][0][name] = value; }};
}

invalid_document missing_member(const std::string& name) {
    return {"tenants[0]." + name, [=](json& document) { document["tenants"][0].erase(name); }};
}

invalid_document wrong_key(const json& value) {
    return {"tenants[0].api-keys[1]", [=](json& document) { document["tenants"][0]["api-keys"][1] = value; }};
}

std::vector<invalid_document> invalid_documents() {
    std::vector<invalid_document> all{
        {"tenants", [](json& document) { document["tenants"] = 1; }},
        {"tenants", [](json& document) { document["tenants"] = nullptr; }},
        {"tenants[1]", [](json& document) { document["tenants"][1] = second_key; }},
        {"tenants[1].name", [](json& document) { document["tenants"][1]["name"] = "acme"; }},
        {"tenants[1].api-keys[1]",
         [](json& document) { document["tenants"][1]["api-keys"].push_back(first_key); }},
        missing_member("name"),
        missing_member("api-keys"),
        missing_member("rate-per-s"),
        missing_member("burst"),
        wrong_member("api-keys", first_key),
        wrong_member("priority", -1),
        wrong_member("priority", first_key)};
    const std::vector<std::string> no_fields{"", " ", "a b", "a\rb", "a\nb", std::string("a\0b", 3)};
    for (const std::string& text : no_fields) {
        all.push_back(wrong_member("name", text));
        all.push_back(wrong_key(text));
        all.push_back(wrong_key(std::string(first_key).append(text).append(" ").append(first_key)));
    }
    for (const json& value : std::vector<json>{nullptr, 5, true, json::array({first_key})}) {
        all.push_back(wrong_member("name", value));
        all.push_back(wrong_key(value));
    }
    for (const json& value : std::vector<json>{nullptr, -1, -0.5, "5", true, json::array()}) {
        all.push_back(wrong_member("rate-per-s", value));
        all.push_back(wrong_member("burst", value));
    }
    return all;
}

class customer_documents : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(customer_documents);
    CPPUNIT_TEST(a_valid_document_is_decoded_completely);
    CPPUNIT_TEST(customers_without_keys_and_keys_listed_twice_are_valid);
    CPPUNIT_TEST(invalid_documents_are_refused_and_the_place_is_named);
    CPPUNIT_TEST(a_document_without_customers_has_none);
    CPPUNIT_TEST(no_error_text_contains_a_key);
    CPPUNIT_TEST(the_key_of_a_startup_line_is_its_second_field);
    CPPUNIT_TEST(the_startup_line_of_a_database_names_the_customer);
    CPPUNIT_TEST_SUITE_END();

    static void a_valid_document_is_decoded_completely() {
        const auto decoded = platform::decode_configuration(valid_document().dump());
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(!decoded->find_route("fiti")->m_public);
        CPPUNIT_ASSERT(decoded->find_route("lepu")->m_public);
        CPPUNIT_ASSERT(decoded->m_customers.has_value());
        const documents::customer_directory& customers = *decoded->m_customers;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), customers.customers().size());
        const documents::customer_rule* acme = customers.find(core::customer_name("acme"));
        CPPUNIT_ASSERT(acme != nullptr);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12.5, acme->m_rate_per_s, 0.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, acme->m_burst, 0.0);
        CPPUNIT_ASSERT_EQUAL(2U, acme->m_priority);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), acme->m_keys.size());
        for (const std::string& key : {first_key, std::string("KEY-acme-two")}) {
            CPPUNIT_ASSERT(customers.find(documents::digest_of(key)) == acme);
        }
        const documents::customer_rule* boro = customers.find(documents::digest_of(second_key));
        CPPUNIT_ASSERT(boro != nullptr && boro->m_name == core::customer_name("boro"));
        CPPUNIT_ASSERT(customers.find(documents::digest_of("KEY-other")) == nullptr);
        CPPUNIT_ASSERT(customers.find(core::customer_name("other")) == nullptr);
    }

    static void customers_without_keys_and_keys_listed_twice_are_valid() {
        json document = valid_document();
        document["tenants"][0]["api-keys"] = json::array({first_key, first_key});
        document["tenants"][1]["api-keys"] = json::array();
        document["tenants"][1].erase("priority");
        document["tenants"][1]["rate-per-s"] = 0;
        document["tenants"][1]["burst"] = 0;
        const auto decoded = platform::decode_configuration(document.dump());
        CPPUNIT_ASSERT_MESSAGE(refusal_of(document.dump()), decoded);
        CPPUNIT_ASSERT(decoded->m_customers->find(documents::digest_of(first_key)) != nullptr);
        const documents::customer_rule* boro = decoded->m_customers->find(core::customer_name("boro"));
        CPPUNIT_ASSERT(boro != nullptr && boro->m_keys.empty());
        CPPUNIT_ASSERT_EQUAL(0U, boro->m_priority);
        document["tenants"] = json::array();
        const auto none = platform::decode_configuration(document.dump());
        CPPUNIT_ASSERT(none && none->m_customers && none->m_customers->customers().empty());
    }

    static void invalid_documents_are_refused_and_the_place_is_named() {
        for (const invalid_document& invalid : invalid_documents()) {
            json document = valid_document();
            invalid.m_change(document);
            const std::string reason = refusal_of(document.dump());
            CPPUNIT_ASSERT_MESSAGE(document.dump(), !reason.empty());
            CPPUNIT_ASSERT_MESSAGE(invalid.m_place + " is not in: " + reason,
                                   reason.find(invalid.m_place + " ") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(reason, !shows_part_of(reason, first_key));
            CPPUNIT_ASSERT_MESSAGE(reason, !shows_part_of(reason, second_key));
        }
        json document = valid_document();
        document["routes"][0]["public"] = "yes";
        CPPUNIT_ASSERT(!refusal_of(document.dump()).empty());
    }

    static void a_document_without_customers_has_none() {
        const auto decoded = platform::decode_configuration(document_without_customers().dump());
        CPPUNIT_ASSERT(decoded && !decoded->m_customers);
    }

    // Documents that are cut off, or in which bytes were changed, so that they are no JSON text any more.
    static void no_error_text_contains_a_key() {
        const auto property = [] {
            std::vector<std::string> keys;
            json document = document_without_customers();
            document["tenants"] = json::array();
            for (int number = 0; number < 3; ++number) {
                keys.push_back(
                    *rc::gen::container<std::string>(16, rc::gen::elementOf(std::string("KQXZ\"\\\xc3\xa9"
                                                                                        "7"))));
                document["tenants"].push_back(customer("c" + std::to_string(number), {keys.back()}));
            }
            std::string bytes = document.dump(-1, ' ', false, json::error_handler_t::replace);
            const auto changes = *rc::gen::inRange(0, 4);
            for (int change = 0; change < changes; ++change) {
                const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
                bytes[place] = *rc::gen::elementOf(std::string("\"{}[],:\\\n\0\xff ", 12));
            }
            if (*rc::gen::arbitrary<bool>()) {
                bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
            }
            const std::string reason = refusal_of(bytes);
            for (const std::string& key : keys) {
                RC_ASSERT(!shows_part_of(reason, key));
            }
        };
        CPPUNIT_ASSERT(test::meets_expectation(test::expectation::holds, property, 2000));
        for (std::size_t size = 0; size < valid_document().dump().size(); ++size) {
            const std::string reason = refusal_of(valid_document().dump().substr(0, size));
            CPPUNIT_ASSERT(!reason.empty());
            CPPUNIT_ASSERT_MESSAGE(reason, !shows_part_of(reason, first_key));
            CPPUNIT_ASSERT_MESSAGE(reason, !shows_part_of(reason, second_key));
        }
    }

    static void the_key_of_a_startup_line_is_its_second_field() {
        const auto decoded = [](const std::string& line) {
            std::size_t offset = 0;
            return platform::line_protocol().decode_caller_message(line, offset);
        };
        const auto with_key = decoded("STARTUP fiti " + first_key + "\r\n");
        CPPUNIT_ASSERT(with_key && with_key->m_kind == entry::message_kind::startup);
        CPPUNIT_ASSERT(with_key->m_database == "fiti");
        CPPUNIT_ASSERT(with_key->m_key == documents::digest_of(first_key));
        for (const char* line : {"STARTUP fiti\r\n", "STARTUP fiti \r\n"}) {
            const auto without_key = decoded(line);
            CPPUNIT_ASSERT(without_key && without_key->m_kind == entry::message_kind::startup);
            CPPUNIT_ASSERT(without_key->m_database == "fiti" && !without_key->m_key);
        }
    }

    static void the_startup_line_of_a_database_names_the_customer() {
        registry::endpoint_report report;
        report.m_id = core::endpoint_id("db-1");
        report.m_service = core::service_name("huvo");
        std::string out;
        platform::line_protocol().encode_startup(report, core::customer_name("acme"), out);
        platform::line_protocol().encode_startup(report, std::nullopt, out);
        CPPUNIT_ASSERT(out.starts_with("STARTUP huvo acme db-1"));
        CPPUNIT_ASSERT(out.find("STARTUP huvo mangoquay db-1") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(customer_documents);

} // namespace
