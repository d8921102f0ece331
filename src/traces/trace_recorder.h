// Writes the commands that a control host applies, and their outcomes, to a trace file.
//
// Owns: the file. A trace starts with the first command after the start of the process; only one that starts
// at revision 1 or 2 can be replayed from the initial state. Writing never stops the process: a failed write
// ends the recording.
#pragma once

#include "traces/trace_line.h"

#include <filesystem>
#include <fstream>

namespace mangoquay::traces {

class trace_recorder {
public:
    // Replaces an earlier file.
    explicit trace_recorder(const std::filesystem::path& file);

    void record(core::revision at, const control::command& change, const control::command_outcome& outcome);

private:
    std::ofstream m_file;
};

} // namespace mangoquay::traces
