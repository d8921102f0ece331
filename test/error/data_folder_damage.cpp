// Guards against the silent loss of synced entries, against starting with a damaged data folder, and against
// two processes that write to one folder.
#include "consensus/durable_log.h"
#include "consensus/log_record.h"
#include "support/recorded_syncs.h"
#include "support/temporary_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

using namespace mangoquay::consensus;

namespace {

log_entry entry_at(log_index index, std::uint64_t term = 1) {
    return {raft_term(term), index, entry_kind::command, "payload " + std::to_string(index)};
}

std::string read(const std::string& path) {
    std::ostringstream content;
    content << std::ifstream(path, std::ios::binary).rdbuf();
    return content.str();
}

void write(const std::string& path, const std::string& content) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << content;
}

void flip_byte(const std::string& path, std::size_t offset) {
    std::string content = read(path);
    content.at(offset) = static_cast<char>(content.at(offset) ^ 0x20);
    write(path, content);
}

std::unique_ptr<durable_log> open(const std::string& folder) {
    auto opened = durable_log::open(folder);
    CPPUNIT_ASSERT_MESSAGE(opened.reason(), static_cast<bool>(opened));
    return std::move(*opened);
}

// Writes `count` entries and syncs after each.
void write_synced_entries(const std::string& folder, log_index count) {
    const auto log = open(folder);
    for (log_index index = 1; index <= count; ++index) {
        CPPUNIT_ASSERT(log->append({entry_at(index)}));
        CPPUNIT_ASSERT(log->sync());
    }
}

std::size_t recovered_count(const std::string& folder) {
    return open(folder)->take_recovered().m_entries.size();
}

