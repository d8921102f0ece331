// Draws parts of statements.
#include "support/statement_texts.h"

#include <array>

namespace mangoquay::test {

std::string draw_name(const draw_below& draw) {
    constexpr std::array<const char*, 4> names{"p1", "p2", "READ", "WRITE"};
    return draw(2) == 0 ? names.at(draw(names.size())) : draw_field(draw);
}

std::string draw_shape(const draw_below& draw) {
    return draw(3) != 0 ? draw_similar_text(draw) : draw_last_field(draw);
}

std::string draw_arguments(const draw_below& draw, bool writes) {
    return writes ? draw_field(draw) + " " + draw_last_field(draw) : draw_last_field(draw);
}

std::string draw_statement(const draw_below& draw, bool writes) {
    return (writes ? "WRITE " : "READ ") + draw_arguments(draw, writes);
}

std::string extended_to_limit(const draw_below& draw, std::string statement) {
    constexpr std::size_t max_message_bytes = 1U << 20U;
    constexpr std::size_t prefix_bytes = 24; // Of "QUERY", the id and the blanks.
    statement.append(max_message_bytes - prefix_bytes - draw(60) - statement.size(), 'x');
    return statement;
}

} // namespace mangoquay::test
