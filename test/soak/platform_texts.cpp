// Draws texts.
#include "soak/platform_texts.h"

#include "support/protocol_texts.h"

#include <array>
#include <string_view>

namespace mangoquay::soak {
namespace {

constexpr std::uint64_t names = 3;
constexpr std::uint64_t short_shapes = 40;
constexpr std::uint64_t items = 60;
constexpr std::uint64_t values = 1000;
constexpr std::uint64_t data_numbers = 100000;
// Room for the other fields of the longest line that holds a long text.
constexpr std::uint64_t longest_text = (std::uint64_t{1} << 20U) - 200;
// Shapes that a relay without boundaries between fields takes for each other.
constexpr std::array<std::string_view, 8> similar_shapes{"q2a", "q2a READ at", "q1b",        "q1b WRITE nf",
                                                         "q1",  "q1 x",        "q1 READ q1", "READ"};

} // namespace

std::uint64_t platform_texts::draw_below(std::uint64_t limit) {
    return m_random() % limit;
}

std::string platform_texts::draw_last_field() {
    return test::draw_last_field([this](std::uint64_t limit) { return draw_below(limit); });
}

std::string platform_texts::lengthen(std::string text, std::uint64_t one_of) {
    if (draw_below(one_of) == 0) {
        const std::uint64_t length =
            draw_below(2) == 0 ? longest_text - draw_below(100) : draw_below(longest_text);
        text.append(length > text.size() ? length - text.size() : 0, 'x');
    }
    return text;
}

std::string platform_texts::draw_name() {
    if (draw_below(8) == 0) {
        return test::draw_field([this](std::uint64_t limit) { return draw_below(limit); });
    }
    return "s" + std::to_string(1 + draw_below(names));
}

std::string platform_texts::draw_shape() {
    switch (draw_below(4)) {
    case 0:
        return "q" + std::to_string(1 + draw_below(short_shapes));
    case 1:
        return std::string(similar_shapes.at(draw_below(similar_shapes.size())));
    case 2:
        return test::draw_similar_text([this](std::uint64_t limit) { return draw_below(limit); });
    default:
        return lengthen(draw_last_field(), 50);
    }
}

std::string platform_texts::draw_value() {
    return draw_below(2) == 0 ? "c" + std::to_string(draw_below(values)) : draw_last_field();
}

std::string platform_texts::draw_item() {
    if (draw_below(8) == 0) {
        return test::draw_field([this](std::uint64_t limit) { return draw_below(limit); });
    }
    return "i" + std::to_string(1 + draw_below(items));
}

std::string platform_texts::draw_last_item() {
    return draw_below(8) == 0 ? lengthen(draw_last_field(), 20) : draw_item();
}

std::string platform_texts::draw_data() {
    constexpr std::uint64_t one_of = 300;
    // The number makes the data of two writes differ.
    const std::string number = "d" + std::to_string(draw_below(data_numbers));
    return lengthen(draw_below(4) == 0 ? draw_last_field() + number : number, one_of);
}

} // namespace mangoquay::soak
