// Command line of the load tool. Prints one JSON summary. Exit codes: 1 after a violation or an unfinished
// run, 2 for invalid arguments.
#include "baseline.h"
#include "driver.h"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace {

using namespace mangoquay;

constexpr const char* usage =
    "usage: mangoquay_load --scenario FILE --proxy URL... --key KEY [--group ID...] [--duration SECONDS]\n"
    "       [--service NAME] [--only-group ID] [--rate-factor F] [--seed N] [--run NAME]\n"
    "--baseline LAYOUT replaces --proxy: sends statements to the databases of the stand-in through "
    "independent\n"
    "       proxies without coordination, for comparison.\n"
    "--group names a group to read after the run; without any, stored rows are not checked.\n";

struct command_line {
    std::string m_scenario;
    std::string m_service;
    std::string m_baseline; // Layout file of the database stand-in.
    double m_duration_s = 0;
    load::driver_options m_options;
    bool m_invalid = false;
};

command_line parse_command_line(int argc, char** argv) {
    const option names[] = {
        {"scenario", required_argument, nullptr, 's'}, {"proxy", required_argument, nullptr, 'p'},
        {"key", required_argument, nullptr, 'k'},      {"only-group", required_argument, nullptr, 'o'},
        {"group", required_argument, nullptr, 'g'},    {"duration", required_argument, nullptr, 'd'},
        {"service", required_argument, nullptr, 'v'},  {"rate-factor", required_argument, nullptr, 'f'},
        {"seed", required_argument, nullptr, 'n'},     {"run", required_argument, nullptr, 'r'},
        {"baseline", required_argument, nullptr, 'b'}, {nullptr, 0, nullptr, 0}};
    command_line parsed;
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    parsed.m_options.m_run_id =
        "r" + std::to_string(std::chrono::duration_cast<core::milliseconds>(started).count());
    for (int code = 0; (code = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        switch (code) {
        case 's':
            parsed.m_scenario = optarg;
            break;
        case 'b':
            parsed.m_baseline = optarg;
            // The baseline has its own proxies, so the address is a placeholder.
            parsed.m_options.m_proxies = {"baseline"};
            break;
        case 'p':
            parsed.m_options.m_proxies.emplace_back(optarg);
            break;
        case 'k':
            parsed.m_options.m_key = optarg;
            break;
        case 'g':
            parsed.m_options.m_groups.emplace_back(optarg);
            break;
        case 'o':
            parsed.m_options.m_only_group = optarg;
            break;
        case 'd':
            parsed.m_duration_s = std::strtod(optarg, nullptr);
            break;
        case 'v':
            parsed.m_service = optarg;
            break;
        case 'f':
            parsed.m_options.m_rate_factor = std::strtod(optarg, nullptr);
            break;
        case 'n':
            parsed.m_options.m_seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'r':
            parsed.m_options.m_run_id = optarg;
            break;
        default:
            parsed.m_invalid = true;
        }
    }
    parsed.m_invalid = parsed.m_invalid || parsed.m_scenario.empty() || parsed.m_options.m_proxies.empty();
    return parsed;
}

} // namespace

int main(int argc, char** argv) {
    const command_line arguments = parse_command_line(argc, argv);
    std::ifstream file(arguments.m_scenario);
    if (arguments.m_invalid || !file) {
        std::cerr << usage;
        return 2;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto scenario = load::parse_scenario(text.str());
    if (!scenario) {
        std::cerr << arguments.m_scenario << ": " << scenario.reason() << '\n';
        return 2;
    }
    scenario->m_service = arguments.m_service.empty() ? scenario->m_service : arguments.m_service;
    scenario->m_duration_s = arguments.m_duration_s > 0 ? arguments.m_duration_s : scenario->m_duration_s;
    std::unique_ptr<load::caller_transport> transport;
    if (arguments.m_baseline.empty()) {
        transport = std::make_unique<load::http_client>();
    } else if (auto databases = load::read_databases(arguments.m_baseline)) {
        transport = std::make_unique<load::baseline_transport>(*databases);
    } else {
        std::cerr << databases.reason() << '\n';
        return 2;
    }
    load::driver driver(*scenario, arguments.m_options, *transport);
    const auto finished = driver.run();
    nlohmann::json summary = driver.results().to_json(driver.violations());
    summary["scenario"] = scenario->m_name;
    summary["finished"] = static_cast<bool>(finished);
    summary["failure"] = finished.reason();
    std::cout << summary.dump(2) << '\n';
    return finished && driver.violations().total() == 0 ? 0 : 1;
}
