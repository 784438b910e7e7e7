#pragma once

#include "LibCore/Time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Front
{
/// Structured log on standard output with one JSON object per line. Never blocks: lines that exceed the rate limit, or
/// that cannot be written without blocking, are dropped and counted in the next line written.
class decision_log
{
public:
    explicit decision_log(std::string virtualMachine);

    /// Writes one line with the event's name and fields, unless the rate limit is exceeded.
    void write(std::string_view event, boost::json::object fields);
    /// Writes one line regardless of the rate limit: start, stop, reload, loss and recovery of a dependency.
    void writeAlways(std::string_view event, boost::json::object fields);
    /// Returns whether the rate limit admits a line now, so that the calling code can skip building it. If not, the
    /// line counts as dropped.
    [[nodiscard]] bool admitLine();

private:
    void writeLine(std::string_view event, boost::json::object fields);
    void refill();

    std::string m_virtualMachine;
    double m_tokens;
    Core::time_point m_refilledAt;
    std::uint64_t m_droppedLines = 0;
};
} // namespace Front
