// Fields of requests.
#include "support/protocol_reader.h"

#include <map>

namespace mangoquay::test {
namespace {

constexpr std::size_t max_line_bytes = 1U << 20U;

// Number of fields of each statement, of which the last one extends to the end of the line.
const std::map<std::string, std::size_t> statement_fields{
    {"BEGIN", 0},  {"COMMIT", 0},  {"ROLLBACK", 0}, {"READ", 1},      {"WRITE", 2},
    {"SET", 2},    {"PREPARE", 3}, {"EXECUTE", 2},  {"RESET", 0},     {"STATUS", 0},
    {"RESUME", 0}, {"PAUSE", 1},   {"STEPDOWN", 1}, {"DEALLOCATE", 1}};

} // namespace

std::vector<std::string> split_lines(const std::string& bytes) {
    std::vector<std::string> lines;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::size_t end = bytes.find("\r\n", at);
        if (end == std::string::npos) {
            return {};
        }
        lines.push_back(bytes.substr(at, end - at));
        at = end + 2;
    }
    return lines;
}

std::optional<std::vector<std::string>> split_fields(const std::string& line, std::size_t count) {
    std::vector<std::string> fields;
    std::size_t at = 0;
    for (std::size_t taken = 0; taken < count; ++taken) {
        const std::size_t blank = line.find(' ', at);
        if (blank == std::string::npos || blank == at) {
            return std::nullopt;
        }
        fields.push_back(line.substr(at, blank - at));
        at = blank + 1;
    }
    fields.push_back(line.substr(at));
    return fields;
}

std::optional<read_request> read_request_line(const std::string& line) {
    const auto outer = split_fields(line, 2);
    if (!outer || outer->at(0) != "QUERY" || line.size() > max_line_bytes) {
        return std::nullopt;
    }
    read_request request{.m_id = outer->at(1), .m_text = outer->at(2)};
    if (request.m_text.starts_with("AFTER ")) {
        const auto positioned = split_fields(request.m_text, 2);
        if (!positioned) {
            return std::nullopt;
        }
        request.m_after = positioned->at(1);
        request.m_text = positioned->at(2);
    }
    if (request.m_text == "BEGIN READ") {
        request.m_word = request.m_text;
        return request;
    }
    request.m_word = request.m_text.substr(0, request.m_text.find(' '));
    const auto expected = statement_fields.find(request.m_word);
    if (expected == statement_fields.end() || (expected->second == 0 && request.m_text != request.m_word)) {
        return std::nullopt;
    }
    const auto fields = split_fields(request.m_text, expected->second);
    if (!fields) {
        return std::nullopt;
    }
    request.m_fields.assign(fields->begin() + 1, fields->end());
    const bool has_access =
        request.m_word != "PREPARE" || request.m_fields.at(1) == "READ" || request.m_fields.at(1) == "WRITE";
    return has_access ? std::optional(request) : std::nullopt;
}

} // namespace mangoquay::test
