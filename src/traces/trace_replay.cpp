// Replay of the control log.
#include "traces/trace_replay.h"

#include "control/apply.h"
#include "control/codec.h"
#include "traces/trace_line.h"

#include <map>
#include <variant>

namespace mangoquay::traces {
namespace {

class replayer {
public:
    replayer() { m_report.m_state = control::initial_state(); }

    void run(std::size_t number, const std::string& text) {
        m_number = number;
        auto line = parse_trace_line(text);
        if (!line) {
            deviate(line.reason());
            return;
        }
        std::visit([this](const auto& typed) { step(typed); }, *line);
    }

    replay_report finish() { return std::move(m_report); }

private:
    void step(const remark&) {}

    void step(const applied_command& line) {
        ++m_report.m_commands;
        m_outcomes[line.m_revision] = control::apply(m_report.m_state, line.m_command, line.m_revision);
    }

    void step(const seen_outcome& line) {
        ++m_report.m_checks;
        const auto found = m_outcomes.find(line.m_revision);
        if (found == m_outcomes.end()) {
            deviate("no command has this revision");
        } else if (found->second.m_accepted != line.m_accepted || found->second.m_reason != line.m_reason) {
            deviate("outcome now: " +
                    format(seen_outcome{line.m_revision, found->second.m_accepted, found->second.m_reason}));
        }
    }

    void step(const stated_value& line) {
        ++m_report.m_checks;
        const auto state = nlohmann::json::parse(control::encode(m_report.m_state));
        try {
            const nlohmann::json& present = state.at(nlohmann::json::json_pointer(line.m_pointer));
            if (present != line.m_value) {
                deviate(line.m_pointer + " is now " + present.dump());
            }
        } catch (const nlohmann::json::exception&) {
            deviate("the state has no " + line.m_pointer);
        }
    }

    void deviate(const std::string& what) {
        m_report.m_deviations.push_back("line " + std::to_string(m_number) + ": " + what);
    }

    std::size_t m_number = 0;
    std::map<core::revision, control::command_outcome> m_outcomes;
    replay_report m_report;
};

} // namespace

replay_report replay_trace(std::istream& trace) {
    replayer running;
    std::size_t number = 0;
    for (std::string text; std::getline(trace, text);) {
        running.run(++number, text);
    }
    return running.finish();
}

} // namespace mangoquay::traces
