// Guards against changes of the rules of the control state that decide a recorded history differently, and
// against a replay that misses a deviation or crashes on a corrupted trace.
#include "traces/trace_replay.h"
#include "traces/trace_recorder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace mangoquay;

namespace {

const std::filesystem::path folder = std::filesystem::path(__FILE__).parent_path() / "../traces";

traces::replay_report replay_text(const std::string& text) {
    std::istringstream trace(text);
    return traces::replay_trace(trace);
}

std::string read_trace(const std::string& name) {
    std::ifstream file(folder / name);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

class trace_replay : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(trace_replay);
    CPPUNIT_TEST(replay_of_recorded_faults_reproduces_every_outcome);
    CPPUNIT_TEST(changed_outcome_is_reported);
    CPPUNIT_TEST(random_lines_do_not_crash_the_replay);
    CPPUNIT_TEST_SUITE_END();

public:
    void replay_of_recorded_faults_reproduces_every_outcome() {
        const auto report = replay_text(read_trace("demo_faults.trace"));
        const std::string first = report.m_deviations.empty() ? "" : report.m_deviations.front();
        CPPUNIT_ASSERT_EQUAL(std::string(), first);
        CPPUNIT_ASSERT(report.m_command_count > 30 && report.m_check_count > report.m_command_count);
    }

    void changed_outcome_is_reported() {
        std::string text = read_trace("demo_faults.trace");
        const auto at = text.find(" accepted");
        CPPUNIT_ASSERT(at != std::string::npos);
        CPPUNIT_ASSERT(!replay_text(text.replace(at, 9, " refused invalid_change")).m_deviations.empty());
        CPPUNIT_ASSERT(!replay_text("expect /services/none/preset \"peak\"\n").m_deviations.empty());
    }

    void random_lines_do_not_crash_the_replay() {
        CPPUNIT_ASSERT(rc::check("random trace lines", [](const std::string& text) {
            for (const char* kind : {"", "apply 1 ", "outcome 1 ", "expect /"}) {
                replay_text(kind + text);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_replay);
