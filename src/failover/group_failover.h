// The control leader's core for one group: suspicion, promotion, planned hand-over, repair of followers.
//
// Receives reports, probe results, step answers and ticks; sends steps for a shell to run at endpoints and
// proposals for the log. Owns volatile state only: the replicated group_record says whether a promotion or a
// hold is in progress, and a new leader resumes from it by repeating idempotent steps.
//
// Order of a promotion (design page 2.6): begin_promotion committed; in force on every live proxy; followers
// stopped and their positions read after that; the most advanced one promoted; finish_promotion committed.
// Step 2 asks every live proxy, not only the owner of the old primary: an earlier owner that has not applied
// its replacement could still acknowledge.
#pragma once

#include "core/clock.h"
#include "failover/candidates.h"
#include "failover/endpoint_steps.h"
#include "failover/failure_detector.h"
#include "membership/lease_table.h"
#include "membership/reports.h"

#include <map>
#include <optional>
#include <set>

namespace mangoquay::failover {

// A step is repeated when its answer is missing this long: more than step_timeout.
inline constexpr core::milliseconds step_retry_period{600};
// A chosen replica that does not finish recovery this long is given up and the positions are compared again.
inline constexpr core::milliseconds promotion_timeout{2000};
inline constexpr core::milliseconds status_reading_period{200};
inline constexpr core::milliseconds status_reading_period_while_held{20};
// For a group whose only quorum includes the old primary: its replica has to hold all that the old primary
// has.
inline constexpr core::milliseconds catch_up_timeout{1000};
inline constexpr core::milliseconds proposal_retry_period{500};
// Between two attempts to repair what a member follows, and two readings of a member that needs a rewind.
inline constexpr core::milliseconds repair_period{2000};
// A member that has not streamed after so many attempts (10 s) most likely diverged; it is recorded as in
// need of a rewind, so that its platform learns of it. If it streams later, it is a replica again.
inline constexpr int repair_attempts_before_rewind = 5;
// Writes are held at most this long for a planned hand-over (target gap 500 ms); then they are released and
// it is tried again later. A long write in flight is never interrupted for it.
inline constexpr core::milliseconds max_write_hold{400};
inline constexpr core::milliseconds hand_over_retry_period{5000};
// Lag of the best replica at which a hand-over may begin: it catches up within the hold.
inline constexpr std::uint64_t max_hand_over_lag_bytes = 1024U * 1024U;
inline constexpr std::size_t proxies_probed_at_once = 2;

enum class stage : std::uint8_t {
    watching,           // nothing in progress
    holding_writes,     // planned hand-over: in-flight writes finish, a replica catches up
    waiting_for_effect, // begin_promotion is committed, not yet in force everywhere
    stopping_followers, // followers are stopped and their positions read
    promoting,
    finishing, // finish_promotion is proposed
};

// What the leader knows besides the group itself.
struct environment {
    core::time_point m_now;
    const control::control_state& m_state;
    membership::lease_table& m_leases;
    const std::set<core::endpoint_id>& m_drained; // see drained_endpoints()
};

// Endpoints that are to lose their role: drained by themselves or by the active preset of a service of their
// group.
std::set<core::endpoint_id> drained_endpoints(const control::control_state& state);

class group_failover {
public:
    explicit group_failover(core::group_id group) : m_group(std::move(group)) {}

    // A new leader starts from here; see membership::lease_table::elected for when.
    void on_elected(core::time_point now);

    // A report, of an endpoint of this group, by its owner.
    void on_report(core::time_point now, const control::control_state& state,
                   const membership::heartbeat& beat, const membership::endpoint_report& report);
    void on_probe_result(core::time_point now, const membership::probe_result& result);
    actions on_step_answer(const environment& env, const step_answer& answer);
    // About every 50 ms, and at once after a command of the group was applied or a heartbeat came in.
    actions tick(const environment& env);

