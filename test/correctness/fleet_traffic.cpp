// Size of the messages that every entry host exchanges with every control host twice a second. Guards against
// content that is repeated although the receiver has it: at 295 entry and 5 control hosts it was half of the
// traffic between zones.
#include "fleet/update_publisher.h"
#include "fleet/update_subscriber.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace mangoquay;

namespace {

// The control traffic of a host may take 14 KB a second. Two queries a second and their answers, with each of
// five control hosts, may take a quarter of it.
constexpr std::uint64_t max_exchange_bytes = 14'000 / 4 / (2 * 5);
constexpr std::uint64_t max_query_bytes = max_exchange_bytes * 2 / 3;
constexpr std::uint64_t max_answer_bytes = max_exchange_bytes - max_query_bytes;

class fleet_traffic : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_traffic);
    CPPUNIT_TEST(a_query_names_only_primaries_that_were_observed);
    CPPUNIT_TEST(an_answer_omits_lists_that_the_receiver_has);
    CPPUNIT_TEST(each_update_states_the_version_of_the_document);
    CPPUNIT_TEST(observations_are_found_by_the_id_of_the_endpoint);
    CPPUNIT_TEST_SUITE_END();

    transport::event_loop m_loop;
    core::entry_host_id m_self{"10.1.0.9"};
    transport::peer_network m_network{m_loop, m_self, "a cluster key of tests"};
    transport::message_bus m_bus{m_loop, m_network, m_self};

    [[nodiscard]] std::uint64_t bytes_of(const std::string& kind) const {
        const auto found = m_bus.sent_amounts().find(kind);
        return found == m_bus.sent_amounts().end() ? 0 : found->second.m_bytes;
    }

    void a_query_names_only_primaries_that_were_observed() {
        fleet::subscriber_handlers handlers;
        handlers.m_primary_observations = [] {
            std::vector<relay::primary_observation> seen;
            seen.reserve(20);
            for (int index = 0; index < 20; ++index) {
                seen.push_back(
                    {core::endpoint_id("i-7f3a91c2" + std::to_string(index)), index < 5, index == 6});
            }
            return seen;
        };
        handlers.m_ready = [] { return true; };
        handlers.m_document_version = [] { return documents::document_version(7); };
        fleet::update_subscriber subscriber(
            m_loop, m_bus, m_network,
            {m_self, {"10.1.0.9", 7440}, true, core::availability_zone("marinha-norte")},
            std::move(handlers));
        subscriber.add_control_host(core::entry_host_id("10.1.0.30"));
        subscriber.query_control_hosts();
        CPPUNIT_ASSERT(bytes_of("fleet_follow") > 0);
        CPPUNIT_ASSERT(bytes_of("fleet_follow") <= max_query_bytes);
    }

    void an_answer_omits_lists_that_the_receiver_has() {
        const documents::document_register documents;
        registry::endpoint_registry endpoints;
        fleet::update_publisher publisher(m_bus, m_network, documents, endpoints);
        std::set<core::entry_host_id> control_hosts;
        std::string all;
        for (int index = 0; index < 5; ++index) {
            control_hosts.insert(core::entry_host_id("10.1.0." + std::to_string(index)));
            all += "10.1.0." + std::to_string(index) + "\n";
        }
        wire::fleet_followT query;
        query.is_entry = true;
        query.peer_host = "10.1.0.40";
        query.registry_digest = endpoints.digest();
        const core::entry_host_id subscriber("10.1.0.40");
        publisher.on_query_received(subscriber, query, control_hosts, core::now());
        const std::uint64_t first = bytes_of("fleet_update");
        query.control_hosts_digest = std::hash<std::string>{}(all);
        publisher.on_query_received(subscriber, query, control_hosts, core::now());
        const std::uint64_t second = bytes_of("fleet_update") - first;
        CPPUNIT_ASSERT(second < first);
        CPPUNIT_ASSERT(second <= max_answer_bytes);
    }

    // Guards against a host that is taken for one without a document after it has sent a report.
    void each_update_states_the_version_of_the_document() {
        documents::document_register documents;
        documents.apply(documents::document_register::encode(documents::document_version(7), "text"));
        registry::endpoint_registry endpoints;
        fleet::update_publisher publisher(m_bus, m_network, documents, endpoints);
        std::vector<std::uint64_t> versions;
        m_bus.set_handler<wire::fleet_updateT>(
            [&versions](const auto&, const auto& update) { versions.push_back(update.document_version); });
        wire::fleet_followT query;
        query.is_entry = true;
        publisher.on_query_received(m_self, query, {}, core::now());
        publisher.publish_report(registry::endpoint_report{}, true);
        publisher.announce_document();
        m_loop.stop();
        m_loop.run();
        CPPUNIT_ASSERT(versions == std::vector<std::uint64_t>(3, 7));
    }

    void observations_are_found_by_the_id_of_the_endpoint() {
        const documents::document_register documents;
        registry::endpoint_registry endpoints;
        fleet::update_publisher publisher(m_bus, m_network, documents, endpoints);
        const core::endpoint_id failing("i-7f3a91c2");
        wire::fleet_followT query;
        query.is_entry = true;
        query.peer_host = "10.1.0.40";
        query.sightings.emplace_back(fleet::hash_of(failing).value(), false, true);
        const core::entry_host_id subscriber("10.1.0.40");
        publisher.on_query_received(subscriber, query, {}, core::now());
        const auto& seen = publisher.subscribers().at(subscriber).m_primaries;
        CPPUNIT_ASSERT(seen.at(fleet::hash_of(failing)).m_failing);
        CPPUNIT_ASSERT(!seen.contains(fleet::hash_of(core::endpoint_id("i-7f3a91c3"))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_traffic);

} // namespace
