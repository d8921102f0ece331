// Messages of the PostgreSQL frontend/backend protocol, version 3.0.
#pragma once

#include "core/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangoquay::standin {

inline constexpr std::int32_t protocol_3_0 = 196608;
inline constexpr std::int32_t cancel_request = 80877102;
inline constexpr std::int32_t ssl_request = 80877103;
inline constexpr std::int32_t gss_request = 80877104;

struct message {
    char m_type = 0; // 0: a start-up message, which has no type byte.
    std::string m_body;
};

// Removes and returns the first complete message of `buffer`; nullopt while more bytes are needed. `startup`
// states whether the start-up message, which has no type byte, is expected.
std::optional<message> take_message(std::string& buffer, bool startup);

// Reads the fields of a message body in network byte order. Past its end, every field is empty or 0.
class field_reader {
public:
    explicit field_reader(std::string_view body) : m_rest(body) {}

    std::int16_t int16();
    std::int32_t int32();
    char byte();
    std::string text();
    std::string bytes(std::size_t count);
    [[nodiscard]] bool at_end() const { return m_rest.empty(); }

private:
    std::uint32_t number(std::size_t size);

    std::string_view m_rest;
};

// Builds one message in network byte order.
class message_writer {
public:
    explicit message_writer(char type) : m_type(type) {}

    message_writer& int16(std::int32_t value);
    message_writer& int32(std::int32_t value);
    message_writer& byte(char value);
    message_writer& text(std::string_view value);
    message_writer& bytes(std::string_view value);
    [[nodiscard]] std::string finish() const;

private:
    char m_type;
    std::string m_body;
};

std::string row_description(const std::vector<std::string>& columns);
std::string data_row(const std::vector<core::cell>& row);
std::string error_response(std::string_view severity, std::string_view sqlstate, std::string_view text);

} // namespace mangoquay::standin