    [[nodiscard]] stage current_stage() const { return m_stage; }

private:
    enum class step_kind : std::uint8_t { read_status, read_primary, stop, promote, follow };
    struct pending_step {
        std::uint64_t m_attempt = 0;
        core::deadline m_retry;
    };
    struct leader_reading {
        core::time_point m_at;
        endpoint_status m_status;
    };
    struct member_view {
        core::term m_seen_term; // highest that its owners have seen while it streamed
        core::history_position m_reported;
        core::endpoint_id m_follows;
        core::time_point m_reported_at;
        bool m_reachable = false;
        bool m_following_known = false;           // reported or stopped: m_follows means something
        std::optional<leader_reading> m_reading;  // latest successful one by this leader
        std::optional<endpoint_status> m_stopped; // after it was stopped in this promotion
        std::map<step_kind, pending_step> m_pending;
        core::deadline m_next_status_reading;
        core::deadline m_next_repair;
        int m_repair_attempts = 0; // since it last streamed from the primary
    };
    // The owner's last report of the primary.
    struct primary_report {
        core::entry_host_id m_host;
        core::revision m_applied;
        bool m_lock_held = false;
        std::uint32_t m_writes_in_flight = 0;
    };
    struct context : environment {
        const control::group_record& m_record;
        actions m_actions{};
    };

    void enter(stage next, core::time_point now, const core::endpoint_id& candidate = {});
    void sync_with_record(context& ctx);
    void run_stage(context& ctx);

    void watch_primary(context& ctx);
    void read_statuses(context& ctx, bool include_replicas);
    void request_proxy_probes(context& ctx);
    // What the leader's own latest readings of the replicas would let it choose.
    [[nodiscard]] std::optional<core::endpoint_id>
    candidate_from_readings(const context& ctx, const std::optional<core::history_position>& primary) const;
    void propose_begin(context& ctx);
    void await_effect(context& ctx);
    void stop_followers(context& ctx);
    void let_replicas_catch_up(context& ctx);
    [[nodiscard]] std::map<core::endpoint_id, stopped_member> stopped_members(const context& ctx) const;
    void run_promotion(context& ctx);
    void propose_finish(context& ctx);

    void try_hand_over(context& ctx);
    void drain_writes(context& ctx);
    [[nodiscard]] bool writes_drained(const context& ctx) const;
    [[nodiscard]] bool any_replica_caught_up(const context& ctx) const;

    void admit_next_member(context& ctx);
    [[nodiscard]] bool barrier_held_by_quorum(const context& ctx) const;
    void repair_members(context& ctx);
    void repair_diverged(context& ctx, const core::endpoint_id& id, member_view& member);
    void propose_announcement(context& ctx, const core::endpoint_id& id, control::endpoint_role role,
                              core::term term);

    void handle_step_answer(context& ctx, step_kind kind, const step_answer& answer);
    void handle_status_reading(context& ctx, const step_answer& answer);
    std::optional<step_kind> remove_pending_step(const step_answer& answer);
    template <class Step>
    void send_step(context& ctx, step_kind kind, Step step);
    void propose_once(context& ctx, control::command change);

    core::group_id m_group;
    stage m_stage = stage::watching;
    core::time_point m_stage_entered_at;
    core::revision m_begin_revision; // at or after the revision of begin_promotion
    failure_detector m_failure_detector;
    std::map<core::endpoint_id, member_view> m_members;
    core::endpoint_id m_watched_primary;
    primary_report m_primary_report;
    std::optional<core::history_position> m_primary_position; // read in the present stage
    core::endpoint_id m_candidate;
    std::optional<endpoint_status> m_promoted; // of m_chosen, out of recovery
    core::revision m_admission_barrier;        // change of members that m_primary_position was read after
    core::deadline m_catch_up_deadline;        // replicas follow the old primary once more until then
    core::deadline m_next_proxy_probe;
    std::size_t m_next_proxy_index = 0; // rotates over the proxies
    core::deadline m_next_proposal;
    core::deadline m_next_hand_over;
    std::uint64_t m_last_attempt = 0;
    bool m_primary_read_once = false;
    bool m_promote_sent = false; // in this promotion
};

} // namespace mangoquay::failover
