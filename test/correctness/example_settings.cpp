// Guards against example settings that no longer load, or that deviate from the zones, services, slot counts
// and connection limits of the example deployments.
#include "settings/settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>

using namespace mangoquay;

namespace {

struct deployment {
    const char* m_folder;
    std::set<std::string> m_zones;
    const char* m_service;
    std::uint32_t m_slots;
    std::uint32_t m_connections;
};

const std::vector<deployment> deployments{
    {"salinas-do-sado", {"marinha-norte", "marinha-sul", "armazem"}, "registos-sal", 5, 30},
    {"talaan", {"makati", "pasig", "quezon"}, "bookings-db", 3, 40},
};

std::filesystem::path folder_of(const deployment& example, const char* part) {
    return std::filesystem::path(__FILE__).parent_path() / "../../config" / example.m_folder / part;
}

} // namespace

class example_settings : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(example_settings);
    CPPUNIT_TEST(hosts_load_and_form_one_cell);
    CPPUNIT_TEST(endpoints_have_the_expected_limits_and_zones);
    CPPUNIT_TEST_SUITE_END();

public:
    void hosts_load_and_form_one_cell() {
        for (const deployment& each : deployments) {
            std::set<std::string> zones;
            std::size_t proxies = 0;
            std::size_t control_hosts = 0;
            for (const auto& file : std::filesystem::directory_iterator(folder_of(each, "hosts"))) {
                const core::result<settings::settings> loaded = settings::load_settings(file.path());
                CPPUNIT_ASSERT_MESSAGE(loaded.reason(), static_cast<bool>(loaded));
                zones.insert(loaded->m_zone.value());
                proxies += loaded->m_proxy ? 1 : 0;
                control_hosts += loaded->m_control ? 1 : 0;
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, loaded->m_control_hosts.size());
                CPPUNIT_ASSERT_EQUAL(6400U, loaded->m_http_limits.m_connections);
                CPPUNIT_ASSERT(
                    loaded->m_callers.at(1).m_services.contains(core::service_name(each.m_service)));
            }
            CPPUNIT_ASSERT(zones == each.m_zones);
            CPPUNIT_ASSERT(proxies >= 6 && proxies <= 8);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, control_hosts);
        }
    }

    void endpoints_have_the_expected_limits_and_zones() {
        for (const deployment& each : deployments) {
            std::map<std::string, int> endpoint_count_by_group;
            for (const auto& file : std::filesystem::directory_iterator(folder_of(each, "endpoints"))) {
                std::ifstream text(file.path());
                const nlohmann::json body = nlohmann::json::parse(text);
                CPPUNIT_ASSERT_EQUAL(each.m_slots, body["slots"].get<std::uint32_t>());
                CPPUNIT_ASSERT_EQUAL(each.m_connections, body["connections"].get<std::uint32_t>());
                CPPUNIT_ASSERT(each.m_zones.contains(body["zone"].get<std::string>()));
                ++endpoint_count_by_group[body["group"].get<std::string>()];
            }
            std::ifstream text(folder_of(each, "service.json"));
            for (const auto& group : nlohmann::json::parse(text)["groups"]) {
                CPPUNIT_ASSERT_EQUAL(3, endpoint_count_by_group[group.get<std::string>()]);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, endpoint_count_by_group.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(example_settings);
