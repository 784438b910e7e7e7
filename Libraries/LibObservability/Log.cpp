#include "LibObservability/Log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>

#include <chrono>
#include <ctime>
#include <iostream>

namespace Observability
{
namespace
{
// Set by initializeLog() before any thread starts, and only read afterwards.
std::string virtualMachineName;
log_level minimumLogLevel = log_level::Info;

const char *levelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "error";
}

std::string currentTime()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto fraction = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()) % 1'000'000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[64];
    const std::size_t length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + length, sizeof(text) - length, ".%06ldZ", static_cast<long>(fraction.count()));
    return text;
}
} // namespace

void initializeLog(const std::string &virtualMachine, log_level minimumLevel)
{
    virtualMachineName = virtualMachine;
    minimumLogLevel = minimumLevel;
    using backend = boost::log::sinks::text_ostream_backend;
    const auto stream = boost::make_shared<backend>();
    stream->add_stream(boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
    stream->auto_flush(true);
    boost::log::core::get()->remove_all_sinks();
    boost::log::core::get()->add_sink(boost::make_shared<boost::log::sinks::synchronous_sink<backend>>(stream));
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < minimumLogLevel) {
        return;
    }
    boost::json::object record {
        {"time", currentTime()}, {"level", levelName(level)}, {"vm", virtualMachineName}, {"event", event}};
    for (const log_field &field : fields) {
        record[field.name] = field.value;
    }
    boost::log::sources::severity_logger_mt<log_level> logger;
    BOOST_LOG_SEV(logger, level) << boost::json::serialize(record);
}
} // namespace Observability
