// Reads the members of a JSON object as typed values and collects all errors with their JSON pointers. Used
// for settings files and for request bodies, so that both report errors in the same form.
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
    std::string m_pointer; // JSON pointer (RFC 6901). Empty: the whole document.
    std::string m_found;   // Truncated. Containers are not printed, because printing recurses into them.
    std::string m_allowed; // Describes the values that are allowed.
};

// Returns one line: `/http_limits/connections: found 0; allowed: an integer from 1 to 100000`.
std::string to_string(const json_error& error);
// Returns one line per error. Each line begins with the name of the file.
std::string describe_errors(const std::string& file, const std::vector<json_error>& errors);

// Identifiers are used in file names, application names of database sessions and URL paths.
inline constexpr std::size_t max_identifier_bytes = 63;
// Accepts 1 to 63 letters, digits, '-', '_' and '.', but neither "." nor "..".
bool is_identifier(std::string_view text);

// reader.integer("port", 1, 65535) records an error and returns nothing if the member is not valid;
// json.at("port").get<int>() would throw on a wrong type and accept 1.5.
class json_reader {
public:
    // Errors are appended to `errors`. A value that is not an object is a single error. `object` and `errors`
    // must outlive the reader.
    json_reader(const nlohmann::json& object, std::string pointer, std::vector<json_error>& errors);

    // Each of these functions reads one member. If the member is invalid, it records an error and returns
    // nothing. If the member is absent, it returns nothing without an error; see require(). A null is a value
    // of a wrong type, not an absent member. Limits are inclusive; lengths are in bytes.
    std::optional<std::string> text(const char* name, std::size_t max_bytes = 4096);
    std::optional<std::string> secret(const char* name, std::size_t min_bytes); // Never printed in an error.
    std::optional<std::string> identifier(const char* name);
    std::optional<std::uint64_t> integer(const char* name, std::uint64_t min, std::uint64_t max);
    std::optional<double> number(const char* name, double min, double max);
    std::optional<bool> boolean(const char* name);
    // Returns the index of the value in `names`.
    std::optional<std::size_t> choice(const char* name, std::initializer_list<const char*> names);
    // Called with an element or object and its JSON pointer.
    using element_reader = std::function<void(const nlohmann::json&, const std::string& pointer)>;
    // Calls `read` for each element. Returns whether the member is an array.
    bool array(const char* name, const element_reader& read);
    // Calls `read` for the member, whose type is not checked. Returns whether the member is present.
    bool object(const char* name, const element_reader& read);
    // Reads an array of distinct identifiers. With `wildcard`, "*" is also allowed as an element.
    std::optional<std::vector<std::string>> identifiers(const char* name, bool wildcard = false);

    [[nodiscard]] bool has(const char* name) const;
    // Records an error if the member is absent.
    void require(const char* name, std::string allowed);
    // Records an error about the member's value.
    void add_error(const char* name, std::string allowed);
    // Records an error for each member that was not accessed by name before. To be called last.
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

// Parses a JSON text. On failure, appends an error, which contains no part of the text, and returns nothing.
// Rejects deep nesting, which could exhaust the stack.
std::optional<nlohmann::json> parse_json(std::string_view text, std::vector<json_error>& errors);

} // namespace mangoquay::core
