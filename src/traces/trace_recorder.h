// Records the commands that a control host applies, and their outcomes, in a trace file.
//
// Owns: the file. A trace starts with the first command that is applied after the start of the process. Only
// a trace that starts at revision 1 or 2 can be replayed from the initial state. A failed write ends the
// recording but never stops the process.
#pragma once

#include "traces/trace_line.h"

#include <filesystem>
#include <fstream>

namespace mangoquay::traces {

class trace_recorder {
public:
    // Overwrites an existing file.
    explicit trace_recorder(const std::filesystem::path& file);

    // Appends the command of revision `at` and its outcome, and flushes the file.
    void record(core::revision at, const control::command& change, const control::command_outcome& outcome);

private:
    std::ofstream m_file;
};

} // namespace mangoquay::traces
