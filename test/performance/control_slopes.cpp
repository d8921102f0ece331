// Measures the cost of the control plane per log entry, endpoint and heartbeat, for two fleet sizes. The
// capacity of a control host is derived from these costs.
#include "measurement.h"

#include "control/apply.h"
#include "control/codec.h"
#include "failover/failover_core.h"
#include "membership/membership_core.h"
#include "membership/report_messages.h"
#include "transport/message_bus.h"

#include <malloc.h>

#include <chrono>
#include <ctime>
#include <string>

using namespace mangoquay;

namespace {

struct fleet_size {
    int m_proxies = 0;
    int m_groups = 0; // Each group has 3 endpoints.
};

// One of eight cells, and the whole fleet in a single cell.
constexpr fleet_size one_cell{275, 1584};
constexpr fleet_size whole_fleet{2200, 12667};

core::entry_host_id proxy_name(int index) {
    return core::entry_host_id("proxy-" + std::to_string(index));
}

core::endpoint_id endpoint_name(int group, int index) {
    return core::endpoint_id("group-" + std::to_string(group) + "-" +
                             std::string(1, static_cast<char>('a' + index)));
}

double processor_seconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

template <class Operation>
double mean_microseconds(int repetitions, Operation operation) {
    const double start = processor_seconds();
    for (int index = 0; index < repetitions; ++index) {
        operation(index);
    }
    return (processor_seconds() - start) * 1e6 / repetitions;
}

std::vector<control::command> fleet_commands(const fleet_size& size) {
    std::vector<control::command> commands;
    for (int index = 0; index < size.m_proxies; ++index) {
        control::register_proxy change{proxy_name(index), {}};
        change.m_record.m_zone = core::availability_zone("zone-" + std::to_string(index % 39));
        change.m_record.m_peer_address = {"127.0.0.1", 7101};
        change.m_record.m_http_address = {"127.0.0.1", 8101};
        change.m_record.m_incarnation = core::incarnation(1);
        commands.emplace_back(change);
    }
    std::uint64_t epoch = 0;
    for (int group = 0; group < size.m_groups; ++group) {
        for (int index = 2; index >= 0; --index) {
            control::announce_endpoint change;
            change.m_endpoint = endpoint_name(group, index);
            change.m_group = core::group_id("group-" + std::to_string(group));
            change.m_zone = core::availability_zone("zone-" + std::to_string((group + index) % 39));
            change.m_address = {"127.0.0.1", 5432};
            change.m_role = index == 0 ? control::endpoint_role::primary : control::endpoint_role::replica;
            change.m_term = core::term(1);
            change.m_slots = 5;
            change.m_connections = 30;
            commands.emplace_back(change);
            commands.emplace_back(control::assign_owner{change.m_endpoint,
                                                        proxy_name((group * 3 + index) % size.m_proxies),
                                                        core::owner_epoch(++epoch)});
        }
    }
    return commands;
}

membership::heartbeat heartbeat_of(const control::control_state& state, int proxy, std::uint64_t number) {
    membership::heartbeat heartbeat;
    heartbeat.m_host = proxy_name(proxy);
    heartbeat.m_incarnation = core::incarnation(1);
    heartbeat.m_number = number;
    heartbeat.m_applied = state.m_revision;
    for (const auto& [endpoint, record] : state.m_endpoints) {
        if (record.m_owner == heartbeat.m_host) {
            membership::endpoint_report report;
            report.m_endpoint = endpoint;
            report.m_reachable = true;
            report.m_lock_held = true;
            report.m_position = {core::term(1), core::log_position(1000)};
            heartbeat.m_health.push_back(report);
            heartbeat.m_renewed.push_back(endpoint);
        }
    }
    return heartbeat;
}

void print(std::ostream& out, const char* name, const char* size, double value, const char* unit) {
    out << "control_slopes case=" << name << " size=" << size << " value=" << value << " unit=" << unit
        << '\n';
}

void measure_log(std::ostream& out, const char* label, const fleet_size& size,
                 control::control_state& state) {
    const auto commands = fleet_commands(size);
    std::vector<std::string> payloads;
    std::size_t bytes = 0;
    for (const control::command& change : commands) {
        payloads.push_back(control::encode(change));
        bytes += payloads.back().size();
    }
    print(out, "entry_bytes", label, static_cast<double>(bytes) / static_cast<double>(payloads.size()), "B");
    const std::size_t before = mallinfo2().uordblks;
    std::uint64_t revision = 0;
    const double apply = mean_microseconds(static_cast<int>(payloads.size()), [&](int index) {
        const auto change = control::decode_command(payloads[static_cast<std::size_t>(index)]);
        control::apply(state, *change, core::revision(++revision));
    });
    print(out, "decode_and_apply_entry", label, apply, "us");
    print(out, "state_memory", label, static_cast<double>(mallinfo2().uordblks - before) / 1e6, "MB");
    const std::string snapshot = control::encode(state);
    print(out, "snapshot_bytes", label, static_cast<double>(snapshot.size()) / 1e6, "MB");
    print(out, "snapshot_encode", label, mean_microseconds(3, [&](int) { control::encode(state); }) / 1e3,
          "ms");
    print(out, "snapshot_decode", label,
          mean_microseconds(3, [&](int) { control::decode_state(snapshot); }) / 1e3, "ms");
}

void measure_leader(std::ostream& out, const char* label, const fleet_size& size,
                    const control::control_state& state) {
    auto now = core::time_point{} + std::chrono::hours(1);
    membership::membership_core membership;
    failover::failover_core failover;
    membership.on_elected(now, state);
    failover.on_elected(now, state);
    std::vector<membership::heartbeat> heartbeats;
    heartbeats.reserve(static_cast<std::size_t>(size.m_proxies));
    for (int proxy = 0; proxy < size.m_proxies; ++proxy) {
        heartbeats.push_back(heartbeat_of(state, proxy, 1));
    }
    wire::envelopeT envelope;
    envelope.body.Set(membership::to_wire(heartbeats.front()));
    const auto packed = transport::pack_envelope(envelope);
    print(out, "heartbeat_bytes", label, static_cast<double>(packed.size()), "B");
    print(out, "heartbeat_encode", label,
          mean_microseconds(1000,
                            [&](int) {
                                wire::envelopeT one;
                                one.body.Set(membership::to_wire(heartbeats.front()));
                                transport::pack_envelope(one);
                            }),
          "us");
    const double handle_time = mean_microseconds(3 * size.m_proxies, [&](int index) {
        auto& heartbeat = heartbeats[static_cast<std::size_t>(index % size.m_proxies)];
        ++heartbeat.m_number;
        const auto received = transport::unpack_envelope(packed);
        membership.on_heartbeat(now, state, heartbeat, true);
        failover.on_heartbeat(now, state, heartbeat);
    });
    print(out, "leader_handles_heartbeat", label, handle_time, "us");
    print(out, "membership_tick", label,
          mean_microseconds(10,
                            [&](int) {
                                now += core::milliseconds(100);
                                membership.tick(now, state);
                            }) /
              1e3,
          "ms");
    print(out, "failover_tick", label,
          mean_microseconds(10,
                            [&](int) {
                                now += core::milliseconds(50);
                                failover.tick(now, state, membership.leases());
                            }) /
              1e3,
          "ms");
}

template <class Message>
double packed_bytes(Message message) {
    wire::envelopeT envelope;
    envelope.body.Set(std::move(message));
    return static_cast<double>(transport::pack_envelope(envelope).size() + transport::frame_header_bytes);
}

void measure_messages(std::ostream& out) {
    wire::lease_grantT grant;
    grant.leader = "control-01";
    wire::position_queryT query;
    query.group = "group-12345";
    query.endpoint = "group-12345-a";
    wire::position_answerT answer;
    answer.group = "group-12345";
    answer.position = std::make_unique<wire::wire_positionT>();
    answer.position->lsn = 1000;
    print(out, "lease_grant_frame", "any", packed_bytes(std::move(grant)), "B");
    print(out, "position_query_frame", "any", packed_bytes(std::move(query)), "B");
    print(out, "position_answer_frame", "any", packed_bytes(std::move(answer)), "B");
}

void measure(std::ostream& out, const char* label, const fleet_size& size) {
    control::control_state state = control::initial_state();
    measure_log(out, label, size, state);
    measure_leader(out, label, size, state);
}

const bool registered = performance::add_measurement("control_slopes", [](std::ostream& out) {
    measure_messages(out);
    measure(out, "cell_275_proxies_4752_endpoints", one_cell);
    measure(out, "fleet_2200_proxies_38001_endpoints", whole_fleet);
});

} // namespace
