// Writes figures in the text exposition format that monitoring systems read.
#pragma once

#include <map>
#include <string>

namespace mangoquay::metrics {

class page_writer {
public:
    // The name is printed with the prefix mangoquay_.
    void add_line(const std::string& name, const std::map<std::string, std::string>& labels, double value);
    std::string take_text() { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace mangoquay::metrics
