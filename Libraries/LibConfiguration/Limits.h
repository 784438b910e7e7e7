#pragma once

#include <chrono>
#include <cstddef>

namespace Configuration
{
/// The largest document in bytes; the platform's store holds values up to a megabyte.
constexpr std::size_t mostDocumentBytes = 1'000'000;
/// Patch ids kept in a document. At 2,100 changes a day, 512 reach almost 6 hours back.
constexpr std::size_t mostRecentPatchIds = 512;
/// The longest name of a service, route, team, data centre, region, snapshot, shard, replica or version.
constexpr std::size_t mostNameCharacters = 128;
/// The longest deadline of a route, and so the longest time that a caller may wait for an answer. The daemon's HTTP
/// server waits longer than this for slow senders, because Pistache bounds the sending and the answering by one timer.
constexpr std::chrono::milliseconds longestRouteDeadline {60'000};
} // namespace Configuration
