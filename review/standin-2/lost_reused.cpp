// Case: a replica that has received every acknowledged commit is lost for good, and a database of another service
// starts at its address; then the primary crashes while the other replica receives nothing.
#include "case.h"

namespace review {

int run_lost_reused(record& log, const run_options& options) {
    world all(log, options, 3, 2, 1);
    service& group = *all.group;
    if (!all.is_up) {
        return could_not_run;
    }
    database& other = *group.databases[2];
    database& copy = *group.databases[1];
    database& primary = *group.databases[0];
    const auto set_deaf = [&](bool deaf) {
        const std::lock_guard lock(group.mutex);
        other.deaf = deaf;
        log.write("database " + other.id + (deaf ? " receives nothing from now on" : " receives again"));
    };
    service second(log, second_service, 0, group.control);
    second.databases.push_back(std::make_unique<database>(
        second, "b-1", address{all.hosts.ip(36), all.hosts.used_ports().database}, "zone-a", true));
    second.databases.push_back(std::make_unique<database>(second, "b-2", copy.at, "zone-b", false));
    second.databases[0]->start(false);
    all.start_writers(2);
    sleep_s(4);
    const std::size_t before = all.acknowledged;
    if (before == 0) {
        log.write("no write was acknowledged before the disruption");
        return could_not_run;
    }
    if (options.trouble) {
        set_deaf(true);
        sleep_s(2.5);
        copy.crash(); // For good.
        sleep_s(2.2); // reuse-delay-s is 2.
        if (options.reuse) {
            second.databases[1]->start(false);
        }
        sleep_s(0.5);
        primary.crash();
        sleep_s(1.3);
        set_deaf(false);
        sleep_s(5.7);
        primary.start(false); // "A primary that crashed comes back with its log".
        sleep_s(6);
    } else {
        sleep_s(12);
    }
    all.stop_writers();
    log.write("acknowledged writes: " + std::to_string(all.acknowledged) + ", of them before the disruption: " +
              std::to_string(before) + "; promotions: " + std::to_string(group.promotions()) +
              "; acknowledged commits that a promoted database lacked: " + std::to_string(group.lost_commits()));
    return group.lost_commits() > 0 ? broken : held;
}

} // namespace review
