// Guards against frames that are lost, truncated or reordered on an intact connection, and against frames
// that are accepted from a peer that does not know the cluster key.
#include "transport/frame_codec.h"
#include "transport/peer_network.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;
using namespace std::chrono_literals;
using core::entry_host_id;

namespace {

const entry_host_id sender_id{"sender"};
const entry_host_id receiver_id{"receiver"};

struct connected_peers {
    transport::event_loop m_loop;
    transport::peer_network m_sender;
    transport::peer_network m_receiver;
    std::uint16_t m_port = 0; // Of the receiver.

    connected_peers(const std::string& sender_key, const std::string& receiver_key)
        : m_sender(m_loop, sender_id, sender_key), m_receiver(m_loop, receiver_id, receiver_key) {
        const auto port = m_receiver.listen({"127.0.0.1", 0});
        CPPUNIT_ASSERT(static_cast<bool>(port));
        m_port = *port;
        m_sender.set_address(receiver_id, {"127.0.0.1", m_port});
    }
};

} // namespace

class peer_connections : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(peer_connections);
    CPPUNIT_TEST(frames_arrive_whole_and_in_order);
    CPPUNIT_TEST(frames_of_a_peer_without_the_cluster_key_are_dropped);
    CPPUNIT_TEST(a_frame_that_was_refused_is_not_delivered_later);
    CPPUNIT_TEST(a_long_backlog_is_not_copied_for_each_frame);
    CPPUNIT_TEST_SUITE_END();

public:
    void frames_arrive_whole_and_in_order() {
        constexpr int frame_count = 200;
        connected_peers peers("key", "key");
        int received = 0;
        peers.m_receiver.on_frame([&](const entry_host_id& from, transport::frame body) {
            CPPUNIT_ASSERT(from == sender_id);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(received) * 500 + 1, body.size());
            if (++received == frame_count) {
                peers.m_loop.stop();
            }
        });
        for (int index = 0; index < frame_count; ++index) {
            CPPUNIT_ASSERT(peers.m_sender.send(receiver_id, std::vector<std::uint8_t>(index * 500 + 1, 7)));
        }
        peers.m_loop.run();
        CPPUNIT_ASSERT_EQUAL(frame_count, received);
    }

    void frames_of_a_peer_without_the_cluster_key_are_dropped() {
        connected_peers peers("guessed", "key");
        bool received = false;
        peers.m_receiver.on_frame([&](const entry_host_id&, transport::frame) { received = true; });
        peers.m_sender.on_peer_lost([&](const entry_host_id&) { peers.m_loop.stop(); });
        peers.m_sender.send(receiver_id, {1, 2, 3});
        peers.m_loop.run();
        CPPUNIT_ASSERT(!received);
    }

    // Guards against an event loop that stands still because a peer is slow to read.
    void a_long_backlog_is_not_copied_for_each_frame() {
        constexpr int frame_count = 2000;
        constexpr int max_moves = 64;
        transport::frame_sealer sealer({});
        std::vector<std::uint8_t> backlog;
        int moves = 0;
        for (int index = 0; index < frame_count; ++index) {
            const std::size_t capacity = backlog.capacity();
            sealer.seal(std::vector<std::uint8_t>(1000, 7), backlog);
            moves += backlog.capacity() == capacity ? 0 : 1;
        }
        CPPUNIT_ASSERT(moves <= max_moves);
    }

    // Guards against a refused message that a later connection delivers, when what it says is out of date.
    void a_frame_that_was_refused_is_not_delivered_later() {
        constexpr std::uint8_t refused = 1;
        constexpr std::uint8_t accepted = 2;
        connected_peers peers("key", "key");
        std::vector<std::uint8_t> received;
        peers.m_receiver.on_frame([&](const entry_host_id&, transport::frame body) {
            received.push_back(body[0]);
            peers.m_loop.stop();
        });
        peers.m_sender.set_address(receiver_id, {"no address", peers.m_port}); // Connecting fails at once.
        CPPUNIT_ASSERT(!peers.m_sender.send(receiver_id, {refused}));
        peers.m_sender.set_address(receiver_id, {"127.0.0.1", peers.m_port});
        CPPUNIT_ASSERT(peers.m_sender.send(receiver_id, {accepted}));
        peers.m_loop.run();
        CPPUNIT_ASSERT(received == std::vector<std::uint8_t>{accepted});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_connections);
