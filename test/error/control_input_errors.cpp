// Guards against changes that are refused without naming every error, and against log entries or snapshots
// that are accepted although a member is missing, unknown or out of range.
#include "control/apply.h"
#include "control/codec.h"
#include "presets/checks.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace mangoquay::control;

class control_input_errors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(control_input_errors);
    CPPUNIT_TEST(all_errors_of_a_change_are_returned);
    CPPUNIT_TEST(business_days_must_be_calendar_dates);
    CPPUNIT_TEST(decoding_error_names_path_and_expectation);
    CPPUNIT_TEST_SUITE_END();

    static void expect(const std::string& text, const std::string& reason) {
        const auto decoded = decode_command(text);
        CPPUNIT_ASSERT(!decoded);
        CPPUNIT_ASSERT_EQUAL(reason, decoded.reason());
    }

public:
    void all_errors_of_a_change_are_returned() {
        preset_record preset;
        preset.m_queue_bound_per_slot = 0;
        preset.m_retry_budget_percent = 101;
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             presets::validate_preset(core::preset_name{"nightly"}, preset).size());
        service_record service;
        service.m_groups = {core::group_id{"g"}, core::group_id{"g"}, core::group_id{""}};
        service.m_default_deadline_ms = 0;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{5},
            presets::validate_service(initial_state(), core::service_name{""}, service).size());
        for (const auto& [name, record] : initial_state().m_presets) {
            CPPUNIT_ASSERT(presets::validate_preset(name, record).empty());
        }
    }

    void business_days_must_be_calendar_dates() {
        CPPUNIT_ASSERT(presets::is_calendar_day(core::business_day{"2028-02-29"}));
        for (const char* text : {"2026-02-29", "2026-13-01", "2026-1-01", "2026-01-0x", "", "2026-01-011"}) {
            CPPUNIT_ASSERT(!presets::is_calendar_day(core::business_day{text}));
        }
    }

    void decoding_error_names_path_and_expectation() {
        expect("{", "document: is not valid JSON");
        expect("[]", "document: must be an object with one member, the command");
        expect(R"({"promote":{}})", "/promote: is not a known command");
        expect(R"({"expire_endpoint":{}})", "/expire_endpoint/endpoint: is missing");
        expect(R"({"expire_endpoint":{"endpoint":1}})", "/expire_endpoint/endpoint: must be a string");
        expect(R"({"expire_endpoint":{"endpoint":"e","x":1}})", "/expire_endpoint/x: is not a known member");
        expect(R"({"begin_promotion":{"group":"g","term":4294967296}})",
               "/begin_promotion/term: must be an integer from 0 to 4294967295");
        expect(R"({"begin_promotion":{"group":"g","term":-1}})",
               "/begin_promotion/term: must be an integer from 0 to 4294967295");
        CPPUNIT_ASSERT(!decode_state("{}"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_input_errors);
