#pragma once

#include <string>

namespace Platform
{
class blocking_http_client;
}

namespace Processes
{
struct booking_record;

/// Returns the incarnation that the daemon gives for itself, or an empty string.
[[nodiscard]] std::string incarnationOf(Platform::blocking_http_client &client, const std::string &daemon);

/// Sends the record's booking to a daemon and adds what the daemon said to the record.
void sendBooking(Platform::blocking_http_client &client, const std::string &daemon, const std::string &teamKey,
                 booking_record &record);
} // namespace Processes
