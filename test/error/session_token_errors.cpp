// Guards against accepting a session token that was not signed with a key of the cluster. A modified token
// could lower a caller's position, and reads would then go to a replica that lacks the caller's writes.
#include "core/digest.h"
#include "sessions/session_token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace mangoquay;

namespace {

const settings::signing_key old_key{1, "0123456789abcdef"};
const settings::signing_key new_key{2, "fedcba9876543210"};

core::history_position at(std::uint32_t term, std::uint64_t position) {
    return {core::term(term), core::log_position(position)};
}

sessions::session_positions any_positions() {
    sessions::session_positions positions;
    const auto count = *rc::gen::inRange(0, 20);
    for (int index = 0; index < count; ++index) {
        positions[core::group_id("group-" + std::to_string(*rc::gen::inRange(0, 50)))] =
            at(*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint64_t>());
    }
    return positions;
}

// Returns a token with a correct signature over `body`, so that only the decoder can refuse it.
std::string signed_token(std::string body) {
    body += core::hmac_sha256(old_key.m_key, body).substr(0, sessions::signature_bytes);
    return core::to_base64url(body);
}

} // namespace

class session_token_errors : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(session_token_errors);
    CPPUNIT_TEST(tokens_round_trip);
    CPPUNIT_TEST(damaged_tokens_are_refused);
    CPPUNIT_TEST(malformed_tokens_are_refused);
    CPPUNIT_TEST(signed_but_malformed_bodies_are_refused);
    CPPUNIT_TEST(keys_can_be_rotated);
    CPPUNIT_TEST(oversized_sessions_get_no_token);
    CPPUNIT_TEST(raising_never_lowers_a_position);
    CPPUNIT_TEST_SUITE_END();

    const sessions::token_codec m_codec{{old_key}};

public:
    void tokens_round_trip() {
        CPPUNIT_ASSERT(rc::check("verify(encode(positions)) == positions", [this] {
            const sessions::session_positions positions = any_positions();
            const auto token = m_codec.encode(positions);
            RC_ASSERT(token.has_value());
            RC_ASSERT(m_codec.verify(*token) == positions);
        }));
    }

    void damaged_tokens_are_refused() {
        CPPUNIT_ASSERT(rc::check("a changed, cut or extended token is refused", [this] {
            const std::string token = *m_codec.encode(any_positions());
            std::string damaged = token;
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                damaged[*rc::gen::inRange<std::size_t>(0, token.size())] = *rc::gen::arbitrary<char>();
                break;
            case 1:
                damaged.resize(*rc::gen::inRange<std::size_t>(0, token.size()));
                break;
            default:
                damaged += *rc::gen::nonEmpty<std::string>();
            }
            RC_PRE(damaged != token);
            RC_ASSERT(!m_codec.verify(damaged).has_value());
        }));
    }

    void malformed_tokens_are_refused() {
        const std::vector<std::string> corpus{"",
                                              "=",
                                              "A",
                                              "AQEA",
                                              "AQEAAAAAAAAAAAAAAAAAAAAAAAAA",
                                              std::string(1, '\0'),
                                              std::string(64, '_'),
                                              std::string(sessions::max_token_bytes + 1, 'A'),
                                              std::string(1 << 20, 'A'),
                                              "eyJhbGciOiJub25lIn0.e30.",
                                              "\xff\xfe\x80",
                                              "../../etc"};
        for (const std::string& text : corpus) {
            CPPUNIT_ASSERT_MESSAGE(text.substr(0, 40), !m_codec.verify(text).has_value());
        }
    }

    void signed_but_malformed_bodies_are_refused() {
        const std::string entry = std::string("\x01g", 2) + std::string(12, '\0');
        const std::vector<std::string> bodies{
            std::string("\x01\x01\x01", 3),                 // An entry is missing.
            std::string("\x01\x01\x00x", 4),                // Trailing byte.
            std::string("\x01\x01\x01\xffg", 5),            // The name extends past the end.
            std::string("\x01\x01\x02", 3) + entry + entry, // The same group occurs twice.
            std::string("\x02\x01\x01", 3) + entry,         // Unknown version.
            std::string("\x01\x09\x01", 3) + entry,         // Unknown key.
        };
        CPPUNIT_ASSERT(m_codec.verify(signed_token(std::string("\x01\x01\x01", 3) + entry)).has_value());
        for (const std::string& body : bodies) {
            CPPUNIT_ASSERT(!m_codec.verify(signed_token(body)).has_value());
        }
    }

    void keys_can_be_rotated() {
        const sessions::session_positions positions{{core::group_id("g"), at(3, 900)}};
        const sessions::token_codec both({new_key, old_key});
        const sessions::token_codec only_new({new_key});
        CPPUNIT_ASSERT(both.verify(*m_codec.encode(positions)) == positions);
        CPPUNIT_ASSERT(only_new.verify(*both.encode(positions)) == positions);
        CPPUNIT_ASSERT(!only_new.verify(*m_codec.encode(positions)).has_value());
        const sessions::token_codec same_id({{1, "another-key-of-16"}});
        CPPUNIT_ASSERT(!same_id.verify(*m_codec.encode(positions)).has_value());
    }

    void oversized_sessions_get_no_token() {
        sessions::session_positions positions;
        for (int index = 0; index < 300; ++index) {
            positions[core::group_id("g" + std::to_string(index))] = at(1, 1);
        }
        CPPUNIT_ASSERT(!m_codec.encode(positions).has_value());
        CPPUNIT_ASSERT(!m_codec.encode({{core::group_id(std::string(300, 'g')), at(1, 1)}}).has_value());
    }

    void raising_never_lowers_a_position() {
        sessions::session_positions positions{{core::group_id("g"), at(4, 120)}};
        sessions::raise_position(positions, core::group_id("g"), at(3, 900));
        CPPUNIT_ASSERT(positions.at(core::group_id("g")) == at(4, 120));
        sessions::raise_position(positions, core::group_id("h"), at(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, positions.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(session_token_errors);
