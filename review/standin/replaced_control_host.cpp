// A control host is replaced by a new one; then another control host loses its disk. Rule CONFIG.
#include "cases.h"
#include "world.h"

#include <csignal>

namespace cases {

using namespace world;

int replaced_control_host(bool trouble) {
    deployment all(3, 1, group_rules{});
    if (!all.bring_up() || !all.replace_config(7, 5000)) {
        record("the deployment did not start to serve");
        return 2;
    }
    sleep_ms(3000);
    const machine* leader = all.leader();
    if (leader == nullptr) {
        return 2;
    }
    machine* replaced = nullptr;
    machine* wiped = nullptr;
    for (machine* host : all.m_control) {
        if (host != leader) {
            (replaced == nullptr ? replaced : wiped) = host;
        }
    }
    machine& successor = all.add_machine(false, replaced->m_zone);
    all.start(successor, false);
    all.m_control.push_back(&successor);
    sleep_ms(5000); // catch-up-s is 4.
    all.signal(*replaced, SIGTERM);
    if (!all.wait_for_end(*replaced, 6000)) {
        return 2;
    }
    all.m_gone.insert(replaced);
    sleep_ms(1000);
    if (trouble) {
        all.signal(*wiped, SIGKILL);
        all.lose_disk(*wiped);
        sleep_ms(700);
        all.start(*wiped, false);
    }
    const double since = seconds_since_start();
    std::optional<std::uint64_t> read;
    // The operator asks again and again, for far longer than stability-window-ms and recovery-s together.
    all.wait_until(
        [&] {
            sleep_ms(500);
            read = all.read_config();
            record("config read back: " + (read ? "version " + std::to_string(*read) : std::string("no answer")));
            return read.has_value() && seconds_since_start() > since + 6;
        },
        50000);
    if (!read) {
        record("CONFIG: read back at the end, the acknowledged config 7 doesn't come");
        return 1;
    }
    if (*read < 7) {
        record("CONFIG: read back at the end, the config is older than the acknowledged 7");
        return 1;
    }
    return 0;
}

} // namespace cases
