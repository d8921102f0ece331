// Decides whether new work may rely on the document in force after the process has not run for a while.
//
// A process that was stopped, or that got no processor time, handles its queued requests before it hears of
// the changes that were made meanwhile. After such a pause new work waits until a control host has confirmed
// which version is current, and that version is in force. The wait is limited: a host that is cut off from
// the control hosts goes on with what it holds. Deterministic; update_subscriber passes the time in.
#pragma once

#include "core/clock.h"
#include "core/strong_value.h"
#include "documents/configuration.h"

#include <optional>

namespace mangoquay::documents {

// Identifies what waits for a confirmation of the current version. Unique among the processes of a host.
using confirmation_number = core::strong_value<struct confirmation_number_tag, std::uint64_t>;

// A process that runs calls on_running() every 100 ms. The strictest deployment requires a change to be in
// effect on all hosts within 3 s, so a host that misses one second of it is still in time.
inline constexpr core::milliseconds min_pause{1000};
// Control hosts that can be reached confirm within a few round trips and, while they elect a leader, within
// half a second. Callers retry after about a second.
inline constexpr core::milliseconds max_confirmation_wait{500};

class resume_check {
public:
    // `first` identifies the first confirmation that is waited for; later ones have the following numbers.
    explicit resume_check(confirmation_number first) : m_last_number(first) {}

    // The process runs at `now`. Returns whether it has just resumed after a pause, so that a confirmation is
    // needed.
    bool on_running(core::time_point now);
    // A control host has confirmed that `current` is not older than any version that was committed before the
    // wait began. Ignores confirmations of earlier waits.
    void on_confirmed(confirmation_number number, document_version current);
    // Number of the current or last wait.
    [[nodiscard]] confirmation_number number() const { return m_last_number; }
    // Whether a confirmation is needed.
    [[nodiscard]] bool is_awaited() const { return m_is_awaited; }
    // Whether new work may rely on `held`, the version in force.
    [[nodiscard]] bool may_rely_on(document_version held, core::time_point now) const;
    // The end of the current wait, if there is one.
    [[nodiscard]] core::deadline wait_deadline() const { return m_wait_deadline; }

private:
    confirmation_number m_last_number;
    bool m_is_awaited = false;
    std::optional<core::time_point> m_last_run;
    document_version m_required; // Lower limit of the version in force; 0 if there is none.
    core::deadline m_wait_deadline;
};

} // namespace mangoquay::documents
