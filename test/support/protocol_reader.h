// Reads requests as a database does, by the page of the line protocol and independently of the codec.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mangoquay::test {

// The lines of `bytes` without their ends. Empty if the last line is not complete.
std::vector<std::string> split_lines(const std::string& bytes);

// The first `count` fields of the line and what follows them, which is the last field. Empty if there are
// fewer.
std::optional<std::vector<std::string>> split_fields(const std::string& line, std::size_t count);

struct read_request {
    std::string m_id;
    std::string m_after; // The position; empty if there is none.
    std::string m_text;  // Without the position.
    std::string m_word;
    std::vector<std::string> m_fields; // Of the text, without its word.
};

// Empty if a database rejects the line.
std::optional<read_request> read_request_line(const std::string& line);

} // namespace mangoquay::test
