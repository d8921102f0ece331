// JSON encoding and decoding. A writer and a strict reader visit the members that describe() lists.
#include "control/codec.h"

#include "control/codec_members.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>
#include <type_traits>

namespace mangoquay::control {
namespace {

using nlohmann::json;

template <class T>
struct is_strong : std::false_type {};
template <class Tag, class Value>
struct is_strong<core::strong_value<Tag, Value>> : std::true_type {};
template <class T>
struct is_map : std::false_type {};
template <class K, class V>
struct is_map<std::map<K, V>> : std::true_type {};
template <class T>
struct is_list : std::false_type {};
template <class V>
struct is_list<std::vector<V>> : std::true_type {};
template <class V>
struct is_list<std::set<V>> : std::true_type {};

std::string key_text(const std::string& key) {
    return key;
}
std::string key_text(std::uint32_t key) {
    return std::to_string(key);
}

class writer {
public:
    template <class T>
    void operator()(const char* name, T& value) {
        m_object[name] = encoded(value);
    }

    template <class T>
    static json encoded(const T& value) {
        if constexpr (is_strong<T>::value) {
            return value.value();
        } else if constexpr (std::is_enum_v<T>) {
            return enum_names(value).at(static_cast<std::size_t>(value));
        } else if constexpr (std::is_same_v<T, std::string> || std::is_arithmetic_v<T>) {
            return value;
        } else if constexpr (is_map<T>::value) {
            return encoded_map(value);
        } else if constexpr (is_list<T>::value) {
            json list = json::array();
            for (const auto& element : value) {
                list.push_back(encoded(element));
            }
            return list;
        } else {
            writer nested;
            // describe() is used for reading too and therefore takes a mutable reference. The writer does not
            // modify the value.
            describe(nested, const_cast<T&>(value));
            return std::move(nested.m_object);
        }
    }

private:
    // A composite key cannot be a JSON member name, so such a map is encoded as an array of {key, value}.
    template <class K, class V>
    static json encoded_map(const std::map<K, V>& values) {
        json object = is_strong<K>::value ? json::object() : json::array();
        for (const auto& [key, value] : values) {
            if constexpr (is_strong<K>::value) {
                object[key_text(key.value())] = encoded(value);
            } else {
                object.push_back({{"key", encoded(key)}, {"value", encoded(value)}});
            }
        }
        return object;
    }

    json m_object = json::object();
};

// Records the first error and reads nothing after it.
class reader {
public:
    explicit reader(const json& object, std::string path, std::string& error)
        : m_object(object), m_path(std::move(path)), m_error(error) {
        if (!object.is_object()) {
            fail(m_path, "must be an object");
        }
    }

    template <class T>
    void operator()(const char* name, T& value) {
        ++m_member_count;
        if (!m_error.empty()) {
            return;
        }
        const auto found = m_object.find(name);
        if (found == m_object.end()) {
            fail(m_path + "/" + name, "is missing");
            return;
        }
        read(*found, m_path + "/" + name, value);
    }

    // Called after describe(), when every known member has been counted. A larger object has unknown members.
    template <class T>
    void reject_unknown(T& value) {
        if (m_error.empty() && m_object.size() != m_member_count) {
            writer known;
            describe(known, value);
            const json names = writer::encoded(value);
            for (const auto& [name, unused] : m_object.items()) {
                if (!names.contains(name)) {
                    fail(m_path + "/" + name, "is not a known member");
                }
            }
        }
    }

    template <class T>
    void read(const json& source, const std::string& path, T& value) {
        if constexpr (is_strong<T>::value) {
            typename T::value_type plain{};
            read(source, path, plain);
            value = T{std::move(plain)};
        } else if constexpr (std::is_enum_v<T>) {
            read_enum(source, path, value);
        } else if constexpr (std::is_same_v<T, bool>) {
            read_plain(source, path, source.is_boolean(), "must be true or false", value);
        } else if constexpr (std::is_arithmetic_v<T>) {
            read_number(source, path, value);
        } else if constexpr (std::is_same_v<T, std::string>) {
            read_plain(source, path, source.is_string(), "must be a string", value);
        } else if constexpr (is_map<T>::value) {
            read_map(source, path, value);
        } else if constexpr (is_list<T>::value) {
            read_list(source, path, value);
        } else {
            reader nested(source, path, m_error);
            describe(nested, value);
            nested.reject_unknown(value);
        }
    }

private:
    void fail(const std::string& path, const std::string& message) {
        if (m_error.empty()) {
            m_error = (path.empty() ? "document" : path) + ": " + message;
        }
    }

