// Drives one endpoint owner on its own event loop and thread, and builds the requests that tests send to it.
#pragma once

#include "dialect/postgres_dialect.h"
#include "ownership/endpoint_owner.h"
#include "support/standin_client.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>

namespace mangoquay::test {

using namespace std::chrono_literals;

inline constexpr const char* insert_entry = "INSERT INTO entries (id, value) VALUES ($1, $2)";
inline constexpr const char* update_entry = "UPDATE entries SET value = $2 WHERE id = $1";
inline constexpr const char* read_entry = "SELECT id, value FROM entries WHERE id = $1";
inline constexpr const char* count_entries = "SELECT count(*) FROM entries";
inline constexpr const char* sleep_seconds = "SELECT pg_sleep($1)";

class settable_rights : public ownership::owner_rights {
public:
    [[nodiscard]] bool may_acknowledge(const core::group_id& /*group*/, core::term /*term*/,
                                       core::time_point /*now*/) const override {
        return m_lease_valid;
    }
    [[nodiscard]] bool may_end_earlier_owners(const core::endpoint_id& /*endpoint*/,
                                              core::owner_epoch /*epoch*/,
                                              core::time_point /*now*/) const override {
        return m_lease_valid;
    }
    [[nodiscard]] bool day_open(const core::service_name& /*service*/,
                                const core::business_day& /*day*/) const override {
        return m_day_open;
    }

    std::atomic<bool> m_lease_valid = true;
    std::atomic<bool> m_day_open = true;
};

inline core::statement_request make_request(core::statement_kind kind, const std::string& sql = {},
                                            std::vector<core::cell> parameters = {},
                                            core::milliseconds timeout = 5s) {
    core::statement_request request;
    request.m_service = core::service_name("bookings-db");
    request.m_group = core::group_id("a");
    request.m_caller = core::caller_id("caller");
    request.m_kind = kind;
    request.m_sql = sql;
    request.m_parameters = std::move(parameters);
    request.m_deadline = core::deadline_after(transport::event_loop::now(), timeout);
    return request;
}

inline core::statement_request read_request(const std::string& sql, std::vector<core::cell> parameters = {},
                                            core::milliseconds timeout = 5s) {
    return make_request(core::statement_kind::read, sql, std::move(parameters), timeout);
}

inline core::statement_request write_request(const std::string& id, const std::string& value = "v",
                                             core::milliseconds timeout = 5s) {
    return make_request(core::statement_kind::write, insert_entry, {id, value}, timeout);
}

inline core::statement_request transaction_request(core::statement_kind kind, const std::string& sql = {},
                                                   std::vector<core::cell> parameters = {}) {
    core::statement_request request = make_request(kind, sql, std::move(parameters));
    request.m_transaction = core::transaction_id("t1");
    return request;
}

// The group of three_database_layout(), with a1 as primary of its first term.
inline control::group_record group_of_three() {
    control::group_record group;
    group.m_term = core::term{1};
    group.m_primary = core::endpoint_id("a1");
    group.m_members = {core::endpoint_id("a1"), core::endpoint_id("a2"), core::endpoint_id("a3")};
    return group;
}

class owner_harness {
public:
    using answer_future = std::future<core::statement_answer>;

    owner_harness(standin::postgres_standin& database, const std::string& endpoint, std::uint64_t epoch = 1,
                  std::uint32_t slots = 3, const std::string& host = "host", bool lease_valid = true) {
        m_rights.m_lease_valid = lease_valid;
        control::endpoint_record record;
        record.m_group = core::group_id("a");
        record.m_address = {"127.0.0.1", report_of(database, endpoint).m_layout.m_port};
        record.m_slots = slots;
        record.m_connections = 10;
        record.m_owner_epoch = core::owner_epoch{epoch};
        m_owner = std::make_unique<ownership::endpoint_owner>(
            m_loop, core::endpoint_id(endpoint), record, core::entry_host_id(host), m_rights,
            ownership::connection_settings{"test", "", "test", dialect::tls_mode::disable, ""}, m_dialect,
            epoch);
        m_owner->set_group(group_of_three());
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~owner_harness() {
        destroy_owner();
        m_loop.stop();
        m_thread.join();
    }
    owner_harness(const owner_harness&) = delete;
    owner_harness& operator=(const owner_harness&) = delete;
    owner_harness(owner_harness&&) = delete;
    owner_harness& operator=(owner_harness&&) = delete;

    // Runs `function` on the event loop's thread and returns its result.
    template <class Function>
    auto on_loop(Function function) {
        std::packaged_task<decltype(function(*m_owner))()> task(
            [this, &function] { return function(*m_owner); });
        auto finished = task.get_future();
        m_loop.post([&task] { task(); });
        return finished.get();
    }
    bool wait_until_serving() {
        return eventually([this] { return on_loop([](auto& owner) { return owner.health().m_lock_held; }); });
    }
    answer_future send(const core::statement_request& request, core::milliseconds position_wait = 0ms,
                       const std::string& origin = "entry") {
        const auto promise = std::make_shared<std::promise<core::statement_answer>>();
        const auto position_deadline = core::deadline_after(transport::event_loop::now(), position_wait);
        m_loop.post([this, request, position_deadline, origin, promise] {
            m_owner->submit(
                request, core::entry_host_id(origin), position_deadline,
                [promise](core::statement_answer answer) { promise->set_value(std::move(answer)); });
        });
        return promise->get_future();
    }
    core::statement_answer run(const core::statement_request& request, core::milliseconds position_wait = 0ms,
                               const std::string& origin = "entry") {
        return send(request, position_wait, origin).get();
    }
    ownership::owner_statistics statistics() {
        return on_loop([](auto& owner) { return owner.statistics(); });
    }
    std::size_t unsettled_day_count() {
        return on_loop([](auto& owner) { return owner.list_unsettled_writes().size(); });
    }
    void destroy_owner() {
        if (m_owner) {
            on_loop([](auto&) { return 0; });
            std::promise<void> destroyed;
            m_loop.post([this, &destroyed] {
                m_owner.reset();
                destroyed.set_value();
            });
            destroyed.get_future().get();
        }
    }

    settable_rights m_rights;

private:
    dialect::postgres_dialect m_dialect;
    transport::event_loop m_loop;
    std::unique_ptr<ownership::endpoint_owner> m_owner;
    std::thread m_thread;
};

// Verdict and reason as text, for example `may_have_run lease_lapsed`.
inline std::string summary(const core::statement_answer& answer) {
    const std::string reason =
        answer.m_reason == core::reason::none ? "" : " " + std::string(to_string(answer.m_reason));
    return std::string(to_string(answer.m_verdict)) + reason;
}

} // namespace mangoquay::test
