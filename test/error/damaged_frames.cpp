// Guards against accepting frames that were changed, replayed or reordered, that exceed the size limit or
// that were copied from another connection.
#include "transport/frame_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay::transport;

namespace {

const connection_key key = derive_key("secret", {});

std::vector<std::uint8_t> encode_frames(std::initializer_list<std::vector<std::uint8_t>> bodies) {
    frame_sealer sealer(key);
    std::vector<std::uint8_t> stream;
    for (const auto& body : bodies) {
        sealer.seal(body, stream);
    }
    return stream;
}

int count_valid_frames(const std::vector<std::uint8_t>& stream, bool& damaged) {
    frame_opener opener(key);
    opener.feed(stream);
    int count = 0;
    while (opener.next_body()) {
        ++count;
    }
    damaged = opener.damaged();
    return count;
}

} // namespace

class damaged_frames : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(damaged_frames);
    CPPUNIT_TEST(frame_with_a_changed_byte_is_not_delivered);
    CPPUNIT_TEST(replayed_frame_is_rejected);
    CPPUNIT_TEST(frames_do_not_depend_on_how_the_stream_is_split);
    CPPUNIT_TEST(random_bytes_are_not_delivered);
    CPPUNIT_TEST_SUITE_END();

public:
    void frame_with_a_changed_byte_is_not_delivered() {
        const auto stream = encode_frames({{1, 2, 3, 4}});
        for (std::size_t index = 0; index < stream.size(); ++index) {
            auto changed = stream;
            changed[index] ^= 0x10;
            bool damaged = false;
            CPPUNIT_ASSERT_EQUAL(0, count_valid_frames(changed, damaged));
        }
    }

    void replayed_frame_is_rejected() {
        auto stream = encode_frames({{1, 2, 3, 4}});
        const auto copy = stream;
        stream.insert(stream.end(), copy.begin(), copy.end());
        bool damaged = false;
        CPPUNIT_ASSERT_EQUAL(1, count_valid_frames(stream, damaged));
        CPPUNIT_ASSERT(damaged);
    }

    void frames_do_not_depend_on_how_the_stream_is_split() {
        CPPUNIT_ASSERT(rc::check("split streams", [](const std::vector<std::uint8_t>& body) {
            const auto stream = encode_frames({body, {}, body});
            const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
            frame_opener opener(key);
            opener.feed(std::span(stream).first(cut));
            int count = 0;
            while (opener.next_body()) {
                ++count;
            }
            opener.feed(std::span(stream).subspan(cut));
            while (opener.next_body()) {
                ++count;
            }
            RC_ASSERT(count == 3 && !opener.damaged());
        }));
    }

    void random_bytes_are_not_delivered() {
        CPPUNIT_ASSERT(rc::check("random streams", [](const std::vector<std::uint8_t>& stream) {
            bool damaged = false;
            RC_ASSERT(count_valid_frames(stream, damaged) == 0);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(damaged_frames);
