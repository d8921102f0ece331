// Splits texts into characters of UTF-8 and escapes those that are not printable.
#include "core/quoting.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace mangoquay::core {
namespace {

// What precedes the payload of the first byte, and the least code point, of a character of 1 to 4 bytes.
struct utf8_form {
    std::uint32_t m_lead_mask;
    std::uint32_t m_lead;
    std::uint32_t m_min_code_point;
};

constexpr std::array<utf8_form, 4> utf8_forms{
    {{0x80, 0x00, 0x00}, {0xe0, 0xc0, 0x80}, {0xf0, 0xe0, 0x800}, {0xf8, 0xf0, 0x10000}}};

bool is_printable(std::uint32_t code_point) {
    const bool is_control = code_point < 0x20 || (code_point >= 0x7f && code_point < 0xa0);
    // Line and paragraph separators, marks that change the direction of what follows, and the byte order
    // mark.
    const bool changes_line = (code_point >= 0x2028 && code_point <= 0x202e) ||
                              (code_point >= 0x2066 && code_point <= 0x2069) ||
                              (code_point >= 0x200b && code_point <= 0x200f) || code_point == 0xfeff;
    const bool is_surrogate = code_point >= 0xd800 && code_point <= 0xdfff;
    return !is_control && !changes_line && !is_surrogate && code_point <= 0x10ffff;
}

// Returns the number of bytes of the printable character at the front of `text`; 0 if there is none.
std::size_t printable_size(std::string_view text) {
    const auto byte_at = [text](std::size_t index) { return static_cast<unsigned char>(text[index]); };
    for (std::size_t size = 1; size <= utf8_forms.size() && size <= text.size(); ++size) {
        const utf8_form& form = utf8_forms.at(size - 1);
        if ((byte_at(0) & form.m_lead_mask) != form.m_lead) {
            continue;
        }
        std::uint32_t code_point = byte_at(0) & ~form.m_lead_mask & 0xffU;
        for (std::size_t index = 1; index < size; ++index) {
            if ((byte_at(index) & 0xc0U) != 0x80U) {
                return 0;
            }
            code_point = code_point << 6U | (byte_at(index) & 0x3fU);
        }
        return code_point >= form.m_min_code_point && is_printable(code_point) ? size : 0;
    }
    return 0;
}

std::string escaped_byte(char byte) {
    constexpr std::string_view digits = "0123456789abcdef";
    const auto value = static_cast<unsigned char>(byte);
    return std::string("\\x") + digits[value >> 4U] + digits[value & 0xfU];
}

} // namespace

std::string quoted(std::string_view text) {
    std::string result = "\"";
    std::size_t offset = 0;
    while (offset < text.size() && offset < max_quoted_bytes) {
        const std::size_t size = printable_size(text.substr(offset));
        if (size == 0) {
            result += escaped_byte(text[offset++]);
            continue;
        }
        if (text[offset] == '"' || text[offset] == '\\') {
            result += '\\';
        }
        result += text.substr(offset, size);
        offset += size;
    }
    return result + (offset < text.size() ? "...\"" : "\"");
}

std::string word_or_quoted(std::string_view text) {
    const auto is_word_character = [](char character) {
        constexpr std::string_view others = "-_.:/#*+@";
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || others.find(character) != std::string_view::npos;
    };
    const bool is_word = text.size() <= max_quoted_bytes && std::ranges::all_of(text, is_word_character);
    return is_word ? std::string(text) : quoted(text);
}

std::string to_single_line(std::string_view text) {
    constexpr std::string_view line_breaks = "\r\n\t";
    std::string line;
    line.reserve(text.size());
    for (std::size_t offset = 0; offset < text.size();) {
        const std::size_t size = printable_size(text.substr(offset));
        if (size == 0) {
            line += line_breaks.find(text[offset]) != std::string_view::npos ? ' ' : '?';
        } else {
            line += text.substr(offset, size);
        }
        offset += std::max<std::size_t>(size, 1);
    }
    return line;
}

} // namespace mangoquay::core
