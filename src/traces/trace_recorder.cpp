// Records the control log in a trace file.
#include "traces/trace_recorder.h"

#include "core/log.h"

namespace mangoquay::traces {

trace_recorder::trace_recorder(const std::filesystem::path& file) : m_file(file, std::ios::trunc) {
    if (!m_file) {
        core::log_line(core::log_level::warning, "traces",
                       "cannot open trace file, the control log is not recorded file=" + file.string());
    }
    m_file << "# Control log, recorded by a control host. Replay: mangoquay replay FILE\n";
}

void trace_recorder::record(core::revision at, const control::command& change,
                            const control::command_outcome& outcome) {
    if (!m_file) {
        return;
    }
    m_file << format_trace_line(applied_command{at, change}) << '\n'
           << format_trace_line(recorded_outcome{at, outcome.m_accepted, outcome.m_reason}) << '\n'
           << std::flush;
}

} // namespace mangoquay::traces
