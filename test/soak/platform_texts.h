// Draws the texts of a caller's statements from the grammar of the line protocol: names, shapes, values,
// items and data. Names and some shapes come from few, so that callers collide on pooled connections, and a
// small part of the statements is nearly as long as a message may be.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace mangoquay::soak {

class platform_texts {
public:
    explicit platform_texts(std::uint64_t seed) : m_random(seed) {}

    std::string draw_name();
    std::string draw_shape();
    std::string draw_value();
    // A field that data may follow.
    std::string draw_item();
    // Extends to the end of the line.
    std::string draw_last_item();
    std::string draw_data();

private:
    std::uint64_t draw_below(std::uint64_t limit);
    std::string draw_last_field();
    // Extends a small part of the texts so far that their statement nearly reaches the limit of a message.
    std::string lengthen(std::string text, std::uint64_t one_of);

    std::mt19937_64 m_random;
};

} // namespace mangoquay::soak
