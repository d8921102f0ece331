// Measures the cost of the control log: commits per second on one host with a real data folder, the processor
// time per heartbeat round and per commit, and the cost of reading an entry for each proxy that follows the
// log.
#include "../support/temporary_folder.h"
#include "consensus/raft_driver.h"
#include "measurement.h"

#include <ctime>
#include <map>

using namespace mangoquay::consensus;
using mangoquay::core::entry_host_id;

namespace {

constexpr std::size_t command_bytes = 300; // Size of a typical encoded command.

double processor_seconds() {
    timespec spent{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
}

// Measures commits on one host with `in_flight` proposals pending at any time.
void measure_synced_commits(std::ostream& out, std::size_t in_flight) {
    const mangoquay::test::temporary_folder folder;
    mangoquay::transport::event_loop loop;
    driver_settings settings;
    settings.m_self = entry_host_id("a");
    settings.m_data_folder = folder.path().string();
    settings.m_initial_hosts = {entry_host_id("a")};
    raft_driver driver(loop, settings, [](const entry_host_id&, const raft_message&) {});
    const std::string payload(command_bytes, 'x');
    std::size_t committed = 0;
    const auto length = std::chrono::seconds(2);
    std::function<void()> propose = [&] {
        driver.propose(payload, [&](auto index) {
            committed += index ? 1 : 0;
            propose();
        });
    };
    mangoquay::core::time_point began;
    driver.on_leadership_changed([&](bool leading) {
        if (leading) {
            began = loop.now();
            loop.run_after(length, [&] { loop.stop(); });
            for (std::size_t started = 0; started < in_flight; ++started) {
                propose();
            }
        }
    });
    if (!driver.start()) {
        out << "consensus_commits: cannot open the data folder\n";
        return;
    }
    loop.run();
    const double seconds = std::chrono::duration<double>(loop.now() - began).count();
    out << "consensus_commits case=one_host_fsync in_flight=" << in_flight
        << " value=" << static_cast<double>(committed) / seconds << " unit=commits/s\n";
}

// Cell in one process that delivers messages and syncs storage actions immediately.
class synchronous_cell {
public:
    explicit synchronous_cell(unsigned hosts) {
        membership members;
        for (unsigned index = 0; index < hosts; ++index) {
            members.m_voters.insert(at(index));
        }
        recovered_state disk;
        disk.m_hard_state.m_term = raft_term(1);
        disk.m_entries = {{raft_term(1), 1, entry_kind::members, encode_membership(members)}};
        for (unsigned index = 0; index < hosts; ++index) {
            raft_settings settings;
            settings.m_self = at(index);
            settings.m_seed = index + 1;
            m_nodes.emplace(settings.m_self.m_host, raft_node(settings, disk, m_now));
        }
        while (!leader()) {
            advance();
        }
    }

    // Advances all members by one heartbeat interval.
    void advance() {
        m_now += mangoquay::core::milliseconds(100);
        for (auto& [host, node] : m_nodes) {
            if (node.next_tick() <= m_now) {
                step(node, tick{});
            }
        }
    }

    void propose(const std::string& payload) { step(*leader(), propose_batch{{payload}}); }

    raft_node* leader() {
        for (auto& [host, node] : m_nodes) {
            if (node.holds_lease(m_now)) {
                return &node;
            }
        }
        return nullptr;
    }

private:
    static member at(unsigned index) {
        return {entry_host_id(std::string(1, static_cast<char>('a' + index))), disk_id("d")};
    }

    void step(raft_node& node, const raft_event& event) {
        std::uint64_t stored = 0;
        for (raft_action& action : node.step(event, m_now)) {
            if (const auto* appended = std::get_if<append_entries>(&action)) {
                stored = appended->m_sequence;
            } else if (const auto* state = std::get_if<save_hard_state>(&action)) {
                stored = state->m_sequence;
            } else if (const auto* sent = std::get_if<send_message>(&action)) {
                // The wire encoding and decoding is part of the measured cost.
                const auto received = from_wire(to_wire(sent->m_message));
                step(m_nodes.at(sent->m_to), message_received{node.self().m_host, *received});
            }
        }
        if (stored != 0) {
            step(node, storage_synced{stored});
        }
    }

    mangoquay::core::time_point m_now{std::chrono::hours(1)};
    std::map<entry_host_id, raft_node> m_nodes;
};

// Measures the processor time of all members together; the leader's share is smaller.
void measure_processor_time(std::ostream& out, unsigned hosts) {
    constexpr int rounds = 20000;
    constexpr unsigned followers = 275; // 2,200 proxies in 8 cells.
    synchronous_cell cell(hosts);
    double began = processor_seconds();
    for (int round = 0; round < rounds; ++round) {
        cell.advance();
    }
    const double heartbeat = (processor_seconds() - began) / rounds;
    const std::string payload(command_bytes, 'x');
    began = processor_seconds();
    for (int round = 0; round < rounds; ++round) {
        cell.propose(payload);
    }
    const double commit = (processor_seconds() - began) / rounds;
    const raft_log& log = cell.leader()->log();
    began = processor_seconds();
    std::size_t bytes = 0;
    for (int round = 0; round < rounds / 100; ++round) {
        for (unsigned follower = 0; follower < followers; ++follower) {
            bytes += log.slice(log.last_index(), 1).front().m_payload.size();
        }
    }
    const double follower_read = (processor_seconds() - began) / (rounds / 100.0);
    const std::string prefix = "consensus_commits members=" + std::to_string(hosts);
    out << prefix << " case=heartbeat_round value=" << heartbeat * 1e6 << " unit=us\n";
    out << prefix << " case=commit value=" << commit * 1e6 << " unit=us\n";
    out << prefix << " case=read_entry_for_275_followers value=" << follower_read * 1e6
        << " unit=us bytes=" << bytes << '\n';
}

const bool registered = mangoquay::performance::add_measurement("consensus_commits", [](std::ostream& out) {
    for (const std::size_t in_flight : {1U, 16U, 256U}) {
        measure_synced_commits(out, in_flight);
    }
    for (const unsigned hosts : {3U, 5U}) {
        measure_processor_time(out, hosts);
    }
});

} // namespace