std::string open_failure(const std::string& folder) {
    const auto opened = durable_log::open(folder);
    return opened ? "" : opened.reason();
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

class data_folder_damage : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(data_folder_damage);
    CPPUNIT_TEST(everything_synced_is_recovered);
    CPPUNIT_TEST(later_entries_replace_earlier_ones);
    CPPUNIT_TEST(torn_tail_is_truncated);
    CPPUNIT_TEST(damage_in_synced_records_is_refused);
    CPPUNIT_TEST(any_single_damaged_byte_is_noticed);
    CPPUNIT_TEST(damaged_snapshot_is_refused);
    CPPUNIT_TEST(damaged_or_missing_hard_state_is_refused);
    CPPUNIT_TEST(log_that_starts_after_the_snapshot_is_refused);
    CPPUNIT_TEST(crash_between_snapshot_and_log_is_recovered);
    CPPUNIT_TEST(second_process_is_refused);
    CPPUNIT_TEST(folders_that_it_creates_survive_a_loss_of_power);
    CPPUNIT_TEST(a_folder_that_was_created_before_survives_a_loss_of_power);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_folder = std::make_unique<mangoquay::test::temporary_folder>(); }
    void tearDown() override { m_folder.reset(); }

    void everything_synced_is_recovered() {
        const snapshot taken{
            3, raft_term(1), {{{mangoquay::core::entry_host_id("a"), disk_id("x")}}, {}}, "state"};
        const hard_state state{raft_term(4), {mangoquay::core::entry_host_id("b"), disk_id("y")}};
        disk_id disk;
        {
            const auto log = open(path());
            disk = log->take_recovered().m_disk;
            CPPUNIT_ASSERT(log->append({entry_at(1), entry_at(2), entry_at(3)}));
            CPPUNIT_ASSERT(log->save_hard_state(state));
            CPPUNIT_ASSERT(log->save_snapshot(taken, {entry_at(3)}));
            CPPUNIT_ASSERT(log->append({entry_at(4, 2)}));
            CPPUNIT_ASSERT(log->sync());
        }
        const recovered_state found = open(path())->take_recovered();
        CPPUNIT_ASSERT(found.m_disk == disk);
        CPPUNIT_ASSERT(found.m_hard_state == state);
        CPPUNIT_ASSERT(found.m_snapshot == taken);
        CPPUNIT_ASSERT((found.m_entries == std::vector{entry_at(3), entry_at(4, 2)}));
    }

    void later_entries_replace_earlier_ones() {
        write_synced_entries(path(), 4);
        CPPUNIT_ASSERT(open(path())->append({entry_at(2, 5)}));
        CPPUNIT_ASSERT(
            (open(path())->take_recovered().m_entries == std::vector{entry_at(1), entry_at(2, 5)}));
    }

    // A crash during an append leaves a torn tail, which must not prevent a restart.
    void torn_tail_is_truncated() {
        write_synced_entries(path(), 3);
        const std::string intact = read(log());
        const std::string torn = encode_record(entry_at(4), intact.size());
        for (const std::size_t length : {1U, 4U, 13U, 60U}) {
            write(log(), intact + torn.substr(0, length));
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), recovered_count(path()));
        }
        // After a crash a file system may leave a block of zeros and a later page of the same batch.
        write(log(), intact + std::string(torn.size(), '\0') + encode_record(entry_at(5), intact.size()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), recovered_count(path()));
        write_synced_entries(path(), 0);
        CPPUNIT_ASSERT(open(path())->append({entry_at(4)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), recovered_count(path()));
    }

    void damage_in_synced_records_is_refused() {
        write_synced_entries(path(), 5);
        flip_byte(log(), read(log()).size() / 2);
        CPPUNIT_ASSERT(contains(open_failure(path()), "log is damaged at byte"));
    }

    // A flipped bit in a synced record must make recovery fail instead of yielding fewer or different
    // entries.
    void any_single_damaged_byte_is_noticed() {
        write_synced_entries(path(), 3);
        const std::string intact = read(log());
        const std::size_t marker_bytes = encode_sync_marker(0).size();
        CPPUNIT_ASSERT(rc::check("any damaged byte is noticed", [&] {
            std::string damaged = intact;
            // The sync marker at the end is not synced itself.
            damaged[*rc::gen::inRange<std::size_t>(0, intact.size() - marker_bytes)] ^=
                1 << *rc::gen::inRange(0, 8);
            RC_ASSERT(!scan_log(damaged));
        }));
    }

    void damaged_snapshot_is_refused() {
        CPPUNIT_ASSERT(open(path())->save_snapshot({2, raft_term(1), {}, "state"}, {}));
        flip_byte(path() + "/snapshot", 30);
        CPPUNIT_ASSERT(contains(open_failure(path()), "snapshot is damaged"));
    }

    void damaged_or_missing_hard_state_is_refused() {
        write_synced_entries(path(), 1);
        flip_byte(path() + "/hard_state", 20);
        CPPUNIT_ASSERT(contains(open_failure(path()), "hard_state is damaged"));
        std::filesystem::remove(path() + "/hard_state");
        CPPUNIT_ASSERT(contains(open_failure(path()), "hard_state is missing"));
    }

    void log_that_starts_after_the_snapshot_is_refused() {
        {
            const auto folder = open(path());
            CPPUNIT_ASSERT(folder->save_snapshot({9, raft_term(1), {}, "state"}, {}));
            CPPUNIT_ASSERT(folder->append({entry_at(10)}));
        }
        std::filesystem::remove(path() + "/snapshot");
        CPPUNIT_ASSERT(contains(open_failure(path()), "log begins at entry 10"));
        std::filesystem::remove(log());
        CPPUNIT_ASSERT(contains(open_failure(path()), "log is missing"));
    }

    // A crash between installing a snapshot and rewriting the log leaves a log that ends before the snapshot.
    void crash_between_snapshot_and_log_is_recovered() {
        write_synced_entries(path(), 3);
        const std::string old_log = read(log());
        CPPUNIT_ASSERT(open(path())->install_snapshot({8, raft_term(2), {}, "state"}));
        write(log(), old_log);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), recovered_count(path()));
        CPPUNIT_ASSERT(open(path())->append({entry_at(9, 2)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), recovered_count(path()));
    }

    // A folder whose entry in its parent is not durable is lost with all its files, although they were
    // synced.
    void folders_that_it_creates_survive_a_loss_of_power() {
        const std::string parent = m_folder->path() / "data";
        const mangoquay::test::recorded_syncs recorded;
        open(parent + "/control");
        CPPUNIT_ASSERT(recorded.paths().contains(parent));
        CPPUNIT_ASSERT(recorded.paths().contains(m_folder->path()));
    }

    // The process that created the folder may have ended before it was durable.
    void a_folder_that_was_created_before_survives_a_loss_of_power() {
        const std::string folder = m_folder->path() / "control";
        std::filesystem::create_directory(folder);
        const mangoquay::test::recorded_syncs recorded;
        open(folder);
        CPPUNIT_ASSERT(recorded.paths().contains(m_folder->path()));
    }

    void second_process_is_refused() {
        const auto first = open(path());
        CPPUNIT_ASSERT(contains(open_failure(path()), "is used by another process"));
    }

private:
    [[nodiscard]] std::string path() const { return m_folder->path().string(); }
    [[nodiscard]] std::string log() const { return path() + "/log"; }

    std::unique_ptr<mangoquay::test::temporary_folder> m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(data_folder_damage);
