// Log output by easylogging++.
#include "core/log.h"

#include "core/quoting.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace mangoquay::core {
namespace {

void disable_below(el::Configurations& configuration, log_level min_level) {
    if (min_level > log_level::debug) {
        configuration.set(el::Level::Debug, el::ConfigurationType::Enabled, "false");
    }
    if (min_level > log_level::info) {
        configuration.set(el::Level::Info, el::ConfigurationType::Enabled, "false");
    }
    if (min_level > log_level::warning) {
        configuration.set(el::Level::Warning, el::ConfigurationType::Enabled, "false");
    }
}

} // namespace

void configure_log(log_level min_level, const std::string& file) {
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    if (!file.empty()) {
        configuration.setGlobally(el::ConfigurationType::Filename, file);
    }
    disable_below(configuration, min_level);
    el::Loggers::reconfigureAllLoggers(configuration);
}

void log_line(log_level level, std::string_view prefix, std::string_view text) {
    const std::string line = to_single_line(text);
    switch (level) {
    case log_level::debug:
        LOG(DEBUG) << prefix << ": " << line;
        break;
    case log_level::info:
        LOG(INFO) << prefix << ": " << line;
        break;
    case log_level::warning:
        LOG(WARNING) << prefix << ": " << line;
        break;
    case log_level::error:
        LOG(ERROR) << prefix << ": " << line;
        break;
    }
}

} // namespace mangoquay::core
