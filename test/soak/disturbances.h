// What the soak itself did to the processes and when, as the configuration checks need it: a host that was
// signalled within the last seconds, or a control cell that was, has more time to follow.
#pragma once

#include "core/ids.h"
#include "soak/run_record.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace mangoquay::soak {

using boot_number = core::strong_value<struct boot_number_tag, std::uint64_t>;

class disturbance_log {
public:
    // A signal or a start of an entry host.
    void add_entry(const core::entry_host_id& host);
    // The entry host has been started: a new process.
    void add_boot(const core::entry_host_id& host);
    // A signal, a start or an addition of a control host. `most_of_cell`: half of the cell or more at once.
    void add_control(bool most_of_cell);

    // True if the host was disturbed within the stability window before `sent` or later.
    [[nodiscard]] bool entry_was_disturbed(const core::entry_host_id& host, steady_time sent) const;
    // True if the cell was disturbed so that hosts at `sent` have the longer bound.
    [[nodiscard]] bool control_was_disturbed(steady_time sent) const;
    [[nodiscard]] boot_number boot_of(const core::entry_host_id& host) const;

private:
    struct control_event {
        steady_time m_time;
        bool m_most_of_cell = false;
    };
    mutable std::mutex m_mutex; // Guards all members below.
    std::map<core::entry_host_id, std::vector<steady_time>> m_entry;
    std::map<core::entry_host_id, std::uint64_t> m_boots;
    std::vector<control_event> m_control;
};

} // namespace mangoquay::soak
