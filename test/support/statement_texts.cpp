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

} // namespace mangoquay::test
