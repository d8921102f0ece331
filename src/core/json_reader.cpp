// Typed access to the members of JSON objects.
#include "core/json_reader.h"

#include <algorithm>
#include <cctype>
#include <exception>

namespace mangoquay::core {
namespace {

constexpr std::size_t max_printed_bytes = 80;
// Settings and request bodies have at most four levels.
constexpr int max_nesting_depth = 32;

std::string printable_value(const nlohmann::json& value) {
    if (value.is_object()) {
        return "an object";
    }
    if (value.is_array()) {
        return "an array";
    }
    std::string text = value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_printed_bytes) {
        text = text.substr(0, max_printed_bytes) + "...";
    }
    return text;
}

std::string escape_pointer_token(std::string_view name) {
    std::string text;
    for (const char character : name) {
        if (character == '~') {
            text += "~0";
        } else if (character == '/') {
            text += "~1";
        } else {
            text += character;
        }
    }
    return text;
}

} // namespace

std::string describe_errors(const std::string& file, const std::vector<json_error>& errors) {
    std::string text;
    for (const json_error& error : errors) {
        text += (text.empty() ? "" : "\n") + file + ": " + to_string(error);
    }
    return text;
}

std::string to_string(const json_error& error) {
    return (error.m_pointer.empty() ? "/" : error.m_pointer) + ": found " + error.m_found +
           "; allowed: " + error.m_allowed;
}

bool is_identifier(std::string_view text) {
    const auto allowed = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= max_identifier_bytes && text != "." && text != ".." &&
           std::all_of(text.begin(), text.end(), allowed);
}

json_reader::json_reader(const nlohmann::json& object, std::string pointer, std::vector<json_error>& errors)
    : m_object(object), m_pointer(std::move(pointer)), m_errors(errors), m_is_object(object.is_object()) {
    if (!m_is_object) {
        m_errors.push_back({m_pointer, printable_value(object), "an object"});
    }
}

const nlohmann::json* json_reader::find(const char* name) {
    m_accessed_members.insert(name);
    if (!m_is_object) {
        return nullptr;
    }
    const auto found = m_object.find(name);
    return found == m_object.end() ? nullptr : &*found;
}

void json_reader::record(const char* name, const nlohmann::json& found, std::string allowed, bool hidden) {
    m_errors.push_back({m_pointer + "/" + escape_pointer_token(name),
                        hidden ? "a hidden value" : printable_value(found), std::move(allowed)});
}

std::optional<std::string> json_reader::text(const char* name, std::size_t max_bytes) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    // A NUL would end the text in C interfaces and so truncate an SQL statement.
    if (!value->is_string() || value->get_ref<const std::string&>().size() > max_bytes ||
        value->get_ref<const std::string&>().find('\0') != std::string::npos) {
        record(name, *value, "a text of at most " + std::to_string(max_bytes) + " bytes without NUL");
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::string> json_reader::secret(const char* name, std::size_t min_bytes) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().size() < min_bytes) {
        record(name, *value, "a text of at least " + std::to_string(min_bytes) + " bytes", true);
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::string> json_reader::identifier(const char* name) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_string() || !is_identifier(value->get_ref<const std::string&>())) {
        record(name, *value, "1 to 63 letters, digits, '-', '_' or '.'");
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::uint64_t> json_reader::integer(const char* name, std::uint64_t min, std::uint64_t max) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < min ||
        value->get<std::uint64_t>() > max) {
        record(name, *value, "an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

std::optional<double> json_reader::number(const char* name, double min, double max) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max) {
        record(name, *value, "a number from " + std::to_string(min) + " to " + std::to_string(max));
        return std::nullopt;
    }
    return value->get<double>();
}

std::optional<bool> json_reader::boolean(const char* name) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_boolean()) {
        record(name, *value, "true or false");
        return std::nullopt;
    }
    return value->get<bool>();
}

