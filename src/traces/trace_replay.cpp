// Replays a trace of the control log from the initial state.
#include "traces/trace_replay.h"

#include "control/apply.h"
#include "control/codec.h"
#include "traces/trace_line.h"

#include <map>
#include <variant>

namespace mangoquay::traces {
namespace {

class trace_replayer {
public:
    trace_replayer() { m_report.m_state = control::initial_state(); }

    void run(std::size_t line_number, const std::string& text) {
        m_line_number = line_number;
        auto line = parse_trace_line(text);
        if (!line) {
            add_deviation(line.reason());
            return;
        }
        std::visit([this](const auto& typed) { handle_line(typed); }, *line);
    }

    replay_report finish() { return std::move(m_report); }

private:
    void handle_line(const comment_line&) {}

    void handle_line(const applied_command& line) {
        ++m_report.m_command_count;
        m_outcomes[line.m_revision] = control::apply(m_report.m_state, line.m_command, line.m_revision);
    }

    void handle_line(const recorded_outcome& line) {
        ++m_report.m_check_count;
        const auto found = m_outcomes.find(line.m_revision);
        if (found == m_outcomes.end()) {
            add_deviation("no command has this revision");
        } else if (found->second.m_accepted != line.m_accepted || found->second.m_reason != line.m_reason) {
            add_deviation("replayed outcome: " +
                          format_trace_line(recorded_outcome{line.m_revision, found->second.m_accepted,
                                                             found->second.m_reason}));
        }
    }

    void handle_line(const expected_value& line) {
        ++m_report.m_check_count;
        const auto state = nlohmann::json::parse(control::encode(m_report.m_state));
        try {
            const nlohmann::json& present = state.at(nlohmann::json::json_pointer(line.m_pointer));
            if (present != line.m_value) {
                add_deviation(line.m_pointer + " has the replayed value " + present.dump());
            }
        } catch (const nlohmann::json::exception&) {
            add_deviation("the replayed state has no value at " + line.m_pointer);
        }
    }

    void add_deviation(const std::string& message) {
        m_report.m_deviations.push_back("line " + std::to_string(m_line_number) + ": " + message);
    }

    std::size_t m_line_number = 0;
    std::map<core::revision, control::command_outcome> m_outcomes;
    replay_report m_report;
};

} // namespace

replay_report replay_trace(std::istream& trace) {
    trace_replayer replayer;
    std::size_t line_number = 0;
    for (std::string text; std::getline(trace, text);) {
        replayer.run(++line_number, text);
    }
    return replayer.finish();
}

} // namespace mangoquay::traces
