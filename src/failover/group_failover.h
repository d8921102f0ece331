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
#include "failover/suspicion.h"
#include "membership/lease_table.h"
#include "membership/reports.h"

#include <map>
#include <optional>
#include <set>

namespace mangoquay::failover {

// A step is repeated when its answer is missing this long: more than step_timeout.
inline constexpr core::milliseconds step_retry{600};
// A chosen replica that does not finish recovery this long is given up and the positions are compared again.
inline constexpr core::milliseconds promotion_patience{2000};
inline constexpr core::milliseconds look_period{200};
inline constexpr core::milliseconds look_period_while_held{20};
// For a group whose only quorum includes the old primary: its replica has to hold all that the old primary
// has.
inline constexpr core::milliseconds catch_up_time{1000};
inline constexpr core::milliseconds proposal_retry{500};
// Between two attempts to repair what a member follows, and two readings of a member that needs a rewind.
inline constexpr core::milliseconds repair_period{2000};
// A member that has not streamed after so many attempts (10 s) most likely diverged; it is recorded as in
// need of a rewind, so that its platform learns of it. If it streams later, it is a replica again.
inline constexpr int repairs_before_rewind = 5;
// Writes are held at most this long for a planned hand-over (target gap 500 ms); then they are released and
// it is tried again later. A long write in flight is never interrupted for it.
inline constexpr core::milliseconds longest_hold{400};
inline constexpr core::milliseconds hand_over_retry{5000};
// Lag of the best replica at which a hand-over may begin: it catches up within the hold.
inline constexpr std::uint64_t largest_hand_over_lag_bytes = 1024U * 1024U;
inline constexpr std::size_t proxies_asked_at_once = 2;

enum class stage : std::uint8_t {
    watching,         // nothing in progress
    holding_writes,   // planned hand-over: in-flight writes finish, a replica catches up
    waiting_in_force, // begin_promotion is committed, not yet in force everywhere
    stopping,         // followers are stopped and their positions read
    promoting,
    finishing, // finish_promotion is proposed
};

// What the leader knows besides the group itself.
struct surroundings {
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

    // A new leader starts from here; see membership::lease_table::on_elected for when.
    void elected(core::time_point now);

    // A report, of an endpoint of this group, by its owner.
    void on_report(core::time_point now, const control::control_state& state,
                   const membership::heartbeat& beat, const membership::endpoint_report& report);
    void on_probe_result(core::time_point now, const membership::probe_result& result);
    actions on_step_answer(const surroundings& around, const step_answer& answer);
    // About every 50 ms, and at once after a command of the group was applied or a heartbeat came in.
    actions tick(const surroundings& around);

    [[nodiscard]] stage present_stage() const { return m_stage; }

private:
    enum class step_kind : std::uint8_t { look, read_primary, stop, promote, follow };
    struct pending_step {
        std::uint64_t m_attempt = 0;
        core::deadline m_retry;
    };
    struct own_reading {
        core::time_point m_at;
        endpoint_status m_status;
    };
    struct member_view {
        core::term m_seen_term; // highest that its owners have seen while it streamed
        core::history_position m_reported;
        core::endpoint_id m_follows;
        core::time_point m_reported_at;
        bool m_reachable = false;
        bool m_known = false;                     // reported or stopped: m_follows means something
        std::optional<own_reading> m_reading;     // latest successful one by this leader
        std::optional<endpoint_status> m_stopped; // after it was stopped in this promotion
        std::map<step_kind, pending_step> m_pending;
        core::deadline m_next_look;
        core::deadline m_next_repair;
        int m_repairs = 0; // since it last streamed from the primary
    };
    // The owner's last report of the primary.
    struct primary_report {
        core::entry_host_id m_host;
        core::revision m_applied;
        bool m_lock_held = false;
        std::uint32_t m_in_flight = 0;
    };
    struct context : surroundings {
        const control::group_record& m_record;
        actions m_out{};
    };

    void enter(stage next, core::time_point now, const core::endpoint_id& chosen = {});
    void follow_state(context& here);
    void run_stage(context& here);

    void watch(context& here);
    void look(context& here, bool at_replicas);
    void ask_proxies(context& here);
    // What the leader's own latest readings of the replicas would let it choose.
    [[nodiscard]] std::optional<core::endpoint_id>
    choice_by_readings(const context& here, const std::optional<core::history_position>& primary) const;
    void begin(context& here);
    void wait_in_force(context& here);
    void stop_followers(context& here);
    void let_replicas_catch_up(context& here);
    [[nodiscard]] std::map<core::endpoint_id, stopped_member> stopped_members(const context& here) const;
    void run_promotion(context& here);
    void finish(context& here);

    void try_hand_over(context& here);
    void hold(context& here);
    [[nodiscard]] bool writes_drained(const context& here) const;
    [[nodiscard]] bool a_replica_caught_up(const context& here) const;

    void admit_next(context& here);
    [[nodiscard]] bool barrier_held_by_quorum(const context& here) const;
    void repair_members(context& here);
    void repair_diverged(context& here, const core::endpoint_id& id, member_view& member);
    void announce(context& here, const core::endpoint_id& id, control::endpoint_role role, core::term term);

    void take_answer(context& here, step_kind kind, const step_answer& answer);
    void take_look(context& here, const step_answer& answer);
    std::optional<step_kind> take_pending(const step_answer& answer);
    template <class Step>
    void send(context& here, step_kind kind, Step step);
    void propose_once(context& here, control::command change);

    core::group_id m_group;
    stage m_stage = stage::watching;
    core::time_point m_stage_since;
    core::revision m_begun_at; // at or after the revision of begin_promotion
    suspicion m_suspicion;
    std::map<core::endpoint_id, member_view> m_members;
    core::endpoint_id m_watched;
    primary_report m_primary_report;
    std::optional<core::history_position> m_primary_position; // read in the present stage
    core::endpoint_id m_chosen;
    std::optional<endpoint_status> m_promoted; // of m_chosen, out of recovery
    core::revision m_admission_barrier;        // change of members that m_primary_position was read after
    core::deadline m_catching_up;              // replicas follow the old primary once more until then
    core::deadline m_next_ask;
    std::size_t m_next_asked = 0; // rotates over the proxies
    core::deadline m_next_proposal;
    core::deadline m_next_hand_over;
    std::uint64_t m_last_attempt = 0;
    bool m_looked_once = false;
    bool m_promote_sent = false; // in this promotion
};

} // namespace mangoquay::failover
