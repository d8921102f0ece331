// Draws fields of the line protocol.
#include "support/protocol_texts.h"

#include <array>
#include <string_view>

namespace mangoquay::test {
namespace {

constexpr std::array<std::string_view, 40> words{
    "READ",     "WRITE", "PREPARE", "EXECUTE",  "DEALLOCATE", "SET",    "BEGIN",   "COMMIT",
    "ROLLBACK", "AFTER", "RESET",   "STATUS",   "PAUSE",      "QUERY",  "STARTUP", "TERMINATE",
    "READY",    "ROW",   "ERROR",   "COMPLETE", "at",         "q",      "q1",      "q2a",
    "p1",       "p2",    "r_q1",    "w_q1",     "s1",         "-",      "1.2",     "4294967295.1",
    "0",        "I",     "T",       "\"x=1\"",  "a\\n",       "%20%0a", "\t",      "\xc3\xa9\xff\x80"};

// Every byte but blank, CR, LF and NUL.
char draw_byte(const draw_below& draw) {
    for (;;) {
        const char byte = static_cast<char>(static_cast<unsigned char>(1 + draw(255)));
        if (byte != ' ' && byte != '\r' && byte != '\n') {
            return byte;
        }
    }
}

} // namespace

std::string draw_field(const draw_below& draw) {
    if (draw(4) != 0) {
        return std::string(words.at(draw(words.size())));
    }
    std::string field;
    for (std::uint64_t length = 1 + draw(12); length > 0; --length) {
        field += draw_byte(draw);
    }
    return field;
}

std::string draw_last_field(const draw_below& draw, std::size_t max_bytes) {
    std::string text = draw(8) == 0 ? " " : "";
    for (std::uint64_t fields = 1 + draw(5); fields > 0; --fields) {
        text += draw_field(draw);
        text.append(fields > 1 ? 1 + (draw(6) == 0 ? 1 : 0) : 0, ' ');
    }
    text.append(draw(8) == 0 ? 1 + draw(2) : 0, ' ');
    if (draw(50) == 0 && text.size() < max_bytes) {
        text.append(draw(max_bytes - text.size()), 'x');
    }
    return text;
}

std::string draw_similar_text(const draw_below& draw) {
    constexpr std::array<std::string_view, 6> similar{"q", "READ", "WRITE", "at", "x", "p1"};
    std::string text(similar.at(draw(similar.size())));
    for (std::uint64_t more = draw(4); more > 0; --more) {
        text += ' ';
        text += similar.at(draw(similar.size()));
    }
    return text;
}

} // namespace mangoquay::test