    template <class T>
    void read_plain(const json& source, const std::string& path, bool is_valid, const char* expectation,
                    T& value) {
        if (!is_valid) {
            fail(path, expectation);
            return;
        }
        value = source.get<T>();
    }

    template <class T>
    void read_number(const json& source, const std::string& path, T& value) {
        if (!source.is_number_unsigned() || source.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
            fail(path, "must be an integer from 0 to " + std::to_string(std::numeric_limits<T>::max()));
            return;
        }
        value = source.get<T>();
    }

    template <class T>
    void read_enum(const json& source, const std::string& path, T& value) {
        const auto& names = enum_names(value);
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (source.is_string() && source.get_ref<const std::string&>() == names.at(index)) {
                value = static_cast<T>(index);
                return;
            }
        }
        fail(path, "is not one of the allowed names");
    }

    template <class T>
    void read_list(const json& source, const std::string& path, T& list) {
        if (!source.is_array()) {
            fail(path, "must be a list");
            return;
        }
        for (std::size_t index = 0; index < source.size() && m_error.empty(); ++index) {
            typename T::value_type element{};
            read(source[index], path + "/" + std::to_string(index), element);
            list.insert(list.end(), std::move(element));
        }
    }

    template <class K, class V>
    void read_map(const json& source, const std::string& path, std::map<K, V>& values) {
        if constexpr (is_strong<K>::value) {
            if (!source.is_object()) {
                fail(path, "must be an object");
                return;
            }
            for (const auto& [name, element] : source.items()) {
                typename K::value_type key{};
                read_key(name, path, key);
                std::string element_path = path;
                element_path.append("/").append(name);
                read(element, element_path, values[K{key}]);
            }
        } else {
            if (!source.is_array()) {
                fail(path, "must be a list");
                return;
            }
            for (std::size_t index = 0; index < source.size() && m_error.empty(); ++index) {
                read_pair(source[index], path + "/" + std::to_string(index), values);
            }
        }
    }

    template <class K, class V>
    void read_pair(const json& source, const std::string& path, std::map<K, V>& values) {
        K key{};
        V value{};
        reader pair(source, path, m_error);
        pair("key", key);
        pair("value", value);
        if (m_error.empty() && source.size() != 2) {
            fail(path, "has an unknown member");
        }
        values[key] = std::move(value);
    }

    static void read_key(const std::string& name, const std::string&, std::string& key) { key = name; }

    void read_key(const std::string& name, const std::string& path, std::uint32_t& key) {
        const auto* const end = name.data() + name.size();
        const auto parsed = std::from_chars(name.data(), end, key);
        if (parsed.ec != std::errc{} || parsed.ptr != end) {
            fail(path + "/" + name, "must have a number as its name");
        }
    }

    const json& m_object;
    std::string m_path;
    std::string& m_error;
    std::size_t m_member_count = 0;
};

// Replaces invalid UTF-8. All hosts still get the same state, because the text is what is committed.
std::string serialize(const json& document) {
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <std::size_t Index = 0>
core::result<command> decode_alternative(const std::string& name, const json& body) {
    if constexpr (Index < std::variant_size_v<command>) {
        if (name != command_names.at(Index)) {
            return decode_alternative<Index + 1>(name, body);
        }
        std::variant_alternative_t<Index, command> change;
        std::string error;
        reader(json::object(), "", error).read(body, "/" + name, change);
        return error.empty() ? core::result<command>(command(change)) : core::result<command>::failure(error);
    } else {
        return core::result<command>::failure("/" + name + ": is not a known command");
    }
}

} // namespace

std::string encode(const command& change) {
    json document;
    document[command_names.at(change.index())] =
        std::visit([](const auto& typed) { return writer::encoded(typed); }, change);
    return serialize(document);
}

core::result<command> decode_command(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return core::result<command>::failure("document: is not valid JSON");
    }
    if (!document.is_object() || document.size() != 1) {
        return core::result<command>::failure("document: must be an object with one member, the command");
    }
    return decode_alternative(document.begin().key(), document.begin().value());
}

std::string encode(const control_state& state) {
    return serialize(writer::encoded(state));
}

core::result<control_state> decode_state(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return core::result<control_state>::failure("document: is not valid JSON");
    }
    control_state state;
    std::string error;
    reader(json::object(), "", error).read(document, "", state);
    return error.empty() ? core::result<control_state>(std::move(state))
                         : core::result<control_state>::failure(error);
}

} // namespace mangoquay::control
