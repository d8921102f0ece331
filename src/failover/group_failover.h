// The control leader's core for one group: suspicion, promotion, planned hand-over, repair of followers.
//
// Receives reports, probe results, step answers and ticks; sends steps for a shell to run at endpoints and
// proposals for the log. Owns volatile state only: the replicated group_record says whether a promotion or a
// hold is in progress, and a new leader resumes from it by repeating idempotent steps.
//
// Order of a promotion (design page 2.6): begin_promotion committed; in force on every live proxy; followers
// stopped; their positions read after the stop; the most advanced one promoted; finish_promotion committed.
#pragma once

#include "core/clock.h"
#include "failover/endpoint_steps.h"
#include "failover/suspicion.h"
#include "membership/lease_table.h"

#include <map>
#include <optional>

namespace mangoquay::failover {

// Longer than a connect (12 ms) plus a slow reload; a step that takes longer is tried again.
inline constexpr core::milliseconds step_timeout{500};
inline constexpr core::milliseconds step_retry{600};
// A chosen replica that does not answer this long is given up and the positions are compared again.
inline constexpr core::milliseconds promotion_patience{2000};
inline constexpr core::milliseconds look_period{200};
inline constexpr core::milliseconds proposal_retry{500};
// Writes are held at most this long for a planned hand-over; then they are released and it is tried again
// later. A long write in flight is never interrupted for it.
inline constexpr core::milliseconds longest_hold{400};
inline constexpr core::milliseconds hand_over_retry{5000};
// Lag of the best replica at which a hand-over may begin: it catches up within the hold.
inline constexpr std::uint64_t largest_hand_over_lag_bytes = 1024U * 1024U;

enum class stage : std::uint8_t {
    watching,         // nothing in progress
    holding_writes,   // planned hand-over: in-flight writes finish, the replica catches up
    waiting_in_force, // begin_promotion is committed, not yet in force everywhere
    stopping_and_reading,
    promoting,
    finishing, // finish_promotion is proposed
};

class group_failover {
public:
    explicit group_failover(core::group_id group) : m_group(std::move(group)) {}

    // A new leader starts from here; see membership::lease_table::elected for when.
    void elected(core::time_point now);

    void on_report(core::time_point now, const control::control_state& state,
                   const membership::heartbeat& beat);
    void on_probe_result(core::time_point now, const control::control_state& state,
                         const membership::probe_result& result);
    actions on_step_answer(core::time_point now, const control::control_state& state,
                           membership::lease_table& leases, const step_answer& answer);
    // About every 50 ms, and at once after a command of the group was applied or a heartbeat came in.
    actions tick(core::time_point now, const control::control_state& state, membership::lease_table& leases);

    [[nodiscard]] stage present_stage() const { return m_stage; }

private:
    enum class step_kind : std::uint8_t { look, stop, read, promote, follow };
    struct pending_step {
        std::uint64_t m_attempt = 0;
        core::deadline m_retry;
    };
    struct member_view {
        core::term m_seen_term; // highest seen while it streamed; makes up for a term reported too low
        core::history_position m_reported;
        core::endpoint_id m_follows;
        core::time_point m_reported_at;
        bool m_heard = false;
        std::optional<endpoint_status> m_stopped; // read after it was stopped, in this promotion
        std::map<step_kind, pending_step> m_pending;
    };
    struct tick_context; // arguments that the stages share

    void enter(stage next, core::time_point now);
    void watch(tick_context& context);
    void look(tick_context& context);
    void try_hand_over(tick_context& context);
    void hold(tick_context& context);
    void wait_in_force(tick_context& context);
    void stop_and_read(tick_context& context);
    void run_promotion(tick_context& context);
    void finish(tick_context& context);
    void repair_followers(tick_context& context);
    void announce_strays(tick_context& context, const core::endpoint_id& endpoint);

    template <class Step>
    void send_step(tick_context& context, step_kind kind, Step step);
    void propose_once(tick_context& context, control::command change);
    bool take_pending(const step_answer& answer, step_kind& kind);

    core::group_id m_group;
    stage m_stage = stage::watching;
    core::time_point m_stage_since;
    core::revision m_begun_at;
    suspicion m_suspicion;
    std::map<core::endpoint_id, member_view> m_members;
    core::endpoint_id m_watched_primary;
    core::endpoint_id m_chosen;
    std::optional<endpoint_status> m_promoted; // status of m_chosen out of recovery
    std::optional<core::history_position> m_drained_position;
    core::deadline m_next_look;
    core::deadline m_next_proposal;
    core::deadline m_next_hand_over;
    std::uint64_t m_last_attempt = 0;
};

} // namespace mangoquay::failover
