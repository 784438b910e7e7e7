#pragma once

#include <chrono>
#include <cstddef>

namespace Configuration
{
/// Maximum size of a serialized document in bytes. The platform's store limits a value to one megabyte.
constexpr std::size_t maximumDocumentBytes = 1'000'000;
/// Number of patch ids retained in a document. At 2,100 changes a day, 512 ids cover almost 6 hours.
constexpr std::size_t maximumRecentPatchIds = 512;
/// Maximum length in characters of the name of a service, route, team, data centre, region, snapshot, shard, replica or
/// version.
constexpr std::size_t maximumNameLength = 128;
/// Maximum deadline of a route, and therefore the maximum time that a caller waits for a response. The daemon's HTTP
/// server needs a longer timeout for slow senders, because Pistache uses one timer for receiving a request and for
/// responding to it.
constexpr std::chrono::milliseconds maximumRouteDeadline {60'000};
} // namespace Configuration
