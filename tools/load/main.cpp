// Command line of the load tool. Prints one JSON summary; exits 1 on a violation or an unfinished run, 2 on
// wrong use.
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
    "--baseline LAYOUT in place of --proxy: the baseline of docs/design.md 1.2 against the stand-in's "
    "databases.\n"
    "--group names each group that is read at the end; without it stored rows are not checked.\n";

struct command_line {
    std::string m_scenario;
    std::string m_service;
    std::string m_baseline; // layout file of the stand-in
    double m_duration_s = 0;
    load::driver_options m_options;
    bool m_wrong = false;
};

command_line parse(int argc, char** argv) {
    const option names[] = {
        {"scenario", required_argument, nullptr, 's'}, {"proxy", required_argument, nullptr, 'p'},
        {"key", required_argument, nullptr, 'k'},      {"only-group", required_argument, nullptr, 'o'},
        {"group", required_argument, nullptr, 'g'},    {"duration", required_argument, nullptr, 'd'},
        {"service", required_argument, nullptr, 'v'},  {"rate-factor", required_argument, nullptr, 'f'},
        {"seed", required_argument, nullptr, 'n'},     {"run", required_argument, nullptr, 'r'},
        {"baseline", required_argument, nullptr, 'b'}, {nullptr, 0, nullptr, 0}};
    command_line read;
    const auto started = std::chrono::system_clock::now().time_since_epoch();
    read.m_options.m_run =
        "r" + std::to_string(std::chrono::duration_cast<core::milliseconds>(started).count());
    for (int code = 0; (code = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        switch (code) {
        case 's':
            read.m_scenario = optarg;
            break;
        case 'b':
            read.m_baseline = optarg;
            // The baseline has its own proxies; the address is not used.
            read.m_options.m_proxies = {"baseline"};
            break;
        case 'p':
            read.m_options.m_proxies.emplace_back(optarg);
            break;
        case 'k':
            read.m_options.m_key = optarg;
            break;
        case 'g':
            read.m_options.m_groups.emplace_back(optarg);
            break;
        case 'o':
            read.m_options.m_only_group = optarg;
            break;
        case 'd':
            read.m_duration_s = std::strtod(optarg, nullptr);
            break;
        case 'v':
            read.m_service = optarg;
            break;
        case 'f':
            read.m_options.m_rate_factor = std::strtod(optarg, nullptr);
            break;
        case 'n':
            read.m_options.m_seed = std::strtoull(optarg, nullptr, 10);
            break;
        case 'r':
            read.m_options.m_run = optarg;
            break;
        default:
            read.m_wrong = true;
        }
    }
    read.m_wrong = read.m_wrong || read.m_scenario.empty() || read.m_options.m_proxies.empty();
    return read;
}

} // namespace

int main(int argc, char** argv) {
    const command_line chosen = parse(argc, argv);
    std::ifstream file(chosen.m_scenario);
    if (chosen.m_wrong || !file) {
        std::cerr << usage;
        return 2;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto wanted = load::parse_scenario(text.str());
    if (!wanted) {
        std::cerr << chosen.m_scenario << ": " << wanted.reason() << '\n';
        return 2;
    }
    wanted->m_service = chosen.m_service.empty() ? wanted->m_service : chosen.m_service;
    wanted->m_duration_s = chosen.m_duration_s > 0 ? chosen.m_duration_s : wanted->m_duration_s;
    std::unique_ptr<load::caller_transport> transport;
    if (chosen.m_baseline.empty()) {
        transport = std::make_unique<load::http_client>();
    } else if (auto databases = load::read_databases(chosen.m_baseline)) {
        transport = std::make_unique<load::baseline>(*databases);
    } else {
        std::cerr << databases.reason() << '\n';
        return 2;
    }
    load::driver driver(*wanted, chosen.m_options, *transport);
    const auto finished = driver.run();
    nlohmann::json summary = driver.figures().to_json(driver.violations());
    summary["scenario"] = wanted->m_name;
    summary["finished"] = static_cast<bool>(finished);
    summary["failure"] = finished.reason();
    std::cout << summary.dump(2) << '\n';
    return finished && driver.violations().total() == 0 ? 0 : 1;
}
