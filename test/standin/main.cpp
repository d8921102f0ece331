// Command line of the PostgreSQL stand-in: postgres_standin --layout FILE. Runs until SIGTERM or SIGINT.
#include "announcer.h"
#include "control.h"
#include "core/log.h"
#include "postgres_standin.h"

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace mangoquay;

std::string layout_path(int argc, char** argv) {
    const option names[] = {{"layout", required_argument, nullptr, 'l'}, {nullptr, 0, nullptr, 0}};
    std::string path;
    for (int code = 0; (code = getopt_long(argc, argv, "", names, nullptr)) != -1;) {
        path = code == 'l' ? optarg : "";
    }
    return path;
}

int fail(const std::string& reason) {
    std::cerr << "postgres_standin: " << reason << '\n';
    return 1;
}

int serve(const standin::layout& configuration, const sigset_t& ending) {
    standin::postgres_standin databases(configuration);
    if (const auto started = databases.start(); !started) {
        return fail(started.reason());
    }
    standin::control_server control(databases);
    if (configuration.m_control_port != 0) {
        if (const auto started = control.start(configuration.m_control_host, configuration.m_control_port);
            !started) {
            return fail(started.reason());
        }
    }
    std::unique_ptr<standin::announcer> started_announcer;
    if (!configuration.m_announce.m_addresses.empty()) {
        started_announcer = std::make_unique<standin::announcer>(databases, configuration.m_announce);
    }
    core::log_line(core::log_level::info, "standin",
                   "started databases=" + std::to_string(configuration.m_endpoints.size()));
    int received = 0;
    sigwait(&ending, &received);
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    // Blocks the signals before any thread starts, so that only sigwait() receives them.
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGTERM);
    sigaddset(&ending, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ending, nullptr);
    const std::string path = layout_path(argc, argv);
    std::ifstream file(path);
    if (!file) {
        std::cerr << "usage: postgres_standin --layout FILE (cannot read '" << path << "')\n";
        return 2;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto configuration = standin::parse_layout(text.str());
    if (!configuration) {
        std::cerr << path << ": " << configuration.reason() << '\n';
        return 2;
    }
    core::configure_log(core::log_level::info, "");
    return serve(*configuration, ending);
}
