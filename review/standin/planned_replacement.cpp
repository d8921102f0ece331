// A primary leaves as planned while one replica receives nothing. Rule LOST, `sync-replicas` 1.
#include "cases.h"
#include "world.h"

#include <algorithm>

namespace cases {

using namespace world;

namespace {

// Transactions that read, pause and read again, as requesters with long sessions do.
void read_in_transactions(const address& target, std::atomic<bool>& stop) {
    session caller;
    while (!stop) {
        if (!caller.is_open() && !caller.open(target, "stock")) {
            sleep_ms(200);
            continue;
        }
        bool failed = !caller.query(next_id(), "BEGIN READ", 3000).m_error.empty();
        for (int step = 0; step < 3 && !failed && !stop; ++step) {
            const answer got = caller.query(next_id(), "READ 1a4", 3000);
            failed = !got.m_answered || !got.m_error.empty();
            sleep_ms(600);
        }
        if (caller.is_open()) {
            caller.query(next_id(), failed ? "ROLLBACK" : "COMMIT", 3000);
        }
        if (failed) {
            sleep_ms(100);
        }
    }
}

void write_singly(deployment& all, const address& target, int number, std::atomic<bool>& stop) {
    session caller;
    while (!stop) {
        if (!caller.is_open() && !caller.open(target, "tray")) {
            sleep_ms(100);
            continue;
        }
        const std::string id = next_id();
        const answer got = caller.query(id, "WRITE tray" + std::to_string(number) + " " + id, 1000);
        const std::string outcome = !got.m_answered ? "no answer" : got.m_error.empty() ? "acknowledged" : got.m_error;
        record("write " + id + " " + outcome + " " + got.m_position);
        if (got.m_answered && got.m_error.empty()) {
            const std::lock_guard lock(all.m_group.m_mutex);
            all.m_group.m_acknowledged[id] = seconds_since_start();
        }
        sleep_ms(40);
    }
}

} // namespace

int planned_replacement(bool trouble) {
    constexpr int readers_per_host = 30;
    group_rules rules;
    rules.m_sync_replicas = 1;
    deployment all(3, 3, rules);
    if (!all.bring_up()) {
        record("the deployment did not start to serve");
        return 2;
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> requesters;
    for (int index = 0; index < 3 * readers_per_host; ++index) {
        requesters.emplace_back(
            [&, index] { read_in_transactions(all.caller_address(*all.m_entries[index % 3]), stop); });
    }
    for (int index = 0; index < 3; ++index) {
        requesters.emplace_back(
            [&, index] { write_singly(all, all.caller_address(*all.m_entries[index]), index, stop); });
    }
    sleep_ms(5000);
    database& old_primary = *all.m_group.primary();
    database& deaf = *all.m_group.m_databases[2];
    if (trouble) {
        const std::lock_guard lock(all.m_group.m_mutex);
        deaf.m_deaf = true;
        record(deaf.m_id + " receives nothing from now on");
    }
    sleep_ms(2500);
    {
        const std::lock_guard lock(all.m_group.m_mutex);
        old_primary.m_draining = true;
        old_primary.m_report_now = true;
        all.m_group.m_changed.notify_all();
        record(old_primary.m_id + ", the primary, is to leave and reports draining");
    }
    sleep_ms(4000); // 6.5 s after the replica fell silent.
    {
        const std::lock_guard lock(all.m_group.m_mutex);
        deaf.m_deaf = false;
        all.m_group.replicate();
    }
    sleep_ms(6000);
    stop = true;
    for (std::thread& one : requesters) {
        one.join();
    }
    const std::lock_guard lock(all.m_group.m_mutex);
    for (const auto& one : all.m_group.m_databases) {
        record(one->m_id + " refused " + std::to_string(one->m_refused_connections) + " connections with TOOMANY");
    }
    record("promotions " + std::to_string(all.m_group.m_promotions) + ", acknowledged commits " +
           std::to_string(all.m_group.m_acknowledged.size()) + ", of these missing at a promoted database " +
           std::to_string(all.m_group.m_lost.size()));
    constexpr std::size_t most_listed = 10;
    for (std::size_t index = 0; index < std::min(most_listed, all.m_group.m_lost.size()); ++index) {
        record("LOST: commit " + all.m_group.m_lost[index] +
               " was acknowledged and isn't in the log of the promoted database");
    }
    if (all.m_group.m_promotions == 0 || all.m_group.m_acknowledged.empty()) {
        return 2;
    }
    return all.m_group.m_lost.empty() ? 0 : 1;
}

} // namespace cases
