// Measures routing decisions per second of CPU time on one core, by the number of endpoints in the control
// state: reads with a token, writes, and whole statements through the dispatcher with an owner that answers
// immediately.
#include "../support/dispatcher_harness.h"
#include "measurement.h"
#include "routing/choose_endpoint.h"

#include <ctime>

using namespace mangoquay;
using namespace mangoquay::test;

namespace {

constexpr int endpoints_per_group = 3;
constexpr int fleet_sizes[] = {10, 1000, 38000};
constexpr std::chrono::seconds run_length{1};

double processor_seconds() {
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
}

template <class Operation>
void report(std::ostream& out, const std::string& name, int endpoints, const Operation& operation) {
    std::uint64_t done = 0;
    const double start = processor_seconds();
    const double until = start + static_cast<double>(run_length.count());
    while (processor_seconds() < until) {
        for (int batch = 0; batch < 64; ++batch) {
            operation(done++);
        }
    }
    const double rate = static_cast<double>(done) / (processor_seconds() - start);
    out << name << " case=endpoints_" << endpoints << " value=" << static_cast<std::uint64_t>(rate)
        << " unit=per_core_second\n";
}

void measure_decisions(std::ostream& out, int endpoints, routing::request_purpose purpose, const char* name) {
    const int groups = (endpoints + endpoints_per_group - 1) / endpoints_per_group;
    const control::control_state state = fleet_state(groups);
    routing::position_table positions;
    for (int group = 0; group < groups; ++group) {
        for (int member = 0; member < endpoints_per_group; ++member) {
            positions.set_position(endpoint_name(group, member), make_position(1, 1000));
        }
    }
    routing::route_request request;
    request.m_service = service;
    request.m_purpose = purpose;
    request.m_zone = zones[1];
    request.m_view_current = true;
    request.m_lease_valid = true;
    request.m_min_position = make_position(1, 900);
    const core::time_point now{std::chrono::hours(1)};
    request.m_deadline = core::deadline_after(now, std::chrono::seconds(5));
    std::uint64_t refused = 0;
    report(out, name, endpoints, [&](std::uint64_t number) {
        request.m_group =
            state.m_services.at(service).m_groups[number * 7919 % static_cast<unsigned>(groups)];
        request.m_random = number;
        refused += routing::choose_endpoint(state, positions, request, now).refused() ? 1 : 0;
    });
    if (refused > 0) {
        out << name << " case=endpoints_" << endpoints << " value=" << refused << " unit=refused\n";
    }
}

void measure_dispatch(std::ostream& out, int endpoints) {
    const int groups = (endpoints + endpoints_per_group - 1) / endpoints_per_group;
    dispatcher_harness harness({}, groups);
    harness.m_on_send = [](const sent_statement& sent) {
        sent.answer(core::verdict::ran, core::reason::none, make_position(1, 1000));
    };
    const std::string token = harness.token(make_position(1, 900));
    report(out, "dispatched_read", endpoints, [&](std::uint64_t number) {
        harness.send(core::statement_kind::read, token, [&](routing::entry_statement& statement) {
            const auto& all = harness.m_state.m_services.at(service).m_groups;
            statement.m_request.m_group = all[number * 7919 % all.size()];
        });
        harness.m_sent.clear();
        harness.m_answers.clear();
        harness.m_timers.clear();
    });
}

const bool added = performance::add_measurement("routing_decisions", [](std::ostream& out) {
    for (const int endpoints : fleet_sizes) {
        measure_decisions(out, endpoints, routing::request_purpose::read, "read_decision");
        measure_decisions(out, endpoints, routing::request_purpose::write, "write_decision");
        measure_dispatch(out, endpoints);
    }
});

} // namespace
