// Writes samples in the Prometheus text exposition format.
#pragma once

#include <map>
#include <string>

namespace mangoquay::metrics {

class page_writer {
public:
    // Appends one sample. The name is printed with the prefix mangoquay_, and label values are escaped.
    void add_line(const std::string& name, const std::map<std::string, std::string>& labels, double value);
    // Returns the text written so far and leaves the writer empty.
    std::string take_text() { return std::move(m_text); }

private:
    std::string m_text;
};

} // namespace mangoquay::metrics
