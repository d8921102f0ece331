// The statement queue of one endpoint: decides which waiting work gets a slot, and which is refused at once.
//
// A unit of work is a statement or another operation that occupies a slot of the endpoint while it runs.
//
// Owns waiting and running work, learned run times and the slot time used per caller. Deterministic: time is
// passed in. The owner of the queue offers work, calls advance() after every offer and finish and at
// next_event(), and carries out the returned actions.
//
// Invariants: running work never exceeds the slots; work classified as long never takes a reserved slot; work
// that was refused, expired or withdrawn is never dispatched; no work is dispatched at or past its deadline.
#pragma once

#include "admission/caller_usage.h"
#include "admission/run_time_model.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/statement.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangoquay::admission {

enum class work_number : std::uint64_t {};

struct queue_policy {
    std::size_t m_slots = 1;
    // Number of slots reserved for short work. One slot always stays usable by long work.
    std::size_t m_reserved_short_slots = 1;
    // Maximum queue length per slot.
    std::size_t m_bound_per_slot = 40;
    // Work with a longer expected wait is refused.
    core::duration m_shed_wait = core::milliseconds(2000);
};

// All rules are enabled in production. Tests disable one to prove that their check detects the violation.
struct queue_rules {
    bool m_count_slots = true;
    bool m_keep_reserve = true;
    bool m_adapt_reserve = true;
    bool m_age_long_work = true;
    bool m_check_deadline = true;
    bool m_share_fairly = true;
    bool m_shed = true;
};

struct queued_work {
    work_number m_number{};
    core::caller_id m_caller;
    fingerprint m_fingerprint{};
    core::work_class m_declared = core::work_class::undeclared;
    core::deadline m_deadline;
};

struct offer_outcome {
    bool m_accepted = false;
    core::reason m_reason = core::reason::none;
    std::optional<core::milliseconds> m_retry_after;
    core::duration m_expected_wait{};
};

struct queue_actions {
    std::vector<work_number> m_dispatched;
    std::vector<work_number> m_expired; // Work whose deadline passed while it waited.
};

class slot_queue {
public:
    explicit slot_queue(const queue_policy& policy, const queue_rules& rules = {});

    // Lower limits take effect as running work finishes.
    void set_policy(const queue_policy& policy) { m_policy = policy; }
    // Accepts work into the queue, or refuses it with a retry delay if it would wait too long.
    offer_outcome offer(const queued_work& work, core::time_point now);
    // Removes expired work and dispatches waiting work to free slots.
    queue_actions advance(core::time_point now);
    // Frees the slot. `learn` is false if the time in the slot does not reflect the run time of the
    // statement.
    void finish(work_number number, core::time_point now, bool learn);
    // Removes waiting work. Returns false if it is not waiting.
    bool withdraw(work_number number);
    // Removes all waiting work and returns its numbers.
    std::vector<work_number> withdraw_all();

    // The next time at which advance() must be called even without an offer or a finish.
    [[nodiscard]] std::optional<core::time_point> next_event(core::time_point now) const;
    [[nodiscard]] std::size_t waiting() const { return m_deadlines.size(); }
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    [[nodiscard]] std::size_t running_long() const { return m_running_long; }
    // Moving average of the time from offer to dispatch.
    [[nodiscard]] core::duration average_wait(bool long_work) const {
        return m_average_wait.at(long_work ? 1 : 0);
    }
    // Maximum number of slots for long work.
    [[nodiscard]] std::size_t long_limit() const;
    // Maximum number of slots for long work that has not aged. The slots that the recent load of short work
    // needs stay free too, because a burst of long work would otherwise occupy them for many times the run
    // time of short work.
    [[nodiscard]] std::size_t unaged_long_limit(core::time_point now) const;

private:
    using sequence = std::uint64_t; // Position in the order of arrival.

    struct waiting_work {
        queued_work m_work;
        caller_use* m_caller_use = nullptr;
        core::time_point m_offered_at{};
        core::duration m_expected{};
    };
    struct running_work {
        queued_work m_work;
        caller_use* m_caller_use = nullptr;
        core::time_point m_started_at{};
        core::duration m_expected{};
        bool m_long = false;
    };
    using waiting_list = std::map<sequence, waiting_work>;
    struct queue_position {
        std::size_t m_class = 0;
        sequence m_sequence = 0;
    };

    [[nodiscard]] core::duration expected_wait(bool long_work, core::time_point now) const;
    [[nodiscard]] bool is_long(const queued_work& work) const;
    // Number of ageing periods that the longest waiting long work has waited.
    [[nodiscard]] std::int64_t long_work_age(core::time_point now) const;
    // Average number of slots that the recently offered short work needs.
    [[nodiscard]] double short_load(core::time_point now) const;
    void expire(core::time_point now, queue_actions& actions);
    // Counts running work that exceeds the long threshold as long from now on.
    void reclassify_running(core::time_point now);
    std::optional<queue_position> choose(core::time_point now);
    std::optional<sequence> choose_in_class(std::size_t class_index, core::time_point now);
    [[nodiscard]] sequence choose_fairly(const waiting_list& list, core::time_point now) const;
    void dispatch(const queue_position& chosen, core::time_point now, queue_actions& actions);
    waiting_work remove(const queue_position& where);
    void insert(std::size_t class_index, sequence order, waiting_work entry);

    queue_policy m_policy;
    queue_rules m_rules;
    run_time_model m_model;
    caller_usage m_usage;
    sequence m_next_sequence = 0;
    std::array<waiting_list, 2> m_waiting; // Index: short_class, long_class.
    std::array<core::duration, 2> m_waiting_run_time{};
    std::array<core::duration, 2> m_average_wait{};
    std::unordered_map<std::uint64_t, queue_position> m_positions; // By work number.
    std::set<std::pair<core::time_point, work_number>> m_deadlines;
    std::unordered_map<std::uint64_t, running_work> m_running;
    std::size_t m_running_long = 0;
    double m_short_load = 0; // Value at m_short_load_at.
    core::time_point m_short_load_at{};
    // Aged long work takes at most every second free slot, so that short work is still served.
    bool m_aged_long_was_last = false;
};

} // namespace mangoquay::admission
