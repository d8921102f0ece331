// Formats sample lines of the text exposition format.
#include "metrics/page_writer.h"

#include <array>
#include <cstdio>

namespace mangoquay::metrics {
namespace {

std::string label_text(const std::map<std::string, std::string>& labels) {
    std::string text;
    for (const auto& [name, value] : labels) {
        text += (text.empty() ? "{" : ",") + name + "=\"";
        for (const char character : value) {
            const bool escape = character == '"' || character == '\\';
            text += escape ? "\\" : "";
            text += character == '\n' ? std::string("\\n") : std::string(1, character);
        }
        text += "\"";
    }
    return text.empty() ? text : text + "}";
}

} // namespace

void page_writer::add_line(const std::string& name, const std::map<std::string, std::string>& labels,
                           double value) {
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.10g", value);
    m_text += "mangoquay_" + name + label_text(labels) + " " + text.data() + "\n";
}

} // namespace mangoquay::metrics
