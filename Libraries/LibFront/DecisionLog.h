#pragma once

#include "LibCore/Time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace Front
{
/// Structured lines on standard output, one JSON object each. Never blocks: lines beyond the rate, or that the reader
/// does not take, are dropped and counted in the next line that is written.
class decision_log
{
public:
    explicit decision_log(std::string virtualMachine);

    /// Writes one line with the event's name and fields, unless the rate is used up.
    void write(std::string_view event, boost::json::object fields);
    /// Writes a line that the rate does not bound: start, stop, reload, a dependency lost or back.
    void writeAlways(std::string_view event, boost::json::object fields);
    /// Whether a line would be written now, so that callers need not build one in vain.
    [[nodiscard]] bool hasRoom();

private:
    void emit(std::string_view event, boost::json::object fields);
    void refill();

    std::string m_virtualMachine;
    double m_tokens;
    Core::time_point m_refilledAt;
    std::uint64_t m_dropped = 0;
};
} // namespace Front
