// Guards against a driver that acknowledges proposals which a quorum has not stored, and against a host that
// does not rejoin the cell after a restart or with an empty disk. Uses real data folders, event loop and
// storage threads; messages are passed in memory.
#include "consensus/raft_driver.h"
#include "support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <sstream>

using namespace mangoquay::consensus;
using mangoquay::core::entry_host_id;
using mangoquay::core::milliseconds;
using mangoquay::core::revision;

namespace {

using lines = std::vector<std::string>;

std::string join(const lines& state) {
    std::string text;
    for (const std::string& line : state) {
        text += line + '\n';
    }
    return text;
}

lines split(const std::string& text) {
    lines state;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        state.push_back(line);
    }
    return state;
}

struct host {
    std::unique_ptr<raft_driver> m_driver;
    std::string m_folder;
    lines m_state;
    revision m_revision;
};

class cell {
    mangoquay::test::temporary_folder m_root;
    mangoquay::transport::event_loop m_loop;

public:
    std::map<entry_host_id, host> m_hosts; // Destroyed before the loop and the folder.

    cell() {
        for (const char* name : {"a", "b", "c"}) {
            m_hosts[entry_host_id(name)].m_folder = (m_root.path() / name).string();
        }
        for (auto& [id, node] : m_hosts) {
            start(id);
        }
    }

    void start(const entry_host_id& id) {
        host& node = m_hosts.at(id);
        node.m_state.clear();
        driver_settings settings;
        settings.m_self = id;
        settings.m_data_folder = node.m_folder;
        for (const auto& [listed, other] : m_hosts) {
            settings.m_initial_hosts.insert(listed);
        }
        settings.m_timing = {.m_heartbeat = milliseconds(20),
                             .m_min_election_timeout = milliseconds(100),
                             .m_max_election_timeout = milliseconds(200),
                             .m_lease = milliseconds(75)};
        settings.m_snapshot_interval = 50;
        node.m_driver = std::make_unique<raft_driver>(
            m_loop, settings,
            [this, id](const entry_host_id& to, const raft_message& message) { transmit(id, to, message); });
        node.m_driver->on_commit([&node](revision index, const std::string& payload) {
            node.m_revision = index;
            if (!payload.empty()) {
                node.m_state.push_back(payload);
            }
        });
        node.m_driver->on_snapshot_needed([&node] { return join(node.m_state); });
        node.m_driver->on_snapshot_installed([&node](revision index, const std::string& state) {
            node.m_revision = index;
            node.m_state = split(state);
        });
        const auto started = node.m_driver->start();
        CPPUNIT_ASSERT_MESSAGE(started.reason(), static_cast<bool>(started));
    }

    void stop(const entry_host_id& id) { m_hosts.at(id).m_driver.reset(); }

    // Adds a step. Steps run in order; each is called repeatedly until it returns true.
    void add_step(std::function<bool()> step) { m_steps.push_back(std::move(step)); }

    // Returns false when the steps did not finish. The limit of 60 s only ends a run that hangs.
    bool run_steps() {
        m_loop.post([this] { poll_steps(m_loop.now() + std::chrono::seconds(60)); });
        m_loop.run();
        return m_steps.empty();
    }

    raft_driver* leader() {
        for (const auto& [id, node] : m_hosts) {
            if (node.m_driver && node.m_driver->holds_lease(m_loop.now())) {
                return node.m_driver.get();
            }
        }
        return nullptr;
    }

    // Adds a step that proposes until `count` proposals have been acknowledged, many of them in one batch.
    void add_proposal_step(std::size_t count) {
        struct counters {
            std::size_t m_in_flight = 0;
            std::size_t m_acknowledged = 0;
        };
        add_step([this, count, counts = std::make_shared<counters>()] {
            while (leader() && counts->m_in_flight < 20 &&
                   counts->m_acknowledged + counts->m_in_flight < count) {
                ++counts->m_in_flight;
                const std::string payload = "p" + std::to_string(m_next++);
                leader()->propose(payload, [this, counts, payload](std::optional<revision> index) {
                    --counts->m_in_flight;
                    if (index) {
                        ++counts->m_acknowledged;
                        m_acknowledged.push_back(payload);
                    }
                });
            }
            return counts->m_in_flight == 0 && counts->m_acknowledged >= count;
        });
    }

