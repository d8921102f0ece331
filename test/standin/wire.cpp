// Encodes and decodes protocol messages.
#include "wire.h"

namespace mangoquay::standin {
namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::int32_t text_type_oid = 25;

void append_number(std::string& to, std::uint32_t value, int size) {
    for (int shift = (size - 1) * 8; shift >= 0; shift -= 8) {
        to.push_back(static_cast<char>(value >> static_cast<unsigned>(shift)));
    }
}

} // namespace

std::optional<message> take_message(std::string& buffer, bool startup) {
    const std::size_t type_bytes = startup ? 0 : 1;
    if (buffer.size() < type_bytes + length_bytes) {
        return std::nullopt;
    }
    const auto length = static_cast<std::uint32_t>(
        field_reader(std::string_view(buffer).substr(type_bytes, length_bytes)).int32());
    const std::size_t end = type_bytes + std::max<std::size_t>(length, length_bytes);
    if (buffer.size() < end) {
        return std::nullopt;
    }
    message received{startup ? '\0' : buffer.front(),
                     buffer.substr(type_bytes + length_bytes, end - type_bytes - length_bytes)};
    buffer.erase(0, end);
    return received;
}

std::uint32_t field_reader::number(std::size_t size) {
    std::uint32_t value = 0;
    for (const char part : bytes(size)) {
        value = (value << 8U) | static_cast<unsigned char>(part);
    }
    return value;
}

std::int16_t field_reader::int16() {
    return static_cast<std::int16_t>(number(2));
}

std::int32_t field_reader::int32() {
    return static_cast<std::int32_t>(number(length_bytes));
}

char field_reader::byte() {
    return static_cast<char>(number(1));
}

std::string field_reader::text() {
    const std::size_t end = std::min(m_rest.find('\0'), m_rest.size());
    std::string read(m_rest.substr(0, end));
    m_rest.remove_prefix(std::min(end + 1, m_rest.size()));
    return read;
}

std::string field_reader::bytes(std::size_t count) {
    std::string read(m_rest.substr(0, count));
    m_rest.remove_prefix(read.size());
    return read;
}

message_writer& message_writer::int16(std::int32_t value) {
    append_number(m_body, static_cast<std::uint32_t>(value), 2);
    return *this;
}

message_writer& message_writer::int32(std::int32_t value) {
    append_number(m_body, static_cast<std::uint32_t>(value), length_bytes);
    return *this;
}

message_writer& message_writer::byte(char value) {
    m_body.push_back(value);
    return *this;
}

message_writer& message_writer::text(std::string_view value) {
    m_body.append(value).push_back('\0');
    return *this;
}

message_writer& message_writer::bytes(std::string_view value) {
    m_body.append(value);
    return *this;
}

std::string message_writer::finish() const {
    std::string encoded(1, m_type);
    append_number(encoded, static_cast<std::uint32_t>(m_body.size() + length_bytes), length_bytes);
    return encoded + m_body;
}

std::string row_description(const std::vector<std::string>& columns) {
    message_writer writer('T');
    writer.int16(static_cast<std::int32_t>(columns.size()));
    for (const std::string& column : columns) {
        // Table, column number, type, type size (variable), type modifier, text format.
        writer.text(column).int32(0).int16(0).int32(text_type_oid).int16(-1).int32(-1).int16(0);
    }
    return writer.finish();
}

std::string data_row(const std::vector<core::cell>& row) {
    message_writer writer('D');
    writer.int16(static_cast<std::int32_t>(row.size()));
    for (const core::cell& cell : row) {
        if (cell) {
            writer.int32(static_cast<std::int32_t>(cell->size())).bytes(*cell);
        } else {
            writer.int32(-1);
        }
    }
    return writer.finish();
}

std::string error_response(std::string_view severity, std::string_view sqlstate, std::string_view text) {
    message_writer writer('E');
    writer.byte('S').text(severity).byte('V').text(severity).byte('C').text(sqlstate).byte('M').text(text);
    return writer.byte('\0').finish();
}

} // namespace mangoquay::standin
