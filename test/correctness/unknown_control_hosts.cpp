// Guards against an entry host that obeys a host which it never queried: every process with the cluster key
// can send updates, also one that belongs to another cell or has left this one.
#include "fleet/update_subscriber.h"

#include "core/deflate.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

constexpr const char* key = "a cluster key of tests";
constexpr std::uint64_t held_version = 7;
constexpr core::milliseconds observation_time{300};
const core::entry_host_id subscriber_id("127.0.0.1");
const core::entry_host_id unknown_id("127.37.64.2");

class unknown_control_hosts : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unknown_control_hosts);
    CPPUNIT_TEST(send_no_configuration);
    CPPUNIT_TEST(name_no_control_hosts);
    CPPUNIT_TEST_SUITE_END();

    transport::event_loop m_loop;
    transport::peer_network m_network{m_loop, subscriber_id, key};
    transport::message_bus m_bus{m_loop, m_network, subscriber_id};
    transport::peer_network m_unknown_network{m_loop, unknown_id, key};
    transport::message_bus m_unknown{m_loop, m_unknown_network, unknown_id};
    std::vector<std::uint64_t> m_received;
    std::unique_ptr<fleet::update_subscriber> m_subscriber;

public:
    void setUp() override {
        const auto port = m_network.listen({subscriber_id.value(), 0});
        CPPUNIT_ASSERT(static_cast<bool>(port));
        m_unknown_network.set_address(subscriber_id, {subscriber_id.value(), *port});
        fleet::subscriber_handlers handlers;
        handlers.m_document_received = [this](const fleet::received_document& received) {
            m_received.push_back(received.m_version.value());
        };
        handlers.m_endpoints_changed = [] {};
        handlers.m_entry_host_count_received = [](std::uint32_t) {};
        handlers.m_ready_hosts_changed = [](const lending::hosts_by_zone&) {};
        handlers.m_primary_observations = [] { return std::vector<relay::primary_observation>{}; };
        handlers.m_ready = [] { return true; };
        handlers.m_document_version = [] { return documents::document_version(held_version); };
        m_subscriber = std::make_unique<fleet::update_subscriber>(
            m_loop, m_bus, m_network,
            fleet::subscriber_identity{
                subscriber_id, {subscriber_id.value(), *port}, true, core::availability_zone("makati")},
            std::move(handlers));
        m_subscriber->start({});
    }

private:
    void send_from_unknown_host(wire::fleet_updateT update) {
        CPPUNIT_ASSERT(m_unknown.send(subscriber_id, std::move(update)));
        m_loop.run_after(observation_time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    void send_no_configuration() {
        const std::string document = "a configuration of another cell";
        const std::string deflated = core::deflate(document);
        wire::fleet_updateT update;
        update.document_version = held_version + 1;
        update.document.assign(deflated.begin(), deflated.end());
        update.document_bytes = static_cast<std::uint32_t>(document.size());
        send_from_unknown_host(std::move(update));
        CPPUNIT_ASSERT(m_received.empty());
    }

    void name_no_control_hosts() {
        wire::fleet_updateT update;
        update.document_version = held_version;
        update.control_hosts = {unknown_id.value()};
        send_from_unknown_host(std::move(update));
        CPPUNIT_ASSERT(m_subscriber->control_hosts().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unknown_control_hosts);

} // namespace
