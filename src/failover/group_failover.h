// Failover logic of the control leader for one group: failure detection, promotion, planned hand-over, repair
// of followers.
//
// Receives reports, probe results, step answers and ticks; returns steps to run at endpoints and proposals
// for the log. Owns no persistent state: the replicated group_record records whether a promotion or a hold of
// writes is in progress, and a new leader resumes from it by repeating idempotent steps.
//
// Order of a promotion:
// 1. begin_promotion is committed.
// 2. It is in effect on every live proxy.
// 3. The followers are stopped, and their positions are read after that.
// 4. The most advanced follower is promoted.
// 5. finish_promotion is committed.
// Step 2 involves every live proxy, not only the owner of the old primary: an earlier owner that has not
// applied its replacement could still acknowledge writes.
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

// A step without an answer is repeated after this time, which exceeds step_timeout.
inline constexpr core::milliseconds step_retry_period{600};
// If the candidate does not finish recovery within this time, the positions are compared again.
inline constexpr core::milliseconds promotion_timeout{2000};
inline constexpr core::milliseconds status_reading_period{200};
inline constexpr core::milliseconds status_reading_period_while_held{20};
// Time for replicas to catch up with the old primary in a group whose only quorum includes it: the candidate
// must hold the entire history of the old primary.
inline constexpr core::milliseconds catch_up_timeout{1000};
inline constexpr core::milliseconds proposal_retry_period{500};
// Time between two attempts to make a member follow the primary, and between two readings of a member that
// needs a rewind.
inline constexpr core::milliseconds repair_period{2000};
// A member that has not streamed after this many attempts (10 s) has most likely diverged. It is recorded as
// needing a rewind, which reports it to its platform. If it streams later, it is recorded as a replica again.
inline constexpr int repair_attempts_before_rewind = 5;
// Writes are held at most this long for a planned hand-over, whose target for the interruption of writes is
// 500 ms. Then they are released and the hand-over is retried later. A long write in flight is never
// interrupted for it.
inline constexpr core::milliseconds max_write_hold{400};
inline constexpr core::milliseconds hand_over_retry_period{5000};
// Largest lag of the best replica at which a hand-over may begin, so that it catches up while writes are
// held.
inline constexpr std::uint64_t max_hand_over_lag_bytes = 1024U * 1024U;
inline constexpr std::size_t proxies_probed_at_once = 2;

enum class stage : std::uint8_t {
    watching,           // Nothing is in progress.
    holding_writes,     // Planned hand-over: writes in flight finish and a replica catches up.
    waiting_for_effect, // begin_promotion is committed but not yet in effect everywhere.
    stopping_followers, // Followers are being stopped and their positions read.
    promoting,
    finishing, // finish_promotion is proposed.
};

// Inputs besides the state of the group itself.
struct environment {
    core::time_point m_now;
    const control::control_state& m_state;
    membership::lease_table& m_leases;
    const std::set<core::endpoint_id>& m_drained; // See drained_endpoints().
};

// Returns the endpoints that must give up the primary role: those drained individually or by the active
// preset of a service of their group.
std::set<core::endpoint_id> drained_endpoints(const control::control_state& state);

class group_failover {
public:
    explicit group_failover(core::group_id group) : m_group(std::move(group)) {}

    // Discards all state. See membership::lease_table for the moment at which a new leader calls it.
    void on_elected(core::time_point now);

    // Report of an endpoint of this group by its owner.
    void on_report(core::time_point now, const control::control_state& state,
                   const membership::heartbeat& beat, const membership::endpoint_report& report);
    void on_probe_result(core::time_point now, const membership::probe_result& result);
    actions on_step_answer(const environment& env, const step_answer& answer);
    // Called about every 50 ms, and immediately after a command of the group has been applied or a heartbeat
    // has arrived.
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
        core::term m_seen_term; // Highest term that its owners have observed while it streamed.
        core::history_position m_reported;
        core::endpoint_id m_follows;
        core::time_point m_reported_at;
        bool m_reachable = false;
        bool m_following_known = false;           // It was reported or stopped, so m_follows is valid.
        std::optional<leader_reading> m_reading;  // Latest successful reading by this leader.
        std::optional<endpoint_status> m_stopped; // Status after it was stopped in this promotion.
        std::map<step_kind, pending_step> m_pending;
        core::deadline m_next_status_reading;
        core::deadline m_next_repair;
        int m_repair_attempts = 0; // Since it last streamed from the primary.
    };
    // Last report of the primary by its owner.
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

    void enter_stage(stage next, core::time_point now, const core::endpoint_id& candidate = {});
    void sync_with_record(context& ctx);
    void run_stage(context& ctx);

    void watch_primary(context& ctx);
    void read_statuses(context& ctx, bool include_replicas);
    void request_proxy_probes(context& ctx);
    // Returns the candidate according to the leader's own recent readings of the replicas.
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
    core::revision m_begin_revision; // At or after the revision of begin_promotion.
    failure_detector m_failure_detector;
    std::map<core::endpoint_id, member_view> m_members;
    core::endpoint_id m_watched_primary;
    primary_report m_primary_report;
    std::optional<core::history_position> m_primary_position; // Read in the current stage.
    core::endpoint_id m_candidate;
    std::optional<endpoint_status> m_promoted; // Status of m_candidate out of recovery.
    core::revision m_admission_barrier;        // Change of members after which m_primary_position was read.
    core::deadline m_catch_up_deadline;        // Until then replicas follow the old primary again.
    core::deadline m_next_proxy_probe;
    std::size_t m_next_proxy_index = 0; // Round-robin index into the live proxies.
    core::deadline m_next_proposal;
    core::deadline m_next_hand_over;
    std::uint64_t m_last_attempt = 0;
    bool m_primary_read_once = false;
    bool m_promote_sent = false; // In this promotion.
};

} // namespace mangoquay::failover
