// Command line of the soak. Starts real processes, plays everything around them and judges what the stand-ins
// see. Exit codes: 0 all rules held, 1 a rule was broken, 2 the soak could not run.
#include "soak/fault_series.h"
#include "soak/platform_callers.h"
#include "soak/platform_probes.h"

#include <getopt.h>
#include <unistd.h>

#include <charconv>
#include <iostream>

namespace {

using namespace mangoquay::soak;

constexpr const char* usage =
    "usage: mangoquay_soak [--seed N] [--seconds S] [--control N] [--entry N] [--program PATH]\n"
    "       [--shape record|mixed] [--callers N] [--keep] [--unnoticed-freezes]\n"
    "       [--customers]\n"
    "--keep keeps the folder with all logs also if every rule held.\n"
    "--unnoticed-freezes stops entry hosts for 2 to 5 s, which excuses nothing.\n"
    "--customers gives the callers keys of customers with limits, some of which are withdrawn.\n";
constexpr int min_seconds = 30;

struct command_line {
    std::uint64_t m_seed = 1;
    int m_seconds = 60;
    int m_callers = 24;
    std::string m_shape = "mixed";
    bool m_keep = false;
    bool m_unnoticed_freezes = false;
    bool m_customers = false;
    bool m_invalid = false;
    fleet_options m_fleet{"build/mangoquay"};
};

template <class Number>
void parse_number(const char* text, Number& into, bool& invalid) {
    const std::string_view digits(text);
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), into);
    invalid = invalid || failure != std::errc{} || end != digits.data() + digits.size();
}

