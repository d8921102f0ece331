// Formats and parses lines of a trace.
#include "traces/trace_line.h"

#include "control/codec.h"

#include <charconv>
#include <optional>

namespace mangoquay::traces {
namespace {

using parsed_line = core::result<trace_line>;

// Removes the first word from `text` and returns it.
std::string_view take_word(std::string_view& text) {
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

std::optional<core::revision> parse_revision(std::string_view word) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    if (error != std::errc{} || end != word.data() + word.size() || number == 0) {
        return std::nullopt;
    }
    return core::revision(number);
}

parsed_line parse_apply(core::revision at, std::string_view rest) {
    auto change = control::decode_command(rest);
    if (!change) {
        return parsed_line::failure("command: " + change.reason());
    }
    return trace_line{applied_command{at, std::move(*change)}};
}

parsed_line parse_outcome(core::revision at, std::string_view rest) {
    const std::string_view word = take_word(rest);
    if (word != "accepted" && word != "refused") {
        return parsed_line::failure("outcome: must be accepted or refused");
    }
    return trace_line{recorded_outcome{at, word == "accepted", std::string(rest)}};
}

parsed_line parse_expect(std::string_view rest) {
    const std::string pointer(take_word(rest));
    nlohmann::json value = nlohmann::json::parse(rest, nullptr, false);
    if (pointer.empty() || pointer.front() != '/' || value.is_discarded()) {
        return parsed_line::failure("expect: requires a JSON pointer and a JSON value");
    }
    return trace_line{expected_value{pointer, std::move(value)}};
}

} // namespace

std::string format_trace_line(const applied_command& line) {
    return "apply " + std::to_string(line.m_revision.value()) + " " + control::encode(line.m_command);
}

std::string format_trace_line(const recorded_outcome& line) {
    return "outcome " + std::to_string(line.m_revision.value()) +
           (line.m_accepted ? " accepted" : " refused " + line.m_reason);
}

core::result<trace_line> parse_trace_line(std::string_view text) {
    if (text.empty() || text.front() == '#') {
        return trace_line{comment_line{}};
    }
    const std::string_view kind = take_word(text);
    if (kind == "expect") {
        return parse_expect(text);
    }
    if (kind != "apply" && kind != "outcome") {
        return parsed_line::failure("unknown event: must be apply, outcome or expect");
    }
    const auto revision = parse_revision(take_word(text));
    if (!revision) {
        return parsed_line::failure("the revision is not a positive integer");
    }
    return kind == "apply" ? parse_apply(*revision, text) : parse_outcome(*revision, text);
}

} // namespace mangoquay::traces