    // Returns whether all hosts have the same state, the state contains all acknowledged proposals, and all
    // hosts are voters with their current disks.
    bool has_converged() {
        const auto& first = m_hosts.begin()->second;
        for (const auto& [id, node] : m_hosts) {
            const bool voter = node.m_driver->members().is_voter({id, node.m_driver->disk()});
            if (node.m_revision != first.m_revision || node.m_state != first.m_state || !voter) {
                return false;
            }
        }
        return leader() && std::ranges::all_of(m_acknowledged, [&first](const std::string& payload) {
                   return std::ranges::find(first.m_state, payload) != first.m_state.end();
               });
    }

private:
    void transmit(const entry_host_id& from, const entry_host_id& to, const raft_message& message) {
        m_loop.post(
            [this, from, to, encoded = std::make_shared<mangoquay::wire::raft_messageT>(to_wire(message))] {
                if (m_hosts[to].m_driver) {
                    m_hosts[to].m_driver->receive(from, *from_wire(*encoded));
                }
            });
    }

    void poll_steps(mangoquay::core::time_point limit) {
        while (!m_steps.empty() && m_steps.front()()) {
            m_steps.pop_front();
        }
        if (m_steps.empty() || m_loop.now() > limit) {
            m_loop.stop();
        } else {
            m_loop.run_after(milliseconds(1), [this, limit] { poll_steps(limit); });
        }
    }

    std::deque<std::function<bool()>> m_steps;
    lines m_acknowledged;
    std::size_t m_next = 0;
};

} // namespace

class consensus_drivers : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(consensus_drivers);
    CPPUNIT_TEST(acknowledged_proposals_survive_restart_of_all_hosts);
    CPPUNIT_TEST(host_with_empty_disk_is_readmitted);
    CPPUNIT_TEST(entries_are_read_in_order_and_without_gaps);
    CPPUNIT_TEST(proposals_without_a_leader_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against losing acknowledged proposals when all hosts restart at once.
    void acknowledged_proposals_survive_restart_of_all_hosts() {
        cell hosts;
        hosts.add_proposal_step(120);
        hosts.add_step([&] {
            std::ranges::for_each(hosts.m_hosts, [&](const auto& node) { hosts.stop(node.first); });
            std::ranges::for_each(hosts.m_hosts, [&](const auto& node) { hosts.start(node.first); });
            return true;
        });
        hosts.add_proposal_step(5);
        hosts.add_step([&] { return hosts.has_converged(); });
        CPPUNIT_ASSERT(hosts.run_steps());
    }

    // Guards against a host that stays outside the cell, or lacks entries, after its data folder was lost.
    void host_with_empty_disk_is_readmitted() {
        cell hosts;
        for (const char* name : {"b", "c"}) {
            hosts.add_proposal_step(60);
            hosts.add_step([&hosts, lost = entry_host_id(name)] {
                hosts.stop(lost);
                std::filesystem::remove_all(hosts.m_hosts.at(lost).m_folder);
                hosts.start(lost);
                return true;
            });
            hosts.add_step([&] { return hosts.has_converged(); });
        }
        CPPUNIT_ASSERT(hosts.run_steps());
    }

    // Guards against followers of the log that skip or repeat entries.
    void entries_are_read_in_order_and_without_gaps() {
        cell hosts;
        hosts.add_proposal_step(30);
        hosts.add_step([&] { return hosts.has_converged(); });
        CPPUNIT_ASSERT(hosts.run_steps());
        const raft_driver& driver = *hosts.m_hosts.begin()->second.m_driver;
        const auto entries = driver.entries_after(revision(2), 10);
        CPPUNIT_ASSERT(entries);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), entries->size());
        for (std::size_t position = 0; position < entries->size(); ++position) {
            CPPUNIT_ASSERT(entries->at(position).m_revision == revision(3 + position));
        }
        CPPUNIT_ASSERT(driver.entries_after(driver.committed())->empty());
    }

    // Guards against proposals and host replacements that wait forever when there is no leader.
    void proposals_without_a_leader_are_refused() {
        cell hosts;
        hosts.stop(entry_host_id("b"));
        hosts.stop(entry_host_id("c"));
        raft_driver& driver = *hosts.m_hosts.at(entry_host_id("a")).m_driver;
        bool refused = false;
        driver.propose("x", [&](auto index) { refused = !index; });
        hosts.add_step([&] { return refused; });
        CPPUNIT_ASSERT(hosts.run_steps());
        const auto replaced = driver.replace_host(entry_host_id("b"), entry_host_id("d"));
        CPPUNIT_ASSERT_EQUAL(std::string("this host is not the leader"), replaced.reason());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(consensus_drivers);