command_line parse_command_line(int argc, char** argv) {
    const option names[] = {{"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"control", required_argument, nullptr, 'c'},
                            {"entry", required_argument, nullptr, 'e'},
                            {"program", required_argument, nullptr, 'p'},
                            {"shape", required_argument, nullptr, 'h'},
                            {"callers", required_argument, nullptr, 'n'},
                            {"keep", no_argument, nullptr, 'k'},
                            {"unnoticed-freezes", no_argument, nullptr, 'u'},
                            {"customers", no_argument, nullptr, 'm'},
                            {nullptr, 0, nullptr, 0}};
    command_line parsed;
    for (int code = 0; (code = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        switch (code) {
        case 's':
            parse_number(optarg, parsed.m_seed, parsed.m_invalid);
            break;
        case 't':
            parse_number(optarg, parsed.m_seconds, parsed.m_invalid);
            break;
        case 'c':
            parse_number(optarg, parsed.m_fleet.m_control_hosts, parsed.m_invalid);
            break;
        case 'e':
            parse_number(optarg, parsed.m_fleet.m_entry_hosts, parsed.m_invalid);
            break;
        case 'n':
            parse_number(optarg, parsed.m_callers, parsed.m_invalid);
            break;
        case 'p':
            parsed.m_fleet.m_program = optarg;
            break;
        case 'h':
            parsed.m_shape = optarg;
            break;
        case 'k':
            parsed.m_keep = true;
            break;
        case 'u':
            parsed.m_unnoticed_freezes = true;
            break;
        case 'm':
            parsed.m_customers = true;
            break;
        default:
            parsed.m_invalid = true;
        }
    }
    const bool known_shape = parsed.m_shape == "record" || parsed.m_shape == "mixed";
    parsed.m_invalid = parsed.m_invalid || optind != argc || !known_shape || parsed.m_seconds < min_seconds ||
                       parsed.m_fleet.m_control_hosts < 1 || parsed.m_fleet.m_entry_hosts < 1 ||
                       parsed.m_callers < 0 || ::access(parsed.m_fleet.m_program.c_str(), X_OK) != 0;
    return parsed;
}

void start_services(soak_world& world) {
    constexpr int databases = 3;
    for (const char* name : {"orders", "stock"}) {
        world.m_services.push_back(std::make_unique<platform_service>(
            mangoquay::core::service_name(name), world.m_record, world.m_judge, world.m_customer_judge));
        for (int index = 0; index < databases; ++index) {
            world.m_services.back()->add_database("db-" + std::string(name) + std::to_string(index),
                                                  world.m_fleet.next_database_address(), world.m_fleet,
                                                  index == 0);
        }
    }
}

// True when every entry host reports that it is ready.
bool wait_until_ready(soak_world& world, milliseconds limit) {
    const steady_time deadline = steady_clock::now() + limit;
    while (steady_clock::now() < deadline) {
        bool ready = true;
        for (const host_process* host : world.m_fleet.present(host_role::entry)) {
            const auto answer = call_http(world.m_fleet.readiness_address(*host), "GET", "/api/readiness", "",
                                          milliseconds{500});
            ready = ready && answer.m_status == 200;
        }
        if (ready) {
            return true;
        }
        sleep_for(milliseconds{100});
    }
    return false;
}

bool bring_up(soak_world& world, platform_operator& configurations) {
    constexpr milliseconds limit{25000};
    for (const host_role role : {host_role::control, host_role::entry}) {
        for (host_process* host : world.m_fleet.present(role)) {
            world.m_fleet.start(*host, true);
        }
    }
    return configurations.change(steady_clock::now() + limit) && wait_until_ready(world, limit);
}

std::vector<std::thread> start_load(soak_world& world, platform_operator& configurations,
                                    const command_line& options) {
    std::vector<std::thread> threads;
    threads.emplace_back([&configurations] { configurations.run_changes(); });
    threads.emplace_back([&configurations] { configurations.run_reads(); });
    std::uint64_t seed = options.m_seed * 1000;
    for (const host_process* host : world.m_fleet.present(host_role::entry)) {
        threads.emplace_back([&world, host, own = ++seed] { platform_probe(world, *host, own).run(); });
    }
    for (int index = 0; index < options.m_callers; ++index) {
        const bool keeps_sessions = index % 3 != 0;
        threads.emplace_back(
            [&world, keeps_sessions, own = ++seed] { platform_caller(world, own, keeps_sessions).run(); });
    }
    return threads;
}

int play(soak_world& world, const command_line& options) {
    start_services(world);
    const platform_executor executor(world);
    platform_operator configurations(world, options.m_seed);
    if (!bring_up(world, configurations)) {
        std::cerr << "soak: the fleet does not become ready\n";
        return 2;
    }
    auto threads = start_load(world, configurations, options);
    fault_series faults(world, configurations, options.m_seed);
    if (options.m_shape == "record") {
        faults.plan_record_shape(milliseconds{1000} * options.m_seconds);
    } else {
        faults.plan_mixed_shape(milliseconds{1000} * options.m_seconds);
    }
    if (options.m_unnoticed_freezes) {
        faults.plan_unnoticed_freezes(milliseconds{1000} * options.m_seconds);
    }
    faults.run();
    faults.repair_all();
    world.m_stopped = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    constexpr milliseconds read_back_limit{20000};
    configurations.check_read_back(steady_clock::now() + read_back_limit);
    world.m_judge.check_promises();
    return world.m_violations.size() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv) {
    const command_line options = parse_command_line(argc, argv);
    if (options.m_invalid) {
        std::cerr << usage;
        return 2;
    }
    try {
        std::filesystem::path folder;
        int code = 2;
        {
            soak_world world(options.m_seed, options.m_fleet, options.m_customers);
            folder = world.m_record.folder();
            code = play(world, options);
            world.m_violations.print();
            std::cout << "soak: seed=" << options.m_seed << " shape=" << options.m_shape << " "
                      << (code == 0   ? "held"
                          : code == 1 ? "broken"
                                      : "could not run")
                      << " " << world.m_judge.summary() << " " << world.m_customer_judge.summary() << "\n";
        }
        if (code == 0 && !options.m_keep) {
            std::filesystem::remove_all(folder);
        } else {
            std::cout << "soak: logs in " << folder.string() << "\n";
        }
        return code;
    } catch (const std::exception& error) {
        std::cerr << "soak: " << error.what() << "\n";
        return 2;
    }
}