std::optional<std::size_t> json_reader::choice(const char* name, std::initializer_list<const char*> names) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    std::string allowed = "one of";
    std::size_t index = 0;
    for (const char* candidate : names) {
        if (value->is_string() && value->get_ref<const std::string&>() == candidate) {
            return index;
        }
        ++index;
        allowed += std::string(" \"") + candidate + "\"";
    }
    record(name, *value, std::move(allowed));
    return std::nullopt;
}

bool json_reader::array(const char* name, const element_reader& read) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_array()) {
        record(name, *value, "an array");
        return false;
    }
    std::size_t index = 0;
    for (const nlohmann::json& element : *value) {
        read(element, m_pointer + "/" + name + "/" + std::to_string(index++));
    }
    return true;
}

bool json_reader::object(const char* name, const element_reader& read) {
    const nlohmann::json* value = find(name);
    if (value == nullptr) {
        return false;
    }
    read(*value, m_pointer + "/" + name);
    return true;
}

std::optional<std::vector<std::string>> json_reader::identifiers(const char* name, bool wildcard) {
    std::vector<std::string> found;
    bool all_valid = true;
    const bool present = array(name, [&](const nlohmann::json& element, const std::string& pointer) {
        const bool usable = element.is_string() && (is_identifier(element.get_ref<const std::string&>()) ||
                                                    (wildcard && element == "*"));
        const bool repeated = std::find(found.begin(), found.end(), element) != found.end();
        if (!usable || repeated) {
            m_errors.push_back({pointer, printable_value(element),
                                std::string(repeated ? "no value twice"
                                                     : "1 to 63 letters, digits, '-', "
                                                       "'_' or '.'") +
                                    (wildcard ? ", or \"*\"" : "")});
            all_valid = false;
            return;
        }
        found.push_back(element.get<std::string>());
    });
    if (!present || !all_valid) {
        return std::nullopt;
    }
    return found;
}

bool json_reader::has(const char* name) const {
    return m_is_object && m_object.contains(name);
}

void json_reader::require(const char* name, std::string allowed) {
    m_accessed_members.insert(name);
    if (m_is_object && !has(name)) {
        m_errors.push_back({m_pointer + "/" + escape_pointer_token(name), "nothing", std::move(allowed)});
    }
}

void json_reader::add_error(const char* name, std::string allowed) {
    const nlohmann::json* value = find(name);
    record(name, value == nullptr ? nlohmann::json() : *value, std::move(allowed));
}

void json_reader::reject_unknown_members() {
    if (!m_is_object) {
        return;
    }
    std::string allowed = "only the members";
    for (const std::string& name : m_accessed_members) {
        allowed += " " + name;
    }
    for (const auto& [name, value] : m_object.items()) {
        if (!m_accessed_members.contains(name)) {
            record(name.substr(0, max_printed_bytes).c_str(), value, allowed, true);
        }
    }
}

std::optional<nlohmann::json> parse_json(std::string_view text, std::vector<json_error>& errors) {
    bool too_deep = false;
    const auto check_depth = [&too_deep](int depth, nlohmann::json::parse_event_t event, nlohmann::json&) {
        const bool opens = event == nlohmann::json::parse_event_t::object_start ||
                           event == nlohmann::json::parse_event_t::array_start;
        too_deep = too_deep || (opens && depth >= max_nesting_depth);
        return !too_deep;
    };
    try {
        nlohmann::json parsed = nlohmann::json::parse(text, check_depth);
        if (!too_deep) {
            return parsed;
        }
        errors.push_back({"", "deeper nesting", "at most 32 levels of nesting"});
    } catch (const nlohmann::json::parse_error& failure) {
        // The text of the exception quotes what was read last, which may be a secret.
        errors.push_back(
            {"", "a syntax error at byte " + std::to_string(failure.byte), "JSON text in UTF-8"});
    } catch (const std::exception&) {
        errors.push_back({"", "a value out of range", "JSON text in UTF-8"});
    }
    return std::nullopt;
}

} // namespace mangoquay::core
