// Guards against texts of callers, databases and hosts that start a line of the log, end the quotes of their
// field or add a field, and against control characters that reach the log.
#include "core/log.h"
#include "core/quoting.h"
#include "support/protocol_texts.h"
#include "support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <easylogging++.h>
#include <rapidcheck.h>

#include <fstream>
#include <memory>
#include <random>
#include <sstream>

using namespace mangoquay;

namespace {

// Any bytes, or a text that the line protocol allows; half of them have parts of log lines.
std::string draw_text() {
    const auto random = std::make_shared<std::mt19937_64>(*rc::gen::arbitrary<std::uint32_t>());
    const test::draw_below draw = [random](std::uint64_t bound) { return (*random)() % bound; };
    std::string text = draw(2) == 0 ? test::draw_last_field(draw) : *rc::gen::arbitrary<std::string>();
    const std::vector<std::string> parts{"",         "\" age_ms=0 x=\"",      "\\",
                                         "\\\"",     "\r\n2026 INFO relay: ", "a b=",
                                         "\xc2\x85", "\xe2\x80\xa8",          "\xf0\x9f\x98\x80",
                                         "\x1b[2J"};
    text.insert(draw(text.size() + 1), parts.at(draw(parts.size())));
    return text;
}

// Reads a value as written by quoted() or word_or_quoted() and moves `rest` past it.
std::string take_value(std::string_view& rest) {
    std::string value;
    if (!rest.starts_with('"')) {
        value = rest.substr(0, rest.find(' '));
        rest.remove_prefix(value.size());
        return value;
    }
    std::size_t at = 1;
    while (rest.at(at) != '"') {
        if (rest.at(at) == '\\' && rest.at(at + 1) == 'x') {
            value += static_cast<char>(std::stoi(std::string(rest.substr(at + 2, 2)), nullptr, 16));
            at += 4;
        } else {
            at += rest.at(at) == '\\' ? 1 : 0;
            value += rest.at(at++);
        }
    }
    rest.remove_prefix(at + 1);
    return value;
}

std::string expected_value(const std::string& text) {
    return text.size() <= core::max_quoted_bytes ? text : text.substr(0, core::max_quoted_bytes);
}

bool has_control_byte(const std::string& text) {
    return std::ranges::any_of(text, [](unsigned char byte) { return byte < ' ' || byte == 0x7f; });
}

class log_field_boundaries : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_field_boundaries);
    CPPUNIT_TEST(text_keeps_to_its_field);
    CPPUNIT_TEST(texts_are_escaped_and_cut);
    CPPUNIT_TEST(a_call_writes_one_line_without_control_characters);
    CPPUNIT_TEST_SUITE_END();

    static void text_keeps_to_its_field() {
        CPPUNIT_ASSERT(rc::check("the fields read from a log line are those that were meant", [] {
            const std::string request = draw_text();
            const std::string reason = draw_text();
            const std::string line = core::to_single_line("sent request=" + core::word_or_quoted(request) +
                                                          " reason=" + core::quoted(reason) + " age_ms=7");
            RC_ASSERT(!has_control_byte(line));
            std::string_view rest = line;
            RC_ASSERT(rest.starts_with("sent request="));
            rest.remove_prefix(std::string_view("sent request=").size());
            const std::string read_request = take_value(rest);
            RC_ASSERT(read_request.starts_with(expected_value(request)));
            RC_ASSERT(rest.starts_with(" reason="));
            rest.remove_prefix(std::string_view(" reason=").size());
            const std::string read_reason = take_value(rest);
            RC_ASSERT(read_reason.starts_with(expected_value(reason)));
            RC_ASSERT(rest == " age_ms=7");
            RC_ASSERT(read_reason.size() <= core::max_quoted_bytes + 6); // A last character and "...".
        }));
    }

    static void texts_are_escaped_and_cut() {
        CPPUNIT_ASSERT_EQUAL(std::string(R"("say \"a\"\x0d")"), core::quoted("say \"a\"\r"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"("\xc2\x85\xff\x00é")"),
                             core::quoted(std::string("\xc2\x85\xff\0é", 6)));
        CPPUNIT_ASSERT_EQUAL(std::string("5c0e7a21-d9"), core::word_or_quoted("5c0e7a21-d9"));
        CPPUNIT_ASSERT_EQUAL(std::string(), core::word_or_quoted(""));
        CPPUNIT_ASSERT_EQUAL(std::string("\"a=b\""), core::word_or_quoted("a=b"));
        const std::string most(core::max_quoted_bytes, 'x');
        CPPUNIT_ASSERT_EQUAL("\"" + most + "...\"", core::quoted(most + "y"));
        CPPUNIT_ASSERT_EQUAL("\"" + most + "...\"", core::word_or_quoted(most + "y"));
    }

    static void a_call_writes_one_line_without_control_characters() {
        const test::temporary_folder folder;
        const std::string file = (folder.path() / "log").string();
        el::Logger* const logger = el::Loggers::getLogger("default");
        const el::Configurations before = *logger->configurations();
        el::Configurations configuration = before;
        configuration.setGlobally(el::ConfigurationType::Enabled, "true");
        configuration.setGlobally(el::ConfigurationType::ToFile, "true");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
        configuration.setGlobally(el::ConfigurationType::Filename, file);
        logger->configure(configuration);
        core::log_line(core::log_level::info, "relay",
                       std::string("a\rb\nc\x1b[2J\x7f\xc2\x85%level\0d", 20));
        logger->configure(before);
        std::ostringstream written;
        written << std::ifstream(file).rdbuf();
        CPPUNIT_ASSERT(written.str().ends_with("relay: a b c?[2J???%level?d\n"));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(1), std::ranges::count(written.str(), '\n'));
        CPPUNIT_ASSERT(!has_control_byte(written.str().substr(0, written.str().size() - 1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_field_boundaries);

} // namespace
