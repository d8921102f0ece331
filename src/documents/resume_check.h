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

#include <deque>
#include <optional>

namespace mangoquay::documents {

// Identifies what waits for a confirmation of the current version. Unique among the processes of a host.
using confirmation_number = core::strong_value<struct confirmation_number_tag, std::uint64_t>;

// A process that runs calls on_running() every 100 ms.
inline constexpr core::milliseconds min_pause{1000};
// The strictest deployment requires a change to be in effect on all hosts within 3 s. A confirmation as of
// this long before the end of a pause leaves time to fetch the document; a process that runs only every other
// second gets none that is newer.
inline constexpr core::milliseconds max_confirmation_age{2000};
// Without an answer of any control host within this time the host counts as cut off. Control hosts that can
// be reached answer within a round trip.
inline constexpr core::milliseconds max_silent_wait{500};
// Limit of the wait in contact with control hosts, which may be electing a leader. Callers wait 2 s for the
// start of a session.
inline constexpr core::milliseconds max_confirmation_wait{1500};

class resume_check {
public:
    // `first` identifies the first confirmation that is waited for; later ones have the following numbers.
    explicit resume_check(confirmation_number first) : m_requests{{first, core::time_point::min()}} {}

    // The process runs at `now`. Returns whether it has just resumed after a pause, so that a confirmation is
    // needed.
    bool on_running(core::time_point now);
    // A control host has answered a query. Does not begin a wait again that has ended.
    void on_contact(core::time_point now);
    // A control host has confirmed that `current` is not older than any version that was committed before the
    // first request of this number. Returns false if the number is not one of this process.
    bool on_confirmed(confirmation_number number, document_version current);
    // Number of the current or last request.
    [[nodiscard]] confirmation_number number() const { return m_requests.back().m_number; }
    // Whether a confirmation is needed.
    [[nodiscard]] bool is_awaited() const;
    // Whether new work may rely on `held`, the version in force.
    [[nodiscard]] bool may_rely_on(document_version held, core::time_point now) const;
    // The end of the current wait, if there is one.
    [[nodiscard]] core::deadline wait_deadline() const { return m_deadline; }

private:
    struct request {
        confirmation_number m_number;
        core::time_point m_since{};
    };

    std::deque<request> m_requests; // The latest ones, oldest first.
    std::optional<core::time_point> m_last_run;
    std::optional<core::time_point> m_resumed_at; // End of the last pause.
    std::optional<core::time_point> m_confirmed_as_of;
    document_version m_required; // Lower limit of the version in force; 0 if there is none.
    core::deadline m_deadline;
    core::deadline m_latest_deadline; // m_deadline is never set beyond it during one wait.
};

} // namespace mangoquay::documents
