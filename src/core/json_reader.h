// Reads the members of one JSON object into typed values and collects every error with its JSON pointer.
// Used for settings files and for request bodies, so both refuse unknown members in the same words.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::core {

struct json_error {
    std::string m_pointer; // RFC 6901; empty: the whole document
    std::string m_found;   // shortened; containers are not printed, because printing recurses into them
    std::string m_allowed;
};

// One line: `/http_limits/connections: found 0; allowed: an integer from 1 to 100000`.
std::string to_string(const json_error& error);
// A line for each error, each beginning with the name of the file.
std::string describe_errors(const std::string& file, const std::vector<json_error>& errors);

// Ids are used in file names, application names of database sessions and URL paths.
inline constexpr std::size_t max_identifier_bytes = 63;
bool is_identifier(std::string_view text);

// Not: json.at("port").get<int>(), which throws on a wrong type and accepts 1.5.
// But: reader.integer("port", 1, 65535), which records an error and returns nothing.
class json_reader {
public:
    // Errors of members are appended to `errors`. A document that is not an object is one error.
    json_reader(const nlohmann::json& object, std::string pointer, std::vector<json_error>& errors);

    // An absent member gives nothing without an error, unless required() is asked for it. A null is absent
    // only where nullable.
    std::optional<std::string> text(const char* name, std::size_t max_bytes = 4096);
    std::optional<std::string> secret(const char* name, std::size_t min_bytes); // never printed in an error
    std::optional<std::string> identifier(const char* name);
    std::optional<std::uint64_t> integer(const char* name, std::uint64_t min, std::uint64_t max);
    std::optional<double> number(const char* name, double min, double max);
    std::optional<bool> boolean(const char* name);
    // The index of the value in `names`.
    std::optional<std::size_t> choice(const char* name, std::initializer_list<const char*> names);
    // Calls `read` with each element and its pointer.
    using element_reader = std::function<void(const nlohmann::json&, const std::string& pointer)>;
    bool array(const char* name, const element_reader& read);
    bool object(const char* name, const element_reader& read);
    // An array of distinct identifiers; "*" is one of them when `wildcard`.
    std::optional<std::vector<std::string>> identifiers(const char* name, bool wildcard = false);

    [[nodiscard]] bool has(const char* name) const;
    // Records an error when the member is absent.
    void require(const char* name, std::string allowed);
    void add_error(const char* name, std::string allowed);
    // Records an error for each member that was never asked for. Call last.
    void reject_unknown_members();

    [[nodiscard]] const std::string& pointer() const { return m_pointer; }

private:
    const nlohmann::json* find(const char* name);
    void record(const char* name, const nlohmann::json& found, std::string allowed, bool hidden = false);

    const nlohmann::json& m_object;
    std::string m_pointer;
    std::vector<json_error>& m_errors;
    bool m_is_object;
    std::set<std::string, std::less<>> m_accessed_members;
};

// Parses a text; too deep nesting is refused before it can exhaust a stack. Nothing and an error otherwise.
std::optional<nlohmann::json> parse_json(std::string_view text, std::vector<json_error>& errors);

} // namespace mangoquay::core
